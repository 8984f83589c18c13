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
	"github.com/cassialoom/cassialoom/verdict"
)

// Listener wraps ln for a server from NewServer. net/http answers what it
// cannot read as a request (malformed fields, a head that is too large) by
// itself and without a verdict, and a head that does not arrive in time not at
// all: the caller would have to take a request that reached no handler for one
// that may have run. The connections of this listener add what is missing.
func Listener(ln net.Listener) *Connections { return &Connections{Listener: ln} }

// Connections is a listener that knows how many of its connections are open.
type Connections struct {
	net.Listener
	open   atomic.Int64
	closed sync.Once
}

// Close implements net.Listener. It may be called again, as a server does that is
// shut down after the last call: the error of the second close would be reported
// as a failed stop.
func (l *Connections) Close() (err error) {
	l.closed.Do(func() { err = l.Listener.Close() })
	return err
}

// lastCallPoll is the pause between two looks at the open connections.
const lastCallPoll = 10 * time.Millisecond

// DrainConnections takes no new connections and waits, for a limited time, until the
// callers have given up the ones that they keep. A server that is draining
// answers each request with the end of its connection; one that is closed from
// this side instead may just be carrying a request, whose caller then hears
// nothing and cannot know whether it was taken.
func (l *Connections) DrainConnections(ctx context.Context, limit time.Duration) {
	l.Close() // refuses new connections; there is nothing else to end
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for l.open.Load() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-time.After(lastCallPoll):
		}
	}
}

func (l *Connections) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.open.Add(1)
	return &conn{Conn: c, of: l}, nil
}

// conn knows whether a handler has taken the request that is being read. Only
// before that can an answer be net/http's own; that is enough to never touch
// the bytes of a handler's answer.
type conn struct {
	net.Conn
	of      *Connections
	closed  atomic.Bool
	handled atomic.Bool
	// begun says that a part of the next request has arrived.
	begun atomic.Bool
}

var (
	statusLine = []byte("HTTP/1.")
	endOfLine  = []byte("\r\n")
	notRun     = []byte(headers.Verdict + ": " + verdict.NotRun.String() + "\r\n" +
		headers.Reason + ": " + string(verdict.BadRequest) + "\r\n")
	headTimedOut = []byte("HTTP/1.1 408 Request Timeout\r\nConnection: close\r\nContent-Length: 0\r\n\r\n")
)

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.begun.Store(true)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) && c.begun.Load() && !c.handled.Load() {
		c.Write(headTimedOut) // the connection is closed in any case
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
	answer := bytes.Join([][]byte{line, endOfLine, notRun, rest}, nil)
	if _, err := c.Conn.Write(answer); err != nil {
		return 0, err
	}
	return len(p), nil
}

// Close implements net.Conn.
func (c *conn) Close() error {
	if !c.closed.Swap(true) {
		c.of.open.Add(-1)
	}
	return c.Conn.Close()
}

// CloseWrite lets the server end its side first, so that a caller that still
// sends gets to read its refusal.
func (c *conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

type connKey struct{}

func withConn(ctx context.Context, c net.Conn) context.Context {
	if own, ok := c.(*conn); ok {
		return context.WithValue(ctx, connKey{}, own)
	}
	return ctx
}

// awaitRequest is told when a connection begins to wait for its next request.
func awaitRequest(c net.Conn, state http.ConnState) {
	if own, ok := c.(*conn); ok && state == http.StateIdle {
		own.begun.Store(false)
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
