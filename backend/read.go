package backend

import (
	"errors"
	"io"
	"net/http"
	"time"
)

// A backend server in trouble may send bytes without an end, in a head or in a body. What is read
// from it is bounded in bytes, so that they cost little memory and processor time; a request
// that gets nothing else ends at its deadline at the latest.

// errReadLimit: the backend server sent more than an answer may have.
var errReadLimit = errors.New("received more than an answer may have")

// limitedReader is an io.LimitedReader that tells the limit from the end of the connection.
type limitedReader struct {
	r    io.Reader
	left int64 // bytes that may be read
}

func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errReadLimit
	}
	n, err := l.r.Read(p[:min(int64(len(p)), l.left)])
	l.left -= int64(n)
	return n, err
}

// maxHeads returns how many bytes the head of an answer may have, together with the interim
// answers before it.
func (c *Config) maxHeads() int64 { return 2*int64(c.MaxHeader) + readBuffer }

// maxBody returns how many bytes a body may have as sent, with the frames of its chunks.
func (c *Config) maxBody() int64 { return c.MaxAnswer + c.maxHeads() }

const (
	// maxDiscard is the longest body in bytes that is read only to use the connection again.
	maxDiscard = 4 << 10
	// discardTimeout is how long the rest of such a body may take. It usually comes with its
	// head.
	discardTimeout = 10 * time.Millisecond
)

// discardShort reads a body that says nothing, and reports whether it has ended. It waits for
// none that is long or late: the result is certain without it.
func (x *exchange) discardShort(resp *http.Response) bool {
	if closeDelimited(resp) || resp.ContentLength > maxDiscard {
		return false
	}
	if resp.ContentLength > int64(x.conn.r.Buffered()) || resp.ContentLength < 0 {
		x.conn.SetReadDeadline(time.Now().Add(discardTimeout))
		defer x.conn.SetReadDeadline(time.Time{})
	}
	n, err := io.Copy(io.Discard, io.LimitReader(resp.Body, maxDiscard+1))
	return err == nil && n <= maxDiscard
}

// discard reads a body that belongs to another request.
func (x *exchange) discard(resp *http.Response) error {
	x.conn.setReadLimit(x.client.cfg.maxBody())
	_, err := io.Copy(io.Discard, resp.Body)
	x.conn.noteError(err)
	return err
}

var errTooLarge = errors.New("answer too large")

// body reads the body of the answer.
func (x *exchange) body(resp *http.Response) ([]byte, error) {
	x.conn.setReadLimit(x.client.cfg.maxBody())
	body, err := x.readAll(resp)
	x.conn.noteError(err)
	if errors.Is(err, errReadLimit) {
		err = errTooLarge
	}
	return body, err
}

const (
	// unknownSpace is the memory in bytes that a body of unknown length gets at first.
	unknownSpace = 4 << 10
	// announcedSpace is the memory in bytes that an announced body gets before it has come.
	announcedSpace = 64 << 10
)

// readAll reads a body into memory that grows as the body comes: what an answer announces may
// never follow.
func (x *exchange) readAll(resp *http.Response) ([]byte, error) {
	limit := x.client.cfg.MaxAnswer
	if resp.ContentLength > limit {
		return nil, errTooLarge
	}
	if resp.ContentLength >= 0 {
		return x.readAnnounced(resp.Body, resp.ContentLength)
	}
	body := make([]byte, 0, unknownSpace)
	body, err := x.readUpTo(resp.Body, body, limit+1)
	switch {
	case int64(len(body)) > limit:
		return nil, errTooLarge
	case err == io.EOF:
		return body, nil
	default:
		return nil, err
	}
}

// readAnnounced reads a body of the given length.
func (x *exchange) readAnnounced(r io.Reader, length int64) ([]byte, error) {
	body, err := x.readUpTo(r, make([]byte, 0, min(length, announcedSpace)), length)
	switch {
	case int64(len(body)) == length:
		return body, nil
	case err == io.EOF:
		return nil, io.ErrUnexpectedEOF
	default:
		return nil, err
	}
}

// readUpTo appends what r holds to body, up to the given length. The error is nil only at that
// length.
func (x *exchange) readUpTo(r io.Reader, body []byte, length int64) ([]byte, error) {
	for int64(len(body)) < length {
		if len(body) == cap(body) {
			if err := x.grow(&body, length); err != nil {
				return body, err
			}
		}
		n, err := r.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if err != nil {
			return body, err
		}
	}
	return body, nil
}

// grow doubles the space of body, up to the given length. It takes what exceeds announcedSpace
// from the memory that all answers share.
func (x *exchange) grow(body *[]byte, length int64) error {
	space := min(2*int64(cap(*body)), length)
	more := space - max(int64(cap(*body)), announcedSpace)
	if more > 0 {
		if !x.client.largeAnswers.take(more) {
			return errNoMemory
		}
		x.reserved += more
	}
	*body = append(make([]byte, 0, space), *body...)
	return nil
}
