package entry

import (
	"bytes"
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"sync/atomic"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/verdict"
)

// Listener wraps ln for a server from NewServer. net/http answers what it
// cannot read as a request (malformed fields, a head that is too large) by
// itself and without a verdict, and a head that does not arrive in time not at
// all: the caller would have to take a request that reached no handler for one
// that may have run. The connections of this listener add what is missing.
func Listener(ln net.Listener) net.Listener { return &listener{Listener: ln} }

type listener struct{ net.Listener }

func (l *listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c}, nil
}

// conn knows whether a handler has taken the request that is being read. Only
// before that can an answer be net/http's own; that is enough to never touch
// the bytes of a handler's answer.
type conn struct {
	net.Conn
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
