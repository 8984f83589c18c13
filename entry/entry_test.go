package entry

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// fakeDoer returns out for each call and sends received requests to seen.
type fakeDoer struct {
	out  call.Outcome
	err  error
	seen chan Incoming
	// block, if set, makes Do wait until its context ends and then close seen.
	block bool
}

func (d *fakeDoer) Do(ctx context.Context, in Incoming) call.Outcome {
	d.seen <- in
	if d.block {
		<-ctx.Done()
		close(d.seen)
	}
	return d.out
}

func (d *fakeDoer) Mint(_ context.Context, service, operation string) (string, time.Duration, error) {
	return "key-of-" + service + "-" + operation, 90 * time.Second, d.err
}

// start serves d on loopback and returns the address.
func start(t *testing.T, cfg Config, d *fakeDoer) string {
	t.Helper()
	d.seen = make(chan Incoming, 8)
	_, addr := serveOnLoopback(t, cfg, d)
	return addr
}

// serveOnLoopback serves d until the test ends.
func serveOnLoopback(t *testing.T, cfg Config, d Doer) (*Server, string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	srv := NewServer(cfg, New(cfg, d))
	done := make(chan struct{})
	go func() {
		defer close(done)
		srv.Serve(Listener(ln))
	}()
	t.Cleanup(func() {
		srv.Close()
		<-done
	})
	return srv, ln.Addr().String()
}

// exchange sends raw bytes, closes the sending side if hangUp is set, and
// returns one answer with its body, nil if there is none.
func exchange(t *testing.T, addr, raw string, hangUp bool) (*http.Response, string) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	if _, err := io.WriteString(c, raw); err != nil {
		t.Fatal(err)
	}
	if hangUp {
		c.(*net.TCPConn).CloseWrite()
	}
	method, _, _ := strings.Cut(raw, " ")
	resp, err := http.ReadResponse(bufio.NewReader(c), &http.Request{Method: method})
	if err != nil {
		return nil, ""
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// startAndExchange serves d and sends it one request.
func startAndExchange(t *testing.T, d *fakeDoer, raw string) (*http.Response, string) {
	t.Helper()
	return exchange(t, start(t, DefaultConfig(), d), raw, false)
}

const get = "GET /call/s/o HTTP/1.1\r\nHost: x\r\nCassialoom-Request-Id: r\r\n\r\n"

func TestCallAndAnswerArePassedOnComplete(t *testing.T) {
	is := is.New(t)
	d := &fakeDoer{out: call.Outcome{
		Verdict: verdict.Ran, Status: 201, Body: []byte("filed"), KeySafeFor: 1500 * time.Microsecond,
		Header: []call.Field{{Name: "X-Own", Value: "1"}, {Name: "Content-Length", Value: "99"}, {Name: "cassialoom-verdict", Value: "not run"}},
	}}
	resp, body := startAndExchange(t, d, "PUT /call/fieldlog/file?a=1&b=%20 HTTP/1.1\r\nHost: x\r\n"+
		"cassialoom-deadline-ms: 250\r\nCassialoom-Importance: high\r\nCassialoom-Request-Id: r:1\r\n"+
		"Idempotency-Key: k 1\r\nConnection: X-Hop\r\nX-Hop: 1\r\nX-Kept: a\r\nX-Kept: b\r\n"+
		"Cassialoom-Other: 1\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n")
	in := <-d.seen
	is.Equal(in.Service+"/"+in.Operation, "fieldlog/file")
	is.Equal(in.RequestID, "r:1")
	is.Equal(in.Budget, 250*time.Millisecond)
	is.Equal(*in.Importance, importance.High)
	is.Equal(in.Key, "k 1")
	is.Equal(in.Query, "a=1&b=%20")
	is.Equal(string(in.Body), "abcde")
	is.Equal(in.Header, []call.Field{{Name: "X-Kept", Value: "a"}, {Name: "X-Kept", Value: "b"}})

	is.Equal(resp.StatusCode, 201)
	is.Equal(body, "filed")
	is.Equal(resp.ContentLength, int64(len("filed")))
	is.Equal(resp.Header["Cassialoom-Verdict"], []string{"ran"})
	is.Equal(resp.Header.Get("Cassialoom-Request-Id"), "r:1")
	is.Equal(resp.Header.Get("Cassialoom-Key-Held-Ms"), "2")
	is.Equal(resp.Header.Get("X-Own"), "1")
}

func TestAbsentFieldsStayUnset(t *testing.T) {
	is := is.New(t)
	d := &fakeDoer{out: call.Outcome{Verdict: verdict.Ran, Status: 204}}
	resp, _ := startAndExchange(t, d, "GET /call/s/o HTTP/1.1\r\nHost: x\r\n\r\n")
	in := <-d.seen
	is.True(in.Importance == nil && in.Budget == 0 && in.Key == "" && in.Body == nil)
	is.Equal(len(in.RequestID), 32) // minted
	is.Equal(resp.Header.Get("Cassialoom-Request-Id"), in.RequestID)
}

func TestRefusalHasRetryAfter(t *testing.T) {
	is := is.New(t)
	d := &fakeDoer{out: call.OutcomeOf(verdict.Refuse(verdict.Shed, "level 3").WithRetryAfter(1200 * time.Millisecond))}
	resp, body := startAndExchange(t, d, get)
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get("Retry-After"), "2") // rounded up
	is.Equal(resp.Header.Get("Cassialoom-Retry-After-Ms"), "1200")
	is.Equal(body, `{"verdict":"not run","reason":"shed","detail":"level 3","retry_after_ms":1200,"request_id":"r"}`+"\n")
}

// An invalid request is refused at once as "not run" and never reaches the
// Doer.
func TestInvalidRequestsAreNotRun(t *testing.T) {
	cfg := DefaultConfig()
	cfg.MaxBody = 8
	cfg.MaxHeader = 2048
	cfg.HeaderTimeout = 50 * time.Millisecond
	cfg.BodyTimeout = 50 * time.Millisecond
	d := &fakeDoer{}
	addr := start(t, cfg, d)
	long := strings.Repeat("x", 200)
	for _, c := range []struct {
		name   string
		line   string
		fields string
		status int
		reason verdict.Reason
	}{
		{"no such path", "GET /other", "", 404, verdict.BadRequest},
		{"no operation", "GET /call/s", "", 404, verdict.BadRequest},
		{"unclean path", "GET /call//s/../o", "", 404, verdict.BadRequest},
		{"method", "HEAD /call/s/o", "", 405, verdict.BadRequest},
		{"key by GET", "GET /key/s/o", "", 405, verdict.BadRequest},
		{"key with a body", "POST /key/s/o", "Content-Length: 1\r\n\r\nx", 400, verdict.BadRequest},
		{"half-sent body to no path", "POST /other", "Content-Length: 9\r\n\r\nx", 404, verdict.BadRequest},
		{"service name", "GET /call/" + long + "/o", "", 404, verdict.UnknownService},
		{"deadline no number", "GET /call/s/o", "Cassialoom-Deadline-Ms: soon", 400, verdict.BadRequest},
		{"deadline overflow", "GET /call/s/o", "Cassialoom-Deadline-Ms: 99999999999999999999", 400, verdict.BadRequest},
		{"deadline absurd", "GET /call/s/o", "Cassialoom-Deadline-Ms: 9223372036854775807", 400, verdict.BadRequest},
		{"deadline passed", "GET /call/s/o", "Cassialoom-Deadline-Ms: 0", 504, verdict.Deadline},
		{"deadline negative", "GET /call/s/o", "Cassialoom-Deadline-Ms: -5", 504, verdict.Deadline},
		{"deadline twice", "GET /call/s/o", "Cassialoom-Deadline-Ms: 5\r\nCassialoom-Deadline-Ms: 6", 400, verdict.BadRequest},
		{"importance", "GET /call/s/o", "Cassialoom-Importance: HIGH", 400, verdict.BadRequest},
		{"request id", "GET /call/s/o", "Cassialoom-Request-Id: a/b", 400, verdict.BadRequest},
		{"request id empty", "GET /call/s/o", "Cassialoom-Request-Id:", 400, verdict.BadRequest},
		{"request id long", "GET /call/s/o", "Cassialoom-Request-Id: " + long, 400, verdict.BadRequest},
		{"key", "POST /call/s/o", "Idempotency-Key: \xff", 400, verdict.KeyInvalid},
		{"keys", "POST /call/s/o", "Idempotency-Key: a\r\nIdempotency-Key: a", 400, verdict.BadRequest},
		{"fields too large", "POST /call/s/o", "X: " + strings.Repeat("x", 2048), 413, verdict.TooLarge},
		{"head too large", "POST /call/s/o", "X: " + strings.Repeat("x", 9000), 431, verdict.BadRequest},
		{"malformed field", "POST /call/s/o", "no colon", 400, verdict.BadRequest},
		{"half-sent head", "POST /call/s/o", "half", 408, verdict.BadRequest},
		{"two lengths", "POST /call/s/o", "Content-Length: 1\r\nContent-Length: 2", 400, verdict.BadRequest},
		{"unknown coding", "POST /call/s/o", "Transfer-Encoding: pipes", 501, verdict.BadRequest},
		{"expectation", "POST /call/s/o", "Expect: more\r\nContent-Length: 1", 417, verdict.BadRequest},
		{"body too large", "POST /call/s/o", "Content-Length: 9", 413, verdict.TooLarge},
		{"chunks too large", "POST /call/s/o", "Transfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0", 413, verdict.TooLarge},
		{"malformed chunk", "POST /call/s/o", "Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400, verdict.BadRequest},
		{"half-sent body", "POST /call/s/o", "Content-Length: 8\r\n\r\nabc", 400, verdict.BadRequest},
		{"half-sent body, deadline", "POST /call/s/o", "Cassialoom-Deadline-Ms: 1\r\nContent-Length: 8\r\n\r\nabc", 400, verdict.BadRequest},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			raw := c.line + " HTTP/1.1\r\nHost: x\r\n" + c.fields
			if c.fields != "half" && !strings.Contains(c.fields, "\r\n\r\n") {
				raw += "\r\n"
				if c.fields != "" {
					raw += "\r\n"
				}
			}
			for _, hangUp := range []bool{false, true} {
				resp, _ := exchange(t, addr, raw, hangUp)
				is.True(resp != nil)
				is.True(hangUp || resp.StatusCode == c.status)
				is.Equal(resp.Header.Get(headers.Verdict), "not run")
				is.Equal(resp.Header.Get(headers.Reason), string(c.reason))
				is.Equal(len(d.seen), 0)
			}
		})
	}
}

// Guards against work that continues after its caller has disconnected.
func TestCallerDisconnectEndsContext(t *testing.T) {
	is := is.New(t)
	d := &fakeDoer{block: true}
	c, err := net.Dial("tcp", start(t, DefaultConfig(), d))
	is.NoErr(err)
	_, err = io.WriteString(c, "POST /call/s/o HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\n\r\na")
	is.NoErr(err)
	<-d.seen
	is.NoErr(c.Close())
	_, open := <-d.seen // closed when the context has ended
	is.True(!open)
}

// Guards against a refusal with an unread body that ends the context of later
// requests on the same connection.
func TestRefusalDoesNotCancelLaterRequests(t *testing.T) {
	is := is.New(t)
	d := &fakeDoer{out: call.Outcome{Verdict: verdict.Ran, Status: 200}}
	addr := start(t, DefaultConfig(), d)
	client := &http.Client{Transport: &http.Transport{}}
	defer client.CloseIdleConnections()
	for i := range 6 {
		path := [...]string{"/call/s/o", "/other", "/key/s/o"}[i%3]
		resp, err := client.Post("http://"+addr+path, "text/plain", strings.NewReader("body"))
		is.NoErr(err)
		io.Copy(io.Discard, resp.Body)
		resp.Body.Close()
		is.Equal(resp.StatusCode, [...]int{200, 404, 400}[i%3])
	}
	is.Equal(len(d.seen), 2)
}

func TestAnswerWhileDrainingClosesItsConnection(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Draining = func() bool { return true }
	resp, _ := exchange(t, start(t, cfg, &fakeDoer{out: call.Outcome{Verdict: verdict.Ran, Status: 200}}), get, false)
	is.Equal(resp.StatusCode, 200)
	is.True(resp.Close)
}

// Guards against a truncated answer that looks complete: the handler aborts
// when writing fails.
func TestTruncatedAnswerIsAborted(t *testing.T) {
	for _, fail := range []string{"write", "flush"} {
		t.Run(fail, func(t *testing.T) {
			is := is.New(t)
			defer func() { is.Equal(recover(), http.ErrAbortHandler) }()
			w := &brokenWriter{header: http.Header{}, fail: fail}
			write(DefaultConfig(), w, "r", call.Outcome{Verdict: verdict.Ran, Status: 200, Body: []byte("whole")})
		})
	}
}

type brokenWriter struct {
	header http.Header
	fail   string
}

func (w *brokenWriter) Header() http.Header { return w.header }
func (w *brokenWriter) WriteHeader(int)     {}

func (w *brokenWriter) Write(p []byte) (int, error) {
	if w.fail == "write" {
		return len(p) - 1, io.ErrShortWrite
	}
	return len(p), nil
}

func (w *brokenWriter) FlushError() error { return errors.New("connection reset") }

func TestOutcomeWithoutFinalStatus(t *testing.T) {
	is := is.New(t)
	for _, status := range []int{0, 101, 600, 999, 1000, -1} {
		resp, _ := startAndExchange(t, &fakeDoer{out: call.Outcome{Verdict: verdict.MayHaveRun, Status: status}}, get)
		is.Equal(resp.StatusCode, http.StatusBadGateway)
		is.Equal(resp.Header.Get(headers.Verdict), "may have run")
	}
}

func TestMint(t *testing.T) {
	is := is.New(t)
	d := &fakeDoer{}
	resp, body := startAndExchange(t, d, "POST /key/s/o HTTP/1.1\r\nHost: x\r\n\r\n")
	is.Equal(resp.StatusCode, 200)
	is.Equal(body, `{"key":"key-of-s-o","held_ms":90000}`+"\n")
	d.err = fmt.Errorf("mint: %w", verdict.MayHaveRunError(verdict.NoBackend, "none"))
	resp, _ = startAndExchange(t, d, "POST /key/s/o HTTP/1.1\r\nHost: x\r\n\r\n")
	is.Equal(resp.StatusCode, 503)
	is.Equal(resp.Header.Get(headers.Verdict), "not run") // minting a key runs nothing
}

// During a planned stop a caller's kept connection gets its next answer before
// it is closed, and new connections are refused at once.
func TestLastCallWaitsForOpenConnections(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	var draining atomic.Bool
	cfg := DefaultConfig()
	cfg.Draining = draining.Load
	kept := Listener(ln)
	d := &fakeDoer{out: call.Outcome{Verdict: verdict.Ran, Status: 200}, seen: make(chan Incoming, 8)}
	srv := NewServer(cfg, New(cfg, d))
	go srv.Serve(kept)
	defer srv.Close()
	c, err := net.Dial("tcp", ln.Addr().String())
	is.NoErr(err)
	defer c.Close()
	in := bufio.NewReader(c)
	ask := func() *http.Response {
		_, err := io.WriteString(c, get)
		is.NoErr(err)
		resp, err := http.ReadResponse(in, nil)
		is.NoErr(err)
		_, err = io.Copy(io.Discard, resp.Body)
		is.NoErr(err)
		return resp
	}
	is.True(!ask().Close)

	draining.Store(true)
	done := make(chan struct{})
	go func() { defer close(done); kept.DrainConnections(t.Context(), time.Minute) }()
	for refused := false; !refused; {
		probe, err := net.Dial("tcp", ln.Addr().String())
		if refused = err != nil; !refused {
			probe.Close()
		}
	}
	is.True(ask().Close)
	<-done
}

// Guards against a planned stop that fails because the server closes the
// listener a second time.
func TestCloseAfterLastCallReturnsNoError(t *testing.T) {
	is := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	kept := Listener(ln)
	kept.DrainConnections(t.Context(), time.Minute)
	is.NoErr(kept.Close())
}
