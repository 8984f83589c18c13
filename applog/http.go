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
)

const (
	// requestTimeout bounds one request. A log that is slower than this is
	// treated as down; nothing in a call's path waits for it.
	requestTimeout = 5 * time.Second
	dialTimeout    = 2 * time.Second
	// maxIdleConns suits one process, which has few requests open at once.
	maxIdleConns = 4
	// maxPageBytes bounds what one read may take in memory. The server cuts
	// its pages far below that; a single record is bounded by it too.
	maxPageBytes = 16 << 20
	// maxErrorBytes of an error's text are reported.
	maxErrorBytes = 512
)

type httpLog struct {
	base   string
	client *http.Client
}

// NewHTTP returns the client of a log service at baseURL. A nil client stands
// for one with timeouts that suit a single process.
func NewHTTP(baseURL string, client *http.Client) Log {
	own := http.Client{Timeout: requestTimeout, Transport: defaultTransport()}
	if client != nil {
		own = *client
	}
	// A redirect of an append could send the record twice.
	own.CheckRedirect = func(*http.Request, []*http.Request) error {
		return http.ErrUseLastResponse
	}
	return &httpLog{base: strings.TrimRight(baseURL, "/"), client: &own}
}

func defaultTransport() *http.Transport {
	dialer := &net.Dialer{Timeout: dialTimeout}
	return &http.Transport{
		DialContext:         dialer.DialContext,
		MaxIdleConnsPerHost: maxIdleConns,
		IdleConnTimeout:     time.Minute,
	}
}

func (l *httpLog) records(stream string) string {
	return l.base + "/streams/" + url.PathEscape(stream) + "/records"
}

// Append implements Log.
func (l *httpLog) Append(ctx context.Context, stream string, data []byte) (uint64, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, l.records(stream), bytes.NewReader(data))
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrNotWritten, err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	resp, err := l.client.Do(req)
	if err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, appendFailure(err), err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, appendRefusal(resp.StatusCode), statusError(resp))
	}
	var answer struct {
		Offset *uint64 `json:"offset"`
	}
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxErrorBytes)).Decode(&answer); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", stream, ErrUnknownOutcome, err)
	}
	if answer.Offset == nil {
		return 0, fmt.Errorf("append to %s: %w: answer without an offset", stream, ErrUnknownOutcome)
	}
	return *answer.Offset, nil
}

// appendFailure tells a connection that was never made, over which nothing
// can have been written, from one that was lost later.
func appendFailure(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotWritten
	}
	return ErrUnknownOutcome
}

// appendRefusal says what a status claims. Statuses of 500 and more may come
// from a place behind which the record was written.
func appendRefusal(status int) error {
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
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, l.records(stream)+"?"+query.Encode(), nil)
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
	if err := json.NewDecoder(io.LimitReader(resp.Body, maxPageBytes)).Decode(&page); err != nil {
		return Page{}, fmt.Errorf("read %s: %w: %w", stream, ErrUnavailable, err)
	}
	return page, page.check(from)
}

// check refuses a page with a gap or out of order: folding it would give a
// state that no other reader has.
func (p Page) check(from uint64) error {
	want := max(from, p.Oldest)
	for _, r := range p.Records {
		if r.Offset != want {
			return fmt.Errorf("%w: record %d where %d was due", ErrUnavailable, r.Offset, want)
		}
		want++
	}
	if len(p.Records) > 0 && want > p.Next {
		return fmt.Errorf("%w: record %d behind the end %d", ErrUnavailable, want-1, p.Next)
	}
	return nil
}

func statusError(resp *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(resp.Body, maxErrorBytes))
	return fmt.Errorf("%s: %s", resp.Status, strings.TrimSpace(string(text)))
}
