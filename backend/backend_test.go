package backend

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// rawServer reads complete requests from TCP connections and passes them to the
// test. An http.Server would hide when bytes and connections come and go.
type rawServer struct {
	url    string
	ln     net.Listener
	answer func(s *rawServer, c net.Conn, r *http.Request) (end bool)
	wg     sync.WaitGroup
	mu     sync.Mutex
	seen   map[string]int // requests received by request ID
}

// serve starts a rawServer that calls answer for each request and closes the
// connection when answer returns true.
func serve(t *testing.T, answer func(s *rawServer, c net.Conn, r *http.Request) (end bool)) *rawServer {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &rawServer{url: "http://" + ln.Addr().String(), ln: ln, answer: answer, seen: make(map[string]int)}
	s.wg.Go(func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			s.wg.Go(func() { s.read(c) })
		}
	})
	t.Cleanup(func() {
		ln.Close()
		s.wg.Wait() // ends because the client has closed its connections
	})
	return s
}

func (s *rawServer) read(c net.Conn) {
	defer c.Close()
	in := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(in)
		if err != nil {
			return
		}
		s.mu.Lock()
		s.seen[r.Header.Get("Cassialoom-Request-Id")]++
		s.mu.Unlock()
		if _, err := io.Copy(io.Discard, r.Body); err != nil || s.answer(s, c, r) {
			return
		}
	}
}

func (s *rawServer) timesSeen(id string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.seen[id]
}

const completeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func run(id string) Run {
	return Run{Token: "t", Operation: "op", RequestID: id, Importance: importance.High, Budget: time.Minute}
}

func newClient(t testing.TB) *Client {
	c := New(DefaultConfig())
	t.Cleanup(c.Close)
	return c
}

func TestRequestOnTheWire(t *testing.T) {
	is := is.New(t)
	got := make(chan *http.Request, 1)
	s := serve(t, func(_ *rawServer, c net.Conn, r *http.Request) bool {
		got <- r
		io.WriteString(c, "HTTP/1.1 201 Created\r\nContent-Length: 2\r\nX-A: 1\r\nCassialoom-Verdict: not run\r\nConnection: X-B\r\nX-B: 1\r\n\r\nok")
		return false
	})
	r := run("r1")
	r.Query, r.Body = "a=1&b=%20", []byte("body")
	r.Header = []call.Field{{Name: "x-a", Value: "1"}, {Name: "Host", Value: "evil"}, {Name: "Cassialoom-Call", Value: "forged"}}
	res := newClient(t).Run(context.Background(), s.url, r)

	req := <-got
	is.Equal(req.Method+" "+req.RequestURI, "POST /op?a=1&b=%20")
	is.Equal(req.ContentLength, int64(4))
	is.Equal(req.Host, strings.TrimPrefix(s.url, "http://"))
	is.Equal(req.Header, http.Header{
		"Cassialoom-Call":        {"t"},
		"Cassialoom-Request-Id":  {"r1"},
		"Cassialoom-Importance":  {"high"},
		"Cassialoom-Deadline-Ms": {"60000"},
		"X-A":                    {"1"},
		"Content-Length":         {"4"},
	})
	is.Equal(res.Verdict, verdict.Ran)
	is.Equal(res.Reason, verdict.None)
	is.Equal(res.Status, 201)
	is.Equal(string(res.Body), "ok")
	is.Equal(res.Header, []call.Field{{Name: "X-A", Value: "1"}})
}

// Guards against sending a request twice when the backend server closes a
// reused connection without an answer, as net/http may.
func TestNeverSentTwice(t *testing.T) {
	for name, change := range map[string]func(*Run){
		"no body":    func(*Run) {},
		"body":       func(r *Run) { r.Body = []byte("body") },
		"large body": func(r *Run) { r.Body = make([]byte, 1<<20) },
		"own key": func(r *Run) {
			r.Header = []call.Field{{Name: "Idempotency-Key", Value: "k"}, {Name: "X-Idempotency-Key", Value: "k"}}
		},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ *rawServer, c net.Conn, r *http.Request) bool {
				if r.Header.Get("Cassialoom-Request-Id") == "second" {
					return true
				}
				io.WriteString(c, completeAnswer)
				return false
			})
			client := newClient(t)
			is.Equal(client.Run(context.Background(), s.url, run("first")).Verdict, verdict.Ran)
			r := run("second")
			change(&r)
			res := client.Run(context.Background(), s.url, r)
			is.Equal(s.timesSeen("second"), 1)
			is.Equal(res.Verdict, verdict.MayHaveRun)
			is.Equal(res.Reason, verdict.ConnectionLost)
			is.True(res.Broken)
			is.True(!res.Crashed) // the server still listens
		})
	}
}

// The backend server closes each connection right after its answer. Guards
// against "not run" for a request that was read, and against sending one twice.
func TestConnectionClosedWhileSending(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ *rawServer, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, completeAnswer)
		return true
	})
	client := newClient(t)
	for i := range 300 {
		r := run("r" + string(rune('A'+i%26)) + strings.Repeat("x", i/26))
		if i%2 == 0 {
			r.Body = []byte("body")
		}
		res := client.Run(context.Background(), s.url, r)
		switch res.Verdict {
		case verdict.Ran:
			is.Equal(s.timesSeen(r.RequestID), 1)
		case verdict.NotRun:
			is.Equal(s.timesSeen(r.RequestID), 0)
		default:
			is.True(s.timesSeen(r.RequestID) <= 1)
		}
	}
}

// A request is "ran" once the head of an answer has arrived; incomplete answers
// are not forwarded.
func TestVerdictOfAnswers(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, c := range []struct {
		name, answer string
		verdict      verdict.Verdict
		reason       verdict.Reason
		status       int
	}{
		{"whole", completeAnswer, verdict.Ran, verdict.None, 200},
		{"its own failure", "HTTP/1.1 500 No\r\nContent-Length: 0\r\n\r\n", verdict.Ran, verdict.None, 500},
		{"no content", "HTTP/1.1 204 No Content\r\n\r\n", verdict.Ran, verdict.None, 204},
		{"redirect", "HTTP/1.1 307 Go\r\nLocation: /other\r\nContent-Length: 0\r\n\r\n", verdict.Ran, verdict.None, 307},
		{"hint before", "HTTP/1.1 103 Early Hints\r\n\r\n" + completeAnswer, verdict.Ran, verdict.None, 200},
		{"chunks", chunked + "2\r\nok\r\n0\r\n\r\n", verdict.Ran, verdict.None, 200},
		{"refused", "HTTP/1.1 503 No\r\nCassialoom-Verdict: not run\r\nRetry-After: 2\r\nContent-Length: 0\r\n\r\n", verdict.NotRun, verdict.Shed, 0},
		{"503 alone", "HTTP/1.1 503 No\r\nContent-Length: 0\r\n\r\n", verdict.Ran, verdict.None, 503},
		{"not run alone", "HTTP/1.1 200 OK\r\nCassialoom-Verdict: not run\r\nContent-Length: 0\r\n\r\n", verdict.Ran, verdict.None, 200},
		{"cut length", "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nok", verdict.Ran, verdict.Incomplete, 0},
		{"cut chunk", chunked + "5\r\nok", verdict.Ran, verdict.Incomplete, 0},
		{"no last chunk", chunked + "2\r\nok\r\n", verdict.Ran, verdict.Incomplete, 0},
		{"malformed chunk", chunked + "zz\r\n", verdict.Ran, verdict.Incomplete, 0},
		{"close-delimited", "HTTP/1.0 200 OK\r\n\r\nok", verdict.Ran, verdict.Incomplete, 0},
		{"protocol switch", "HTTP/1.1 101 Switching\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n", verdict.Ran, verdict.Incomplete, 0},
		{"too large", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n123456789", verdict.Ran, verdict.TooLarge, 0},
		{"chunks too large", chunked + "9\r\n123456789\r\n0\r\n\r\n", verdict.Ran, verdict.TooLarge, 0},
		{"fields too large", "HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 999) + "\r\nContent-Length: 0\r\n\r\n", verdict.Ran, verdict.TooLarge, 0},
		{"cut head", "HTTP/1.1 200 OK\r\nContent-", verdict.MayHaveRun, verdict.ConnectionLost, 0},
		{"no HTTP", "hello\r\n\r\n", verdict.MayHaveRun, verdict.ConnectionLost, 0},
		{"nothing", "", verdict.MayHaveRun, verdict.ConnectionLost, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := serve(t, func(_ *rawServer, conn net.Conn, _ *http.Request) bool {
				io.WriteString(conn, c.answer)
				return true
			})
			client := newClient(t)
			client.cfg.MaxAnswer, client.cfg.MaxHeader = 8, 800
			res := client.Run(context.Background(), s.url, run("r"))
			is.Equal(res.Verdict, c.verdict)
			is.Equal(res.Reason, c.reason)
			is.Equal(res.Status, c.status)
			is.Equal(s.timesSeen("r"), 1)
			if c.name == "refused" {
				is.Equal(res.RetryAfter, 2*time.Second)
			}
			if c.status == 0 {
				is.Equal(len(res.Body)+len(res.Header), 0)
			}
		})
	}
}

// Guards against confusing a crash with a broken connection or a slow server:
// only a crash makes the requests in flight suspects.
func TestCrashIsDetected(t *testing.T) {
	for _, part := range []string{"", "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nab"} {
		is := is.New(t)
		s := serve(t, func(s *rawServer, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, part)
			s.ln.Close()
			return true
		})
		res := newClient(t).Run(context.Background(), s.url, run("r"))
		is.True(res.Broken && res.Crashed)
		is.True(res.Verdict != verdict.NotRun)

		res = newClient(t).Run(context.Background(), s.url, run("later"))
		is.Equal(res.Verdict, verdict.NotRun) // nothing listens, so nothing was sent
		is.Equal(res.Reason, verdict.NoBackend)
		is.True(!res.Broken && !res.Crashed) // this request is not a suspect
	}
}

// A request without an answer before the deadline or cancellation may have run,
// and is not reported as a crash.
func TestSlowServerIsNotACrash(t *testing.T) {
	is := is.New(t)
	taken := make(chan bool, 2)
	s := serve(t, func(_ *rawServer, c net.Conn, _ *http.Request) bool {
		taken <- true
		io.Copy(io.Discard, c) // until the client closes the connection
		return true
	})
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	res := newClient(t).Run(ctx, s.url, run("r"))
	is.Equal(res.Verdict, verdict.MayHaveRun)
	is.Equal(res.Reason, verdict.Deadline)
	is.True(!res.Broken && !res.Crashed)
	<-taken

	ctx, cancel = context.WithCancel(context.Background())
	go func() {
		<-taken
		cancel()
	}()
	res = newClient(t).Run(ctx, s.url, run("r2"))
	is.Equal(res.Verdict, verdict.MayHaveRun)
	is.Equal(res.Reason, verdict.Canceled)
	is.True(!res.Broken && !res.Crashed)
}

// A request that cannot be sent has not run and never reaches the backend
// server.
func TestUnsentRequestIsNotRun(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ *rawServer, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, completeAnswer)
		return false
	})
	over, cancel := context.WithCancel(context.Background())
	cancel()
	client, now := newClient(t), context.Background()
	for _, c := range []struct {
		ctx    context.Context
		run    Run
		reason verdict.Reason
	}{
		{over, run("r"), verdict.Canceled},
		{now, Run{Budget: 0}, verdict.Deadline},
		{now, Run{Budget: 1e9, Query: "a\r\nb"}, verdict.BadRequest},
		{now, Run{Budget: 1e9, Header: []call.Field{{Name: "X", Value: "a\r\nb"}}}, verdict.BadRequest},
		{now, Run{Budget: 1e9, Header: []call.Field{{Name: "X Y", Value: "a"}}}, verdict.BadRequest},
	} {
		res := client.Run(c.ctx, s.url, c.run)
		is.Equal(res.Verdict, verdict.NotRun)
		is.Equal(res.Reason, c.reason)
		is.Equal(len(s.seen), 0)
	}
}

func TestCheckURL(t *testing.T) {
	is := is.New(t)
	for _, good := range []string{"http://127.0.0.1:8000", "http://127.0.0.9:8000/api", "http://[::1]:8000"} {
		is.NoErr(CheckURL(good))
	}
	for _, bad := range []string{
		"", "127.0.0.1:8000", "http://localhost:8000", "http://10.0.0.7:8000", "http://127.0.0.1", "http://127.0.0.1:0",
		"https://127.0.0.1:8000", "http://127.0.0.1:8000/", "http://u@127.0.0.1:8000", "http://127.0.0.1:8000?x=1", "http://127.0.0.1:8000#x",
	} {
		is.True(CheckURL(bad) != nil)
	}
}

// BenchmarkRun measures one request with a small body and answer on a reused
// connection, including the server's work.
func BenchmarkRun(b *testing.B) {
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		io.Copy(w, r.Body)
	}))
	defer srv.Close()
	client := newClient(b)
	r := run("r")
	r.Body = []byte("body")
	r.Header = []call.Field{{Name: "Content-Type", Value: "text/plain"}}
	b.ReportAllocs()
	for n := 0; b.Loop(); n++ {
		r.RequestID = strconv.Itoa(n)
		client.Run(context.Background(), srv.URL, r)
	}
}

// The backend server silently drops idle connections. Guards against losing
// non-idempotent requests on them; other requests lower the reuse limit.
func TestStaleIdleConnections(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ *rawServer, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, completeAnswer)
		return false
	})
	client := newClient(t)
	age := func(idle time.Duration) {
		for _, c := range client.pool.idle {
			c.idleSince = time.Now().Add(-idle)
		}
	}
	is.Equal(client.Run(context.Background(), s.url, run("first")).Verdict, verdict.Ran)
	kept := client.pool.idle[0]
	age(2 * maxNonIdempotentIdle)
	is.Equal(client.Run(context.Background(), s.url, run("once")).Verdict, verdict.Ran)
	is.Equal(len(client.pool.idle), 2) // the old one is kept for idempotent requests
	is.True(client.pool.idle[0] == kept)

	r := run("idempotent")
	r.Idempotent = true
	age(2 * maxNonIdempotentIdle)
	is.Equal(client.Run(context.Background(), s.url, r).Verdict, verdict.Ran)
	is.Equal(len(client.pool.idle), 2) // it reused one of them

	client.pool.reduceReuseIdle(time.Now(), 2*time.Second)
	age(1500 * time.Millisecond)
	is.Equal(client.Run(context.Background(), s.url, r).Verdict, verdict.Ran)
	is.Equal(len(client.pool.idle), 1) // both were replaced by a new one
	is.Equal(client.pool.reuseIdleLimit(time.Now().Add(reuseIdleGrowInterval)), 2*time.Second)
}

// Guards against requests on a connection of a backend server that is full and answers
// nothing more there.
func TestConnectionWithoutAnswerIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	silent := make(map[net.Conn]bool)
	s := serve(t, func(_ *rawServer, c net.Conn, r *http.Request) bool {
		mu.Lock()
		defer mu.Unlock()
		silent[c] = silent[c] || r.Header.Get("Cassialoom-Request-Id") == "full"
		if !silent[c] {
			io.WriteString(c, completeAnswer)
		}
		return false
	})
	client := newClient(t)
	is.Equal(client.Run(t.Context(), s.url, run("before")).Status, 200)
	ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancel()
	res := client.Run(ctx, s.url, run("full"))
	is.Equal(res.Verdict, verdict.MayHaveRun) // the server may have queued it after all
	is.Equal(res.Reason, verdict.Deadline)
	is.Equal(client.Run(t.Context(), s.url, run("after")).Status, 200)
	is.Equal(s.timesSeen("full"), 1)
}

// Guards against a request on a connection on which an invalid answer has followed a whole one.
func TestConnectionWithAnInvalidAnswerIsNotUsedAgain(t *testing.T) {
	is := is.New(t)
	s := serve(t, func(_ *rawServer, c net.Conn, _ *http.Request) bool {
		io.WriteString(c, completeAnswer+"HTTP/1.1 000 \r\n\r\n")
		return false
	})
	client := newClient(t)
	for _, id := range []string{"first", "second"} {
		is.Equal(client.Run(t.Context(), s.url, run(id)).Status, 200)
	}
	is.Equal(client.ConnectionsOpened(), int64(2))
}

// Guards against an operator who takes a backend server that sends invalid answers for one that loses
// its connections.
func TestInvalidAnswersAreCounted(t *testing.T) {
	is := is.New(t)
	for answer, invalid := range map[string]int64{
		completeAnswer:          0,
		"HTTP/1.1 200 OK\r\n":   0, // truncated
		"HTTP/1.1 000 \r\n\r\n": 1,
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX A: 1\r\n\r\n": 1,
		completeAnswer + "HTTP/1.1 000 \r\n\r\n":                                   0,
	} {
		s := serve(t, func(_ *rawServer, c net.Conn, _ *http.Request) bool {
			io.WriteString(c, answer)
			return true
		})
		client := newClient(t)
		res := client.Run(t.Context(), s.url, run("r"))
		is.Equal(client.InvalidAnswers(), invalid)
		if invalid > 0 {
			is.True(strings.Contains(res.Detail, "invalid HTTP answer"))
		}
	}
}
