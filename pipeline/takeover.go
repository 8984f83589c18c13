package pipeline

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"
)

// deferred is the http.ResponseWriter of a request that net/http has read. It writes
// directly unless the connection was taken over before the answer began.
type deferred struct {
	http.ResponseWriter
	server *Server
	http   *http.Request

	mu    sync.Mutex
	begun bool
	// conn serves the connection once it was taken over; first is this request there.
	conn  *conn
	first *request
}

var errAnswering = errors.New("the answer has begun")

// takeOver takes the connection from net/http and serves what follows on it, unless the
// answer has begun.
func (d *deferred) takeOver() error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.begun || d.conn != nil {
		return errAnswering
	}
	header := d.ResponseWriter.Header()
	nc, buffered, err := http.NewResponseController(d.ResponseWriter).Hijack()
	if err != nil {
		return err
	}
	c := newConn(context.WithoutCancel(d.http.Context()), &d.server.cfg, d.server.handler, nc, buffered.Reader)
	d.first = &request{exchange: exchange{http: d.http, answer: &answer{header: header}, cancel: func() {}}}
	c.adopt(d.first)
	d.conn = c
	d.server.serve(c)
	return nil
}

// end is called once the handler has returned.
func (d *deferred) end() {
	if d.begin() != nil {
		d.conn.finish(d.first)
	}
}

// abort is called if the handler has panicked.
func (d *deferred) abort() {
	if d.begin() != nil {
		d.conn.abort()
		d.conn.finish(d.first)
	}
}

// begin settles who writes the answer and returns the held one, nil for none.
func (d *deferred) begin() *answer {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.conn == nil {
		d.begun = true
		return nil
	}
	return d.first.answer
}

// WriteHeader implements http.ResponseWriter.
func (d *deferred) WriteHeader(status int) {
	if a := d.begin(); a != nil {
		a.WriteHeader(status)
		return
	}
	d.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (d *deferred) Write(p []byte) (int, error) {
	if a := d.begin(); a != nil {
		return a.Write(p)
	}
	return d.ResponseWriter.Write(p)
}

// FlushError flushes an answer that is written directly.
func (d *deferred) FlushError() error {
	if d.begin() != nil {
		return nil
	}
	return http.NewResponseController(d.ResponseWriter).Flush()
}

// SetReadDeadline sets the deadline for reading the body; without a body there is none.
func (d *deferred) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline sets the deadline of an answer that is written directly.
func (d *deferred) SetWriteDeadline(t time.Time) error {
	if d.begin() != nil {
		return nil
	}
	return http.NewResponseController(d.ResponseWriter).SetWriteDeadline(t)
}
