package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/pipeline"
	"github.com/cassialoom/cassialoom/verdict"
)

// Listener wraps ln for a server from NewServer. net/http itself answers
// malformed or oversized heads without a verdict, and closes the connection
// without an answer if a head does not arrive in time. The caller would then
// have to assume that the request may have run. The connections of this
// listener add the missing verdicts.
func Listener(ln net.Listener) *CountingListener { return &CountingListener{Listener: ln} }

// CountingListener is a listener that counts its open connections.
type CountingListener struct {
	net.Listener
	open   atomic.Int64
	closed sync.Once
}

// Close implements net.Listener. Further calls do nothing and return nil:
// http.Server.Shutdown closes the listener again after DrainConnections, and its error
// would be reported as a failed stop.
func (l *CountingListener) Close() (err error) {
	l.closed.Do(func() { err = l.Listener.Close() })
	return err
}

// drainPollInterval is the time between two checks of the open connections.
const drainPollInterval = 10 * time.Millisecond

// DrainConnections stops accepting connections and waits until callers have closed the
// open ones, at most for limit or until ctx ends. A draining server closes each
// connection after its next answer. Closing idle connections from this side
// instead could interrupt a request that is just being sent, whose caller could
// not know whether it ran.
func (l *CountingListener) DrainConnections(ctx context.Context, limit time.Duration) {
	l.Close() // the error does not matter: no new connections are accepted
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for l.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(drainPollInterval):
		}
	}
}

// Accept implements net.Listener.
func (l *CountingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &conn{Conn: c, listener: l}, nil
}

// conn records whether a handler has taken the current request. An answer
// written before that is net/http's own and gets a verdict; answers of handlers
// are not changed.
type conn struct {
	net.Conn
	listener *CountingListener
	closed   atomic.Bool
	handled  atomic.Bool
	// receiving is set when a part of the next request has arrived.
	receiving atomic.Bool
	// ahead notices requests that arrive before the one before them is answered.
	ahead pipeline.Detector
}

var (
	statusLine   = []byte("HTTP/1.")
	endOfLine    = []byte("\r\n")
	notRunFields = []byte(headers.Verdict + ": " + verdict.NotRun.String() + "\r\n" +
		headers.Reason + ": " + string(verdict.BadRequest) + "\r\n")
	headTimeoutAnswer = []byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
)

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.receiving.Store(true)
		c.ahead.Read(p[:n], len(p))
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.receiving.Load() && !c.handled.Load() {
		c.Write(headTimeoutAnswer) // the server closes the connection in any case
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.handled.Load() || !bytes.HasPrefix(p, statusLine) {
		return c.Conn.Write(p)
	}
	line, rest, found := bytes.Cut(p, endOfLine)
	if !found {
		return c.Conn.Write(p)
	}
	answer := bytes.Join([][]byte{line, endOfLine, notRunFields, rest}, nil)
	if _, err := c.Conn.Write(answer); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.listener.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseWrite closes the sending side of the connection. net/http uses it so
// that a caller that is still sending can read its refusal.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*conn); ok {
		return pipeline.WithDetector(context.WithValue(ctx, connKey{}, own), &own.ahead)
	}
	return ctx
}

// resetWhenIdle is an http.Server.ConnState hook that prepares a connection for
// its next request.
func resetWhenIdle(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok && state == http.StateIdle {
		own.receiving.Store(false)
		own.handled.Store(false)
	}
}

func markHandled(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if own, ok := r.Context().Value(connKey{}).(*conn); ok {
			own.handled.Store(true)
		}
		h.ServeHTTP(w, r)
	})
}
