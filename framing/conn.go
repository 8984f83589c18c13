package framing

import (
	"context"
	"io"
	"net"
	"sync/atomic"
	"syscall"
)

// Conn is a client's connection that gives out only valid answers, for transports that read
// answers with net/http. An answer without a length ends with an error unless the other side has
// closed the connection after it had received all that was written.
type Conn struct {
	net.Conn
	answers *Reader
	// unwritten is set when a write has failed.
	unwritten atomic.Bool
}

// NewConn returns a Conn on c.
func NewConn(c net.Conn) *Conn { return &Conn{Conn: c, answers: NewReader(c)} }

// Read implements net.Conn.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.answers.Read(p)
	if err == io.EOF && c.answers.EndsWithConnection() && (c.unwritten.Load() || EndOf(c.Conn) != Closed) {
		err = &net.OpError{Op: "read", Net: "tcp", Err: syscall.ECONNRESET}
	}
	return n, err
}

// Write implements net.Conn.
func (c *Conn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	if err != nil {
		c.unwritten.Store(true)
	}
	return n, err
}

// DialContext returns a function for http.Transport that opens connections with d.
func DialContext(d *net.Dialer) func(ctx context.Context, network, addr string) (net.Conn, error) {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return NewConn(c), nil
	}
}
