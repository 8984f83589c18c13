package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// conn is one connection to a backend server. It carries one request at a
// time.
type conn struct {
	net.Conn
	limited *io.LimitedReader
	r       *bufio.Reader
	// sent counts the bytes that left: "not run" may only be said when no
	// byte of a request has.
	sent int64
	// broken says that the other side ended the connection.
	broken bool
	// unusable says that something odd came: what comes next could belong to
	// any request.
	unusable bool
	// idleFor is how long the other side keeps the connection idle.
	idleFor time.Duration
	// idleSince is when the last answer was read.
	idleSince time.Time
}

// readBuffer is the size of a connection's buffer in bytes: most answers fit.
const readBuffer = 4 << 10

func newConn(c net.Conn, idleFor time.Duration) *conn {
	limited := &io.LimitedReader{R: c}
	return &conn{Conn: c, limited: limited, r: bufio.NewReaderSize(limited, readBuffer), idleFor: idleFor}
}

// allow sets how many more bytes the other side may send.
func (c *conn) allow(bytes int64) { c.limited.N = bytes }

func (c *conn) write(b []byte) error {
	n, err := c.Conn.Write(b)
	c.sent += int64(n)
	c.note(err)
	return err
}

// note remembers that the other side ended the connection.
func (c *conn) note(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE) {
		c.broken = true
	}
}

// silent reports whether a kept connection is still open and nothing came on
// it. An answer that nobody asked for would otherwise be taken for that of the
// next request, and a request sent on a closed connection be in doubt.
func (c *conn) silent() bool {
	if c.r.Buffered() > 0 {
		return false
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return true
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	var one [1]byte
	var readErr error
	if err := rc.Read(func(fd uintptr) bool {
		_, readErr = syscall.Read(int(fd), one[:])
		return true
	}); err != nil {
		return false
	}
	return readErr == syscall.EAGAIN
}

// pool keeps the idle connections to one address; the latest is used first.
type pool struct {
	cfg    Config
	dialer net.Dialer

	mu     sync.Mutex
	addr   string
	idle   []*conn
	closed bool
}

func newPool(cfg Config) *pool {
	return &pool{cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout}}
}

// take returns a connection to addr; reused says that it carried a request
// before.
func (p *pool) take(ctx context.Context, addr string) (c *conn, reused bool, err error) {
	now := time.Now()
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		if now.Sub(c.idleSince) < c.idleFor && c.silent() {
			return c, true, nil
		}
		c.Close()
	}
	c, err = p.dial(ctx, addr)
	return c, false, err
}

func (p *pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	return newConn(raw, p.cfg.IdleTimeout), nil
}

// pop takes an idle connection. Those to an earlier address are closed.
func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr != addr {
		p.drop()
		p.addr = addr
	}
	if len(p.idle) == 0 {
		return nil
	}
	last := len(p.idle) - 1
	c := p.idle[last]
	p.idle = p.idle[:last]
	return c
}

func (p *pool) put(c *conn, addr string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.addr != addr || len(p.idle) >= p.cfg.MaxIdle {
		c.Close()
		return
	}
	c.idleSince = time.Now()
	p.idle = append(p.idle, c)
}

// drop closes the idle connections; the caller holds the lock.
func (p *pool) drop() {
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.drop()
}
