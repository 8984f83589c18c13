package entry

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

// echoDoer answers with the request's own body and fails the test if an invalid
// request reaches it.
type echoDoer struct{ t testing.TB }

func (e echoDoer) Do(_ context.Context, in Incoming) call.Outcome {
	cfg := DefaultConfig()
	if !validRequestID(in.RequestID) || in.Key != "" && !validKey(in.Key) || in.Service == "" || in.Operation == "" ||
		in.Budget < 0 || in.Budget > cfg.MaxDeadline || int64(len(in.Body)) > cfg.MaxBody {
		e.t.Errorf("invalid request reached Do: %+v", in)
	}
	return call.Outcome{Verdict: verdict.Ran, Status: http.StatusOK, Header: in.Header, Body: in.Body}
}

func (e echoDoer) Mint(context.Context, string, string) (string, time.Duration, error) {
	return "", 0, errors.New("none")
}

// FuzzBytes sends arbitrary bytes to the callers' interface. Each answer must
// be complete and carry a verdict, and the connection must end.
func FuzzBytes(f *testing.F) {
	const call = "POST /call/s/o HTTP/1.1\r\nHost: x\r\n"
	for _, seed := range []string{
		"GET /call/s/o HTTP/1.0\r\n\r\n",
		call + "Content-Length: 3\r\n\r\nabcGET /other HTTP/1.1\r\nHost: x\r\n\r\n",
		call + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX-T: 1\r\n\r\n",
		call + "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n\r\nzz\r\n",
		call + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc",
		call + "Connection: Keep-Alive, X-A\r\nX-A: 1\r\nUpgrade: h2c\r\n\r\n",
		call + "Cassialoom-Deadline-Ms: 1e3\r\nCassialoom-Importance: low\r\n\r\n",
		"POST /key/s/%2F HTTP/1.1\r\nHost: x\r\nContent-Length: 5\r\n\r\nx",
		"PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"OPTIONS * HTTP/1.1\r\nHost: x\r\n\r\n",
		"\x16\x03\x01\x00\x00",
		get + get + get,
		get + call + "Content-Length: 3\r\n\r\nabc" + get,
		get + get + "GET / HTTP/9.1\r\n\r\n" + get,
		get + call + "Expect: 100-continue\r\nContent-Length: 3\r\n\r\nabc" + get,
		get + call + "Transfer-Encoding: chunked\r\n\r\nzz\r\n" + get,
		get + "GET /call/s/o HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n" + get,
	} {
		f.Add([]byte(seed))
	}
	cfg := DefaultConfig()
	pipelined := cfg
	pipelined.Repeatable = func(r *http.Request) bool { return r.Method == http.MethodGet }
	f.Fuzz(func(t *testing.T, raw []byte) {
		checkAnswers(t, serveBytes(t, cfg, raw))
		checkAnswers(t, serveBytes(t, pipelined, raw))
	})
}

// scriptedConn is a connection whose caller sends raw, closes its sending side
// and reads all answers. Fuzzing would run out of real connections.
type scriptedConn struct {
	net.Conn // one end of a pipe; provides deadlines and addresses
	raw      *bytes.Reader
	answers  bytes.Buffer
	closed   chan struct{}
	once     sync.Once
}

func (c *scriptedConn) Read(p []byte) (int, error)  { return c.raw.Read(p) }
func (c *scriptedConn) Write(p []byte) (int, error) { return c.answers.Write(p) }

func (c *scriptedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	return nil
}

// singleConnListener is a listener that accepts one connection.
type singleConnListener struct {
	net.Listener
	conn *scriptedConn
	used bool
}

func (l *singleConnListener) Accept() (net.Conn, error) {
	if l.used {
		<-l.conn.closed
		return nil, net.ErrClosed
	}
	l.used = true
	return l.conn, nil
}

func (l *singleConnListener) Close() error { return nil }

func serveBytes(t *testing.T, cfg Config, raw []byte) []byte {
	pipe, _ := net.Pipe()
	c := &scriptedConn{Conn: pipe, raw: bytes.NewReader(raw), closed: make(chan struct{})}
	NewServer(cfg, New(cfg, echoDoer{t})).Serve(Listener(&singleConnListener{conn: c}))
	return c.answers.Bytes() // the server has closed the connection
}

func checkAnswers(t *testing.T, answers []byte) {
	in := bufio.NewReader(bytes.NewReader(answers))
	for {
		if _, err := in.Peek(1); err != nil {
			return
		}
		resp, err := http.ReadResponse(in, nil)
		if err != nil {
			t.Fatalf("cannot read answer: %v\n%q", err, answers)
		}
		if resp.StatusCode == http.StatusContinue {
			continue
		}
		if v := resp.Header.Get(headers.Verdict); v == "" || verdict.Parse(v).String() != v {
			t.Fatalf("answer without a verdict\n%q", answers)
		}
		if _, err := io.Copy(io.Discard, resp.Body); err != nil {
			t.Fatalf("answer is incomplete: %v\n%q", err, answers)
		}
	}
}

// BenchmarkCall measures reading one call and writing its answer, without a
// connection and without running the call.
func BenchmarkCall(b *testing.B) {
	h := New(DefaultConfig(), echoDoer{b})
	r := httptest.NewRequest(http.MethodPost, "/call/fieldlog/file?a=1", nil)
	r.Header.Set("Content-Type", "text/plain")
	r.Header.Set("Cassialoom-Deadline-Ms", "500")
	r.ContentLength = 4
	b.ReportAllocs()
	for b.Loop() {
		r.Body = io.NopCloser(strings.NewReader("body"))
		h.ServeHTTP(httptest.NewRecorder(), r)
	}
}
