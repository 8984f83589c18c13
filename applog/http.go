package applog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/framing"
)

const (
	// requestTimeout limits one request. A slower log service counts as
	// unavailable; no call waits for it.
	requestTimeout = 5 * time.Second
	dialTimeout    = 2 * time.Second
	// maxIdleConns is small since a process has few requests open at once.
	maxIdleConns = 4
	// maxPageBytes limits the memory of one read, and so the size of a record.
	// The service's own limit of a page is far smaller.
	maxPageBytes = 16 << 20
	// maxErrorBytes limits the part of an error answer that an error quotes.
	maxErrorBytes = 512
)

// httpLog implements Log over HTTP.
type httpLog struct {
	base   string
	client *http.Client
}

// NewHTTP returns a client of the log service at baseURL. It copies client; if
// client is nil, it uses one with its own timeouts.
func NewHTTP(baseURL string, client *http.Client) Log {
	own := http.Client{Timeout: requestTimeout, Transport: defaultTransport()}
	if client != nil {
		own = *client
	}
	// Following the redirect of an append could write the record twice.
	own.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &httpLog{base: strings.TrimRight(baseURL, "/"), client: &own}
}

func defaultTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         framing.DialContext(dialer),
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
}

// recordsURL returns the URL of the records of a stream.
func (l *httpLog) recordsURL(stream string) string {
	return l.base + "/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (l *httpLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrNotWritten, err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, classifyAppendError(err), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, classifyAppendStatus(resp.StatusCode), statusError(resp))
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := decode(resp, maxErrorBytes, &answer); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrUnknownOutcome, err)
	}
	if answer.Offset == nil {
		return 0, fmt.Errorf("append to %s: %w: answer without an offset", stream, ErrUnknownOutcome)
	}
	return *answer.Offset, nil
}

// classifyAppendError classifies a transport error: if no connection was made, the
// record was certainly not written, otherwise the outcome is unknown.
func classifyAppendError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotWritten
	}
	return ErrUnknownOutcome
}

// classifyAppendStatus classifies the status of a failed append. A 5xx status may come
// from a proxy after the service wrote the record, so its outcome is unknown.
func classifyAppendStatus(status int) error {
	switch status {
	case http.StatusTooManyRequests, http.StatusRequestEntityTooLarge,
		http.StatusBadRequest, http.StatusNotFound, http.StatusMethodNotAllowed:
		return ErrNotWritten
	default:
		return ErrUnknownOutcome
	}
}

// Read implements Log.
func (l *httpLog) Read(ctx context.Context, stream string, from uint64, max int) (Page, error) {
	query := url.Values{
		"from": {strconv.FormatUint(from, 10)},
		"max":  {strconv.Itoa(max)},
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w", stream, err)
	}
	resp, err := l.client.Do(req)
	if err != nil {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, statusError(resp))
	}
	var page Page
	if err := decode(resp, maxPageBytes, &page); err != nil {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	return page, page.check(from)
}

// decode decodes the body of an answer, of at most limit bytes, after it has arrived whole.
func decode(resp *http.Response, limit int64, v any) error {
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	switch {
	case err != nil:
		return err
	case int64(len(body)) > limit:
		return fmt.Errorf("answer of more than %d bytes", limit)
	default:
		return json.Unmarshal(body, v)
	}
}

// check returns an error if the records of a page have a gap or are out of
// order: applying them would give a state that differs from other readers.
func (p Page) check(from uint64) error {
	want := max(from, p.Oldest)
	for _, r := range p.Records {
		if r.Offset != want {
			return fmt.Errorf("%w: got record %d, want record %d", ErrUnavailable, r.Offset, want)
		}
		want++
	}
	if len(p.Records) > 0 && want > p.Next {
		return fmt.Errorf("%w: record %d is past the end %d of the stream", ErrUnavailable, want-1, p.Next)
	}
	return nil
}

// statusError returns an error with the status and the beginning of the body.
func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
}
