package pipeline

import (
	"bufio"
	"context"
	"errors"
	"io"
	"log"
	"net"
	"net/http"
	"runtime/debug"
	"sync"
	"time"
)

// lingerTimeout bounds the wait for a caller that still sends while the last answer is on
// its way: closing a connection with unread bytes may destroy the answer.
const lingerTimeout = 500 * time.Millisecond

// exchange is what conn keeps for a request.
type exchange struct {
	http   *http.Request
	answer *answer
	// malformed is the status of a request that could not be read, zero for a sound one.
	malformed int
	cancel    context.CancelFunc
}

// conn is a connection with several requests at once.
type conn struct {
	cfg     *Config
	handler http.Handler
	net     net.Conn
	limited io.LimitedReader
	r       *bufio.Reader
	w       *bufio.Writer
	ctx     context.Context
	cancel  context.CancelFunc

	mu      sync.Mutex
	changed sync.Cond // signals that line, writing or failed has changed
	line    line
	writing bool
	failed  bool // the connection is lost or was aborted
}

func newConn(ctx context.Context, cfg *Config, h http.Handler, c net.Conn, r *bufio.Reader) *conn {
	out := &conn{cfg: cfg, handler: h, net: c, w: bufio.NewWriter(c)}
	out.limited = io.LimitedReader{R: r}
	out.r = bufio.NewReader(&out.limited)
	out.changed.L = &out.mu
	out.ctx, out.cancel = context.WithCancel(ctx)
	return out
}

// serve reads requests until the last one, and returns once all are finished and the
// connection is closed.
func (c *conn) serve() {
	defer c.cancel()
	for c.awaitRoom() {
		r, err := c.read()
		if errors.Is(err, io.EOF) {
			c.hangUp()
			break
		}
		if err != nil {
			c.abort()
			break
		}
		if !c.enter(r) {
			break
		}
	}
	read := make(chan struct{})
	c.net.SetReadDeadline(time.Time{}) // close sets another
	go c.watch(read)
	c.awaitEnd()
	c.close(read)
}

// awaitRoom waits until another request may be read.
func (c *conn) awaitRoom() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.failed && !c.line.last && !c.mayRead() {
		c.changed.Wait()
	}
	return !c.failed && !c.line.last
}

// mayRead reports whether another request is to be read. A node that leaves first answers
// what it has read. The caller holds mu.
func (c *conn) mayRead() bool {
	if len(c.line.waiting) > 0 && c.cfg.draining() {
		return false
	}
	return c.line.hasRoom(c.cfg.Limits)
}

// enter puts a request into the line. It returns false if no other request is taken.
func (c *conn) enter(r *request) bool {
	r.answer = newAnswer()
	ctx, cancel := context.WithCancel(withReceived(c.ctx, time.Now()))
	r.cancel = cancel
	r.http = r.http.WithContext(ctx)
	r.http.RemoteAddr = c.net.RemoteAddr().String()
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.failed || c.line.last {
		cancel()
		return false // not read, as far as the caller can tell
	}
	c.line.add(r)
	c.line.last = r.http.Close
	c.startReady()
	return !c.line.last
}

// adopt puts a request into the empty line that runs already.
func (c *conn) adopt(r *request) {
	r.started = true
	c.line.add(r)
}

// startReady starts the requests that may start. The caller holds mu.
func (c *conn) startReady() {
	if c.failed {
		return
	}
	for _, r := range c.line.start() {
		go c.run(r)
	}
}

// run handles one request.
func (c *conn) run(r *request) {
	defer r.cancel()
	defer func() {
		if cause := recover(); cause != nil {
			c.logPanic(cause)
			c.abort()
			c.finish(r)
		}
	}()
	if r.malformed != 0 {
		c.cfg.Malformed(r.answer, r.malformed)
	} else {
		c.handler.ServeHTTP(r.answer, r.http)
	}
	c.finish(r)
}

// logPanic logs a panic as net/http does.
func (c *conn) logPanic(cause any) {
	if cause != http.ErrAbortHandler {
		log.Printf("panic serving %v: %v\n%s", c.net.RemoteAddr(), cause, debug.Stack())
	}
}

// finish records the answer of a request and writes the answers whose turn it is.
func (c *conn) finish(r *request) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line.finish(r, int64(len(r.answer.body)))
	for !c.writing && !c.failed {
		if !c.writeReady() {
			break
		}
		c.startReady()
	}
	c.changed.Broadcast()
}

// writeReady writes the answers whose turn it is, with mu released meanwhile. It returns
// false if there are none.
func (c *conn) writeReady() bool {
	batch := c.line.ready(c.cfg.draining())
	if len(batch) == 0 {
		return false
	}
	ended := c.line.ended()
	c.writing = true
	c.mu.Unlock()
	err := c.write(batch, ended)
	c.mu.Lock()
	c.writing = false
	switch {
	case err != nil:
		c.fail()
	case ended:
		c.net.SetReadDeadline(time.Now().Add(lingerTimeout)) // ends a read of the next request
	case len(c.line.waiting) == 0:
		c.net.SetReadDeadline(time.Now().Add(c.cfg.IdleTimeout))
	}
	return true
}

// write writes answers in order; ended says that the connection closes after them.
func (c *conn) write(batch []*request, ended bool) error {
	c.net.SetWriteDeadline(time.Now().Add(c.cfg.WriteTimeout))
	for i, r := range batch {
		if err := r.answer.writeTo(c.w, r.http, ended && i == len(batch)-1); err != nil {
			return err
		}
	}
	return c.w.Flush()
}

// hangUp cancels the requests of a caller that has closed its sending side. Their answers
// are written nevertheless.
func (c *conn) hangUp() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.line.hangUp()
	c.cancel()
	c.changed.Broadcast()
}

// abort gives the connection up: its requests are cancelled and get no answer.
func (c *conn) abort() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.fail()
}

// fail is abort with mu held.
func (c *conn) fail() {
	c.failed = true
	c.cancel()
	for _, r := range c.line.waiting {
		r.cancel()
	}
	c.net.Close()
	c.changed.Broadcast()
}

// watch reads what the caller still sends, and notices that it leaves while the last
// answers are awaited.
func (c *conn) watch(done chan<- struct{}) {
	defer close(done)
	io.Copy(io.Discard, c.limited.R) // any end is the end of the caller's sending
	c.hangUp()
}

// awaitEnd waits until no request of the connection runs and no answer is written.
func (c *conn) awaitEnd() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.writing || c.running() {
		c.changed.Wait()
	}
}

// running reports whether a request runs, or will. The caller holds mu.
func (c *conn) running() bool {
	for _, r := range c.line.waiting {
		if r.started && !r.finished || !c.failed {
			return true
		}
	}
	return false
}

// close closes the connection after its last answer; read is closed once the caller sends
// nothing more.
func (c *conn) close(read <-chan struct{}) {
	if half, ok := c.net.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil {
		c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
		<-read
	}
	c.net.Close()
	<-read
}

// closeIdle closes the connection if no answer is awaited on it.
func (c *conn) closeIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.line.waiting) == 0 && !c.writing {
		c.fail()
	}
}
