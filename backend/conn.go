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
	// trusted is how long a connection may have been idle to be used again.
	trusted time.Duration
	// widened is when it last changed.
	widened time.Time
}

const (
	// onceIdle is how long a connection may have been idle to carry a request
	// that must not run twice. A backend server may have forgotten an idle
	// connection, which only shows when the request is sent on it: the request
	// is then in doubt, and its caller gets no answer. Under load connections
	// are used again within milliseconds, so few new ones are opened for it.
	onceIdle = time.Second
	// forgotten is the part of the idle time of a connection that turned out
	// to be forgotten that is still trusted, and widenEvery the time after
	// which twice as much is tried again.
	forgotten  = 0.5
	widenEvery = 10 * time.Second
)

func newPool(cfg Config) *pool {
	return &pool{cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout}, trusted: cfg.IdleTimeout}
}

// take returns a connection to addr; reused says that it carried a request
// before. once asks for one that has hardly been idle.
func (p *pool) take(ctx context.Context, addr string, once bool) (c *conn, reused bool, err error) {
	now := time.Now()
	limit := p.trust(now)
	for {
		c := p.pop(addr)
		if c == nil {
			break
		}
		idle := now.Sub(c.idleSince)
		if once && idle >= onceIdle && idle < limit {
			p.restore(c) // the others have been idle for longer
			break
		}
		if idle < min(c.idleFor, limit) && c.silent() {
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

// trust returns how long a connection may have been idle, which grows again with
// time.
func (p *pool) trust(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.trusted < p.cfg.IdleTimeout && now.Sub(p.widened) >= widenEvery {
		p.trusted = min(2*p.trusted, p.cfg.IdleTimeout)
		p.widened = now
	}
	return p.trusted
}

// leastTrust is what is trusted at least: time for one request after the other.
const leastTrust = 50 * time.Millisecond

// distrust notes that a connection which had been idle for a time was forgotten
// by the other side.
func (p *pool) distrust(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.trusted = max(leastTrust, min(p.trusted, time.Duration(float64(idle)*forgotten)))
	p.widened = now
}

// restore puts back a connection that was not used.
func (p *pool) restore(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		c.Close()
		return
	}
	p.idle = append(p.idle, c)
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

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.drop()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.drop()
}
