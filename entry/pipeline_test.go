package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

// heldDoer answers each call with its request's ID once it is released.
type heldDoer struct {
	started chan string
	mu      sync.Mutex
	gates   map[string]chan struct{}
	ended   chan string // IDs of the calls whose callers left
}

func newHeldDoer() *heldDoer {
	return &heldDoer{started: make(chan string, 64), gates: make(map[string]chan struct{}), ended: make(chan string, 64)}
}

func (d *heldDoer) gate(id string) chan struct{} {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.gates[id] == nil {
		d.gates[id] = make(chan struct{})
	}
	return d.gates[id]
}

func (d *heldDoer) Do(ctx context.Context, in Incoming) call.Outcome {
	d.started <- in.RequestID
	select {
	case <-d.gate(in.RequestID):
	case <-ctx.Done():
		d.ended <- in.RequestID
	}
	return call.Outcome{Verdict: verdict.Ran, Status: 200, Body: []byte(in.RequestID + strings.Repeat(".", len(in.Body)))}
}

func (d *heldDoer) Mint(context.Context, string, string) (string, time.Duration, error) {
	return "", 0, nil
}

// startPipelined serves d on loopback; operations named read may be repeated.
func startPipelined(t *testing.T, cfg Config, d Doer) (*Server, string) {
	t.Helper()
	cfg.Repeatable = RepeatableCalls(func(_, operation string) bool { return operation == "read" })
	return serveOnLoopback(t, cfg, d)
}

func request(operation, id, fields, body string) string {
	if body != "" {
		fields += fmt.Sprintf("Content-Length: %d\r\n", len(body))
	}
	return "POST /call/s/" + operation + " HTTP/1.1\r\nHost: x\r\nCassialoom-Request-Id: " + id + "\r\n" + fields + "\r\n" + body
}

func dial(t *testing.T, addr string) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := net.Dial("tcp", addr)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c, bufio.NewReader(c)
}

func readAnswer(t *testing.T, r *bufio.Reader) (*http.Response, string) {
	t.Helper()
	resp, err := http.ReadResponse(r, nil)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	return resp, string(body)
}

// awaitStarts waits until the given calls have started, in any order.
func awaitStarts(t *testing.T, d *heldDoer, ids ...string) {
	t.Helper()
	left := make(map[string]bool)
	for _, id := range ids {
		left[id] = true
	}
	for range ids {
		select {
		case id := <-d.started:
			if !left[id] {
				t.Fatalf("%s has started", id)
			}
			delete(left, id)
		case <-time.After(5 * time.Second):
			t.Fatalf("%v have not started", left)
		}
	}
}

// Guards against requests that wait for the one before them on their connection, and
// against answers in another order than their requests.
func TestRequestsSentAheadRunSideBySideAndAreAnsweredInOrder(t *testing.T) {
	for name, together := range map[string]bool{"one write": true, "one by one": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newHeldDoer()
			var taken atomic.Int64
			cfg := DefaultConfig()
			cfg.OnPipelined = func() { taken.Add(1) }
			_, addr := startPipelined(t, cfg, d)
			c, r := dial(t, addr)
			ids := []string{"a", "b", "c", "d"}
			all := ""
			for _, id := range ids {
				text := request("read", id, "", "")
				if all += text; !together {
					io.WriteString(c, text)
					awaitStarts(t, d, id)
				}
			}
			if together {
				io.WriteString(c, all)
				awaitStarts(t, d, ids...)
			}
			for i := len(ids) - 1; i >= 0; i-- {
				close(d.gate(ids[i]))
			}
			for _, id := range ids {
				resp, body := readAnswer(t, r)
				is.Equal(resp.StatusCode, 200)
				is.Equal(resp.Header.Get("Cassialoom-Request-Id"), id)
				is.Equal(body, id)
				is.True(!resp.Close)
			}
			is.Equal(taken.Load(), int64(1))
			// The connection goes on with requests of any kind.
			close(d.gate("e"))
			io.WriteString(c, request("write", "e", "", "12345"))
			_, body := readAnswer(t, r)
			is.Equal(body, "e.....")
		})
	}
}

// Guards against a request that must not be repeated and runs behind an answer that closes
// the connection, after which its caller sends it again.
func TestRequestThatMustNotBeRepeatedStartsLast(t *testing.T) {
	is := is.New(t)
	d := newHeldDoer()
	_, addr := startPipelined(t, DefaultConfig(), d)
	c, r := dial(t, addr)
	io.WriteString(c, request("read", "a", "", "")+request("write", "b", "", "xyz")+request("read", "c", "", ""))
	awaitStarts(t, d, "a")
	select {
	case id := <-d.started:
		t.Fatalf("%s has started", id)
	case <-time.After(50 * time.Millisecond):
	}
	close(d.gate("a"))
	_, body := readAnswer(t, r)
	is.Equal(body, "a")
	awaitStarts(t, d, "b", "c")
	close(d.gate("c"))
	close(d.gate("b"))
	_, body = readAnswer(t, r)
	is.Equal(body, "b...")
	_, body = readAnswer(t, r)
	is.Equal(body, "c")
}

// Guards against requests that go on after their caller has left.
func TestCallerThatLeavesCancelsAllItsRequests(t *testing.T) {
	d := newHeldDoer()
	_, addr := startPipelined(t, DefaultConfig(), d)
	c, _ := dial(t, addr)
	io.WriteString(c, request("read", "a", "", "")+request("read", "b", "", ""))
	awaitStarts(t, d, "a", "b")
	c.Close()
	for range 2 {
		select {
		case <-d.ended:
		case <-time.After(5 * time.Second):
			t.Fatal("a request goes on")
		}
	}
}

// Guards against a stop that loses answers to requests that were read.
func TestStopAnswersWhatWasSentAhead(t *testing.T) {
	is := is.New(t)
	d := newHeldDoer()
	var draining atomic.Bool
	cfg := DefaultConfig()
	cfg.Draining = draining.Load
	srv, addr := startPipelined(t, cfg, d)
	c, r := dial(t, addr)
	idle, idleReader := dial(t, addr)
	for _, id := range []string{"x", "y"} {
		close(d.gate(id))
	}
	io.WriteString(idle, request("read", "x", "", "")+request("read", "y", "", ""))
	awaitStarts(t, d, "x", "y")
	readAnswer(t, idleReader)
	readAnswer(t, idleReader)
	io.WriteString(c, request("read", "a", "", "")+request("read", "b", "", ""))
	awaitStarts(t, d, "a", "b")
	draining.Store(true)
	stopped := make(chan error, 1)
	go func() { stopped <- srv.Shutdown(t.Context()) }()
	_, err := idleReader.ReadByte()
	is.Equal(err, io.EOF) // idle connections are closed
	close(d.gate("a"))
	resp, _ := readAnswer(t, r)
	is.True(!resp.Close)
	close(d.gate("b"))
	resp, body := readAnswer(t, r)
	is.True(resp.Close)
	is.Equal(body, "b")
	c.Close()
	is.NoErr(<-stopped)
}

// Guards against a malformed request whose answer overtakes those before it, or behind
// which bytes are taken for requests.
func TestMalformedRequestIsAnsweredInItsPlace(t *testing.T) {
	for name, c := range map[string]struct {
		raw    string
		status int
	}{
		"no host":        {"GET /call/s/read HTTP/1.1\r\n\r\n", 400},
		"field":          {"GET /call/s/read HTTP/1.1\r\nHost: x\r\nno colon\r\n\r\n", 400},
		"field name":     {"GET /call/s/read HTTP/1.1\r\nHost: x\r\nb\x00d: 1\r\n\r\n", 400},
		"two lengths":    {"POST /call/s/read HTTP/1.1\r\nHost: x\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nxx", 400},
		"head too large": {"GET /call/s/read HTTP/1.1\r\nHost: x\r\nX: " + strings.Repeat("x", 99999) + "\r\n\r\n", 431},
		"body too large": {request("read", "l", "", strings.Repeat("x", 200)), 413},
		"bad chunks":     {request("read", "k", "Transfer-Encoding: chunked\r\n", "") + "zz\r\n", 400},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			d := newHeldDoer()
			cfg := DefaultConfig()
			cfg.MaxBody = 100
			_, addr := startPipelined(t, cfg, d)
			conn, r := dial(t, addr)
			go io.WriteString(conn, request("read", "a", "", "")+request("read", "b", "", "")+c.raw+request("read", "never", "", ""))
			awaitStarts(t, d, "a", "b")
			close(d.gate("b"))
			close(d.gate("a"))
			for _, id := range []string{"a", "b"} {
				_, body := readAnswer(t, r)
				is.Equal(body, id)
			}
			resp, _ := readAnswer(t, r)
			is.Equal(resp.StatusCode, c.status)
			is.Equal(resp.Header.Get("Cassialoom-Verdict"), "not run")
			is.True(resp.Close)
			rest, _ := io.ReadAll(r)
			is.Equal(len(rest), 0)
			is.Equal(len(d.started), 0)
		})
	}
}

// Guards against a caller that sends ahead without reading and takes the node's memory.
func TestRequestsSentAheadAreBounded(t *testing.T) {
	is := is.New(t)
	d := newHeldDoer()
	cfg := DefaultConfig()
	cfg.MaxAhead = 4
	_, addr := startPipelined(t, cfg, d)
	c, r := dial(t, addr)
	var ids []string
	for i := range 12 {
		ids = append(ids, fmt.Sprint("r", i))
		io.WriteString(c, request("read", ids[i], "", ""))
	}
	awaitStarts(t, d, ids[:4]...)
	time.Sleep(30 * time.Millisecond)
	is.Equal(len(d.started), 0)
	for _, id := range ids {
		close(d.gate(id))
	}
	for _, id := range ids {
		_, body := readAnswer(t, r)
		is.Equal(body, id)
	}
}

// Guards against connections of ordinary clients that are taken over.
func TestStandardClientIsServedByTheStandardServer(t *testing.T) {
	is := is.New(t)
	d := newHeldDoer()
	var taken atomic.Int64
	cfg := DefaultConfig()
	cfg.OnPipelined = func() { taken.Add(1) }
	_, addr := startPipelined(t, cfg, d)
	client := http.Client{Transport: &http.Transport{MaxConnsPerHost: 2}}
	defer client.CloseIdleConnections()
	var wg sync.WaitGroup
	for i := range 20 {
		id := fmt.Sprint("r", i)
		close(d.gate(id))
		wg.Go(func() {
			req, _ := http.NewRequest(http.MethodPost, "http://"+addr+"/call/s/read", strings.NewReader(strings.Repeat("x", i%3)))
			req.Header.Set("Cassialoom-Request-Id", id)
			resp, err := client.Do(req)
			if err != nil {
				t.Error(err)
				return
			}
			defer resp.Body.Close()
			body, _ := io.ReadAll(resp.Body)
			if string(body) != id+strings.Repeat(".", i%3) {
				t.Errorf("%s: %q", id, body)
			}
		})
	}
	wg.Wait()
	is.Equal(taken.Load(), int64(0))
}

// Guards against a connection that stays open after its last answer because its caller
// does not close it.
func TestConnectionIsClosedAfterItsLastAnswer(t *testing.T) {
	is := is.New(t)
	d := newHeldDoer()
	var draining atomic.Bool
	cfg := DefaultConfig()
	cfg.Draining = draining.Load
	srv, addr := startPipelined(t, cfg, d)
	c, r := dial(t, addr)
	io.WriteString(c, request("read", "a", "", "")+request("read", "b", "", ""))
	awaitStarts(t, d, "a", "b")
	draining.Store(true)
	close(d.gate("a"))
	close(d.gate("b"))
	readAnswer(t, r)
	resp, _ := readAnswer(t, r)
	is.True(resp.Close)
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	_, err := r.ReadByte()
	is.Equal(err, io.EOF)
	is.NoErr(srv.Shutdown(t.Context()))
}

// Guards against a body that is given up while its caller waits to be asked for it.
func TestBodyTimeoutCountsFromTheRequestForTheBody(t *testing.T) {
	is := is.New(t)
	d := newHeldDoer()
	cfg := DefaultConfig()
	cfg.BodyTimeout = 100 * time.Millisecond
	_, addr := startPipelined(t, cfg, d)
	c, r := dial(t, addr)
	head := strings.TrimSuffix(request("write", "w", "Expect: 100-continue\r\n", "xyz"), "xyz")
	io.WriteString(c, request("read", "a", "", "")+request("read", "b", "", "")+head)
	awaitStarts(t, d, "a", "b")
	time.Sleep(2 * cfg.BodyTimeout)
	close(d.gate("a"))
	close(d.gate("b"))
	close(d.gate("w"))
	readAnswer(t, r)
	readAnswer(t, r)
	resp, err := http.ReadResponse(r, nil)
	is.NoErr(err)
	is.Equal(resp.StatusCode, http.StatusContinue)
	io.WriteString(c, "xyz")
	_, body := readAnswer(t, r)
	is.Equal(body, "w...")
}
