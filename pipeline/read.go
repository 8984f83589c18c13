package pipeline

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
)

// read reads the next request with its body. It returns an error if the connection is
// lost, idle for too long or closed by the caller.
func (c *conn) read() (*request, error) {
	c.limited.N = c.cfg.MaxHead
	c.setReadDeadline(c.cfg.IdleTimeout)
	if _, err := c.r.Peek(1); err != nil {
		return nil, err
	}
	c.setReadDeadline(c.cfg.HeadTimeout)
	req, err := http.ReadRequest(c.r)
	switch {
	case isTimeout(err):
		return malformed(http.StatusRequestTimeout), nil
	case err != nil && c.limited.N <= 0:
		return malformed(http.StatusRequestHeaderFieldsTooLarge), nil
	case errors.Is(err, io.ErrUnexpectedEOF):
		return nil, io.EOF
	case errors.Is(err, io.EOF), errors.As(err, new(*net.OpError)):
		return nil, err
	case err != nil || !sound(req):
		return malformed(http.StatusBadRequest), nil
	}
	c.net.SetReadDeadline(time.Time{})
	return c.readBody(req)
}

func isTimeout(err error) bool {
	var t interface{ Timeout() bool }
	return errors.As(err, &t) && t.Timeout()
}

func malformed(status int) *request {
	return &request{exchange: exchange{malformed: status, http: &http.Request{Method: http.MethodGet, Close: true}}}
}

// setReadDeadline sets the read deadline if no answer is awaited: a timeout ends the
// connection, and the requests on it would lose their answers.
func (c *conn) setReadDeadline(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.line.waiting) == 0 && !c.writing {
		c.net.SetReadDeadline(time.Now().Add(d))
	} else {
		c.net.SetReadDeadline(time.Time{})
	}
}

// readBody reads the body of a request, if it has one.
func (c *conn) readBody(req *http.Request) (*request, error) {
	r := &request{exchange: exchange{http: req}}
	if req.ContentLength == 0 {
		r.repeatable = c.cfg.Repeatable(req)
		return r, nil
	}
	c.limited.N = c.cfg.MaxBody + c.cfg.MaxHead // chunks have heads, too
	if err := c.sendContinue(req); err != nil {
		return nil, err
	}
	c.net.SetReadDeadline(time.Now().Add(c.cfg.BodyTimeout))
	body, err := io.ReadAll(io.LimitReader(req.Body, c.cfg.MaxBody+1))
	c.net.SetReadDeadline(time.Time{})
	r.bytes = int64(len(body))
	req.Body = &readBody{data: body, err: err}
	if err != nil || r.bytes > c.cfg.MaxBody {
		req.Close = true // where the next request begins is unknown
	}
	return r, nil
}

// sendContinue asks for a body that the caller holds back until it is asked.
func (c *conn) sendContinue(req *http.Request) error {
	if req.Header.Get("Expect") == "" {
		return nil
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	for !c.failed && (len(c.line.waiting) > 0 || c.writing) {
		c.changed.Wait()
	}
	_, err := fmt.Fprint(c.net, "HTTP/1.1 100 Continue\r\n\r\n")
	return err
}

// readBody is a body in memory. Its error, if any, follows the data.
type readBody struct {
	data []byte
	err  error
}

// Read implements io.Reader.
func (b *readBody) Read(p []byte) (int, error) {
	if len(b.data) == 0 {
		if b.err != nil {
			return 0, b.err
		}
		return 0, io.EOF
	}
	n := copy(p, b.data)
	b.data = b.data[n:]
	return n, nil
}

// Close implements io.Closer.
func (b *readBody) Close() error { return nil }

// sound reports whether a parsed head is one that net/http's server accepts.
func sound(r *http.Request) bool {
	if r.Host == "" && r.ProtoAtLeast(1, 1) || r.ProtoMajor != 1 {
		return false
	}
	for name, values := range r.Header {
		for _, v := range values {
			if !headers.Valid(name, v) {
				return false
			}
		}
	}
	return true
}
