package pipeline

import (
	"bufio"
	"bytes"
	"io"
	"net/http"
	"time"
)

// answer holds one answer until it is its turn. It implements http.ResponseWriter and
// what http.ResponseController uses.
type answer struct {
	header http.Header
	status int
	body   []byte
}

func newAnswer() *answer { return &answer{header: make(http.Header)} }

// Header implements http.ResponseWriter.
func (a *answer) Header() http.Header { return a.header }

// WriteHeader implements http.ResponseWriter.
func (a *answer) WriteHeader(status int) {
	if a.status == 0 {
		a.status = status
	}
}

// Write implements http.ResponseWriter.
func (a *answer) Write(p []byte) (int, error) {
	a.WriteHeader(http.StatusOK)
	a.body = append(a.body, p...)
	return len(p), nil
}

// FlushError does nothing: an answer is sent whole.
func (a *answer) FlushError() error { return nil }

// SetReadDeadline does nothing: the body has been read before the handler started.
func (a *answer) SetReadDeadline(time.Time) error { return nil }

// SetWriteDeadline does nothing: the connection has its own.
func (a *answer) SetWriteDeadline(time.Time) error { return nil }

// writeTo writes the answer to r.
func (a *answer) writeTo(w *bufio.Writer, r *http.Request, closes bool) error {
	a.WriteHeader(http.StatusOK)
	a.header.Del("Connection")
	if a.header.Get("Date") == "" {
		a.header.Set("Date", time.Now().UTC().Format(http.TimeFormat))
	}
	resp := http.Response{
		StatusCode:    a.status,
		ProtoMajor:    1,
		ProtoMinor:    1,
		Header:        a.header,
		Body:          io.NopCloser(bytes.NewReader(a.body)),
		ContentLength: int64(len(a.body)),
		Request:       r,
		Close:         closes,
	}
	return resp.Write(w)
}
