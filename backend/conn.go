package backend

import (
	"bufio"
	"context"
	"errors"
	"io"
	"maps"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/framing"
)

// conn is one connection to a backend server. It carries one request at a time.
type conn struct {
	net.Conn
	// number identifies the connection among those of its pool, from 1 on.
	number  uint64
	in      *limitedReader
	answers *framing.Reader
	r       *bufio.Reader
	// sent counts the bytes written. NotRun may only be claimed for a request
	// of which no byte was written.
	sent int64
	// broken is set when the backend server ended the connection.
	broken bool
	// desynchronized is set when an unexpected answer arrived: later answers
	// could belong to any request, so the connection must not be reused.
	desynchronized bool
	// idleFor is how long the connection may be idle and still be reused.
	idleFor time.Duration
	// idleSince is when the last answer was read.
	idleSince time.Time
	// carried holds the hashes of the ids of all requests sent on the connection.
	carried []uint64
	last    lastRequest
}

// maxCarried is the number of requests after which a connection is replaced. It bounds
// conn.carried.
const maxCarried = 1024

// noteCarried records that the request with the id is sent on the connection.
func (c *conn) noteCarried(requestID string) {
	c.carried = append(c.carried, xxhash.Sum64String(requestID))
}

// mayCarry reports whether the request with the id may be sent on the connection. None is
// sent there twice: the backend server may repeat its answer to the first, and the id does
// not tell it from the answer to the second.
func (c *conn) mayCarry(requestID string) bool {
	return !slices.Contains(c.carried, xxhash.Sum64String(requestID))
}

// readBuffer is the size of a connection's buffer in bytes. Most answers fit.
const readBuffer = 4 << 10

func newConn(c net.Conn, idleFor time.Duration) *conn {
	in := &limitedReader{r: c}
	answers := framing.NewReader(in)
	return &conn{Conn: c, in: in, answers: answers, r: bufio.NewReaderSize(answers, readBuffer), idleFor: idleFor}
}

// hasUnread reports whether bytes have been received that were not read.
func (c *conn) hasUnread() bool { return c.r.Buffered() > 0 || c.answers.Err() != nil }

// setReadLimit sets how many more bytes may be read from the connection.
func (c *conn) setReadLimit(bytes int64) { c.in.left = bytes }

func (c *conn) write(b []byte) error {
	n, err := c.Conn.Write(b)
	c.sent += int64(n)
	c.noteError(err)
	return err
}

// noteError sets broken if err shows that the backend server ended the
// connection.
func (c *conn) noteError(err error) {
	if endedByServer(err) {
		c.broken = true
	}
}

// endedByServer reports whether an error shows that the other end ended the connection.
func endedByServer(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) ||
		errors.Is(err, syscall.ECONNRESET) || errors.Is(err, syscall.EPIPE)
}

// idleState is the state of an idle connection.
type idleState uint8

const (
	// usable: the connection is open and has no data to read.
	usable idleState = iota
	// unread: the backend server has sent something, which would be taken for the answer to
	// the next request.
	unread
	// ended: the connection is closed. A request sent on it would get the verdict MayHaveRun.
	ended
)

// idleState returns the state of an idle connection. After unread it can't be used any more.
func (c *conn) idleState() idleState {
	if c.hasUnread() {
		return unread
	}
	raw, ok := c.Conn.(syscall.Conn)
	if !ok {
		return usable
	}
	rc, err := raw.SyscallConn()
	if err != nil {
		return ended
	}
	var one [1]byte
	var n int
	var readErr error
	if err := rc.Read(func(fd uintptr) bool {
		n, readErr = syscall.Read(int(fd), one[:])
		return true
	}); err != nil {
		return ended
	}
	switch {
	case readErr == syscall.EAGAIN:
		return usable
	case n > 0:
		return unread
	default:
		return ended
	}
}

// pool holds the idle connections to one address. The most recently used one is
// taken first.
type pool struct {
	cfg    Config
	dialer net.Dialer
	opened atomic.Uint64 // connections so far
	// onUnread is called for an idle connection on which data has arrived.
	onUnread func(*conn)

	mu   sync.Mutex
	addr string
	idle []*conn
	// active holds the connections that carry a request.
	active map[*conn]bool
	closed bool
	// maxReuseIdle is how long a connection may have been idle to be reused. It
	// shrinks when an idle connection turns out to be stale.
	maxReuseIdle time.Duration
	// reuseIdleChanged is when maxReuseIdle last changed.
	reuseIdleChanged time.Time
}

const (
	// maxNonIdempotentIdle is how long a connection may have been idle to carry
	// a request that is not idempotent. The backend server may have dropped an
	// idle connection, which only shows when a request sent on it gets no
	// answer. Under load connections are reused within milliseconds, so this
	// opens few new ones.
	maxNonIdempotentIdle = time.Second
	// reuseIdleBackoff is the fraction of a stale connection's idle time to
	// which maxReuseIdle shrinks. After each reuseIdleGrowInterval it doubles
	// again.
	reuseIdleBackoff      = 0.5
	reuseIdleGrowInterval = 10 * time.Second
)

func newPool(cfg Config) *pool {
	return &pool{cfg: cfg, dialer: net.Dialer{Timeout: cfg.DialTimeout}, maxReuseIdle: cfg.IdleTimeout, active: make(map[*conn]bool)}
}

// get returns a connection to addr that has not carried the request with the id; reused says
// that it carried another one before. nonIdempotent asks for one that is new or has been idle
// for less than maxNonIdempotentIdle.
func (p *pool) get(ctx context.Context, addr, requestID string, nonIdempotent bool) (c *conn, reused bool, err error) {
	if c := p.getIdle(addr, requestID, nonIdempotent); c != nil {
		return c, true, nil
	}
	c, err = p.dial(ctx, addr)
	return c, false, err
}

// getIdle returns an idle connection as get does, nil if there is none. It closes those
// that can't be used any more.
func (p *pool) getIdle(addr, requestID string, nonIdempotent bool) *conn {
	now := time.Now()
	limit := p.reuseIdleLimit(now)
	var passedOver []*conn
	defer func() { p.putBack(addr, passedOver) }()
	for {
		c := p.pop(addr)
		if c == nil {
			return nil
		}
		idle := now.Sub(c.idleSince)
		state := c.idleState()
		if state == unread {
			p.onUnread(c)
		}
		switch {
		case state != usable:
			c.Close()
		case nonIdempotent && idle >= maxNonIdempotentIdle && idle < limit:
			passedOver = append(passedOver, c)
			return nil // the other connections have been idle for longer
		case idle >= min(c.idleFor, limit):
			c.Close()
		case !c.mayCarry(requestID):
			passedOver = append(passedOver, c)
		default:
			return c
		}
	}
}

func (p *pool) dial(ctx context.Context, addr string) (*conn, error) {
	raw, err := p.dialer.DialContext(ctx, "tcp", addr)
	if err != nil {
		return nil, err
	}
	c := newConn(raw, p.cfg.IdleTimeout)
	c.number = p.opened.Add(1)
	return c, nil
}

// reuseIdleLimit returns how long a connection may have been idle to be reused,
// and first doubles the limit if it has not changed for reuseIdleGrowInterval.
func (p *pool) reuseIdleLimit(now time.Time) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.maxReuseIdle < p.cfg.IdleTimeout && now.Sub(p.reuseIdleChanged) >= reuseIdleGrowInterval {
		p.maxReuseIdle = min(2*p.maxReuseIdle, p.cfg.IdleTimeout)
		p.reuseIdleChanged = now
	}
	return p.maxReuseIdle
}

// minReuseIdle is the lower bound of maxReuseIdle. It lets consecutive requests
// share a connection.
const minReuseIdle = 50 * time.Millisecond

// reduceReuseIdle lowers the limit after the backend server had dropped a
// connection that was idle for the given time.
func (p *pool) reduceReuseIdle(now time.Time, idle time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.maxReuseIdle = max(minReuseIdle, min(p.maxReuseIdle, time.Duration(float64(idle)*reuseIdleBackoff)))
	p.reuseIdleChanged = now
}

// putBack returns connections to addr that were not used, given in the order in which pop
// returned them.
func (p *pool) putBack(addr string, conns []*conn) {
	if len(conns) == 0 {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range slices.Backward(conns) {
		if p.closed || p.addr != addr {
			c.Close()
			continue
		}
		p.idle = append(p.idle, c)
	}
}

// pop removes the most recently used idle connection and returns it, nil if
// there is none. Idle connections to another address are closed.
func (p *pool) pop(addr string) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.addr != addr {
		p.closeIdleLocked()
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

// begin and end record that a connection carries a request.
func (p *pool) begin(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.active[c] = true
}

func (p *pool) end(c *conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.active, c)
}

// activeConns returns the connections that carry a request.
func (p *pool) activeConns() []*conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Collect(maps.Keys(p.active))
}

// anyOpen reports whether any of these connections still carries its request, or any idle one can
// be used.
func (p *pool) anyOpen(conns []*conn) bool {
	p.closeUnusable()
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.idle) > 0 || slices.ContainsFunc(conns, func(c *conn) bool { return p.active[c] })
}

// closeIdleLocked closes the idle connections. The caller must hold p.mu.
func (p *pool) closeIdleLocked() {
	for _, c := range p.idle {
		c.Close()
	}
	p.idle = nil
}

// closeUnusable closes the idle connections that can't be used any more: a backend server counts
// them, and may send on them without an end.
func (p *pool) closeUnusable() {
	p.mu.Lock()
	now := time.Now()
	var withData []*conn
	p.idle = slices.DeleteFunc(p.idle, func(c *conn) bool {
		state := c.idleState()
		if state == unread {
			withData = append(withData, c)
		}
		if state == usable && now.Sub(c.idleSince) < c.idleFor {
			return false
		}
		c.Close()
		return true
	})
	p.mu.Unlock()
	for _, c := range withData {
		p.onUnread(c)
	}
}

func (p *pool) closeIdle() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeIdleLocked()
}

func (p *pool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeIdleLocked()
}
