package backend

import (
	"context"
	"errors"
	"io"
	"net"
	"net/url"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// countedConn counts the bytes that left and remembers that the other side
// ended the connection. net/http does not say whether a failed request had
// been written, and "not run" may only be said when it had not.
type countedConn struct {
	net.Conn
	sent   atomic.Int64
	broken atomic.Bool
}

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.note(err)
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(int64(n))
	c.note(err)
	return n, err
}

func (c *countedConn) note(err error) {
	if err == io.EOF || errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.broken.Store(true)
	}
}

func dialer(cfg Config) func(context.Context, string, string) (net.Conn, error) {
	d := &net.Dialer{Timeout: cfg.DialTimeout}
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		return &countedConn{Conn: conn}, nil
	}
}

func isDial(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && op.Op == "dial"
}

const (
	// probes is how often a backend server that broke a connection is
	// looked for.
	probes = 2
	// probeTimeout is short: a crash refuses at once, and one that is too
	// busy to accept must not hold up the answer to its caller.
	probeTimeout = 100 * time.Millisecond
)

// notice tells a crash from a backend server that broke one connection: after
// a crash nothing listens. One look is not enough, because a process that is
// being killed closes its sockets one by one.
func (c *Client) notice(ctx context.Context, baseURL string, att *attempt, res *Result) {
	res.Broken = att.conn.broken.Load() && ended(ctx) == verdict.None
	if !res.Broken {
		return
	}
	for i := range probes {
		if i > 0 {
			time.Sleep(c.cfg.ProbeGap)
		}
		if c.gone(baseURL) {
			res.Crashed = true
			return
		}
	}
}

func (c *Client) gone(baseURL string) bool {
	u, err := url.Parse(baseURL)
	if err != nil {
		return false
	}
	conn, err := net.DialTimeout("tcp", u.Host, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
