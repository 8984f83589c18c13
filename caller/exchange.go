package caller

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// The headers of the callers' interface.
const (
	headerDeadline     = "Cassialoom-Deadline-Ms"
	headerImportance   = "Cassialoom-Importance"
	headerRequestID    = "Cassialoom-Request-Id"
	headerVerdict      = "Cassialoom-Verdict"
	headerReason       = "Cassialoom-Reason"
	headerRetryAfter   = "Retry-After"
	headerRetryAfterMs = "Cassialoom-Retry-After-Ms"
	headerKey          = "Idempotency-Key"
	headerKeyHeld      = "Cassialoom-Key-Held-Ms"
)

// headerKeyOnWire is headerKey in a form that only net/http tells apart. Its
// transport resends a request with "Idempotency-Key" by itself when a used
// connection breaks, and such attempts escape the bounds. It looks for the
// canonical form alone; to the node the case of a header makes no difference.
// headerXKey has the same effect and no meaning to a node: it is dropped.
const (
	headerKeyOnWire = "idempotency-key"
	headerXKey      = "X-Idempotency-Key"
)

// maxDetail bounds how much of a refusal's body goes into the error.
const maxDetail = 512

// errTooLarge says that an answer exceeds Config.MaxAnswer.
var errTooLarge = errors.New("answer exceeds the limit")

// attempt makes one attempt at one node. reached is false if the node could
// not be reached at all.
func (c *Client) attempt(ctx context.Context, node string, req *Request) (res *Response, reached bool, err error) {
	h, err := c.newRequest(ctx, node, req)
	if err != nil {
		return nil, true, verdict.Refuse(verdict.BadRequest, "%v", err)
	}
	answer, sent, err := c.roundTrip(h)
	if err != nil {
		return nil, false, transportError(ctx, node, sent, err)
	}
	defer answer.Body.Close()
	body, err := readLimited(answer.Body, c.cfg.MaxAnswer)
	said := verdict.Parse(answer.Header.Get(headerVerdict))
	if err != nil {
		return nil, true, unreadable(ctx, node, said, err)
	}
	if reason := verdict.Reason(answer.Header.Get(headerReason)); reason != verdict.None {
		return nil, true, &verdict.Error{
			Verdict:    said,
			Reason:     reason,
			RetryAfter: retryAfter(answer.Header),
			Detail:     detail(body),
		}
	}
	return newResponse(answer, body, said), true, nil
}

func newResponse(answer *http.Response, body []byte, said verdict.Verdict) *Response {
	return &Response{
		Status:    answer.StatusCode,
		Header:    answer.Header,
		Body:      body,
		Verdict:   said,
		RequestID: answer.Header.Get(headerRequestID),
		KeyHeld:   millis(answer.Header.Get(headerKeyHeld)),
	}
}

func (c *Client) newRequest(ctx context.Context, node string, req *Request) (*http.Request, error) {
	u := url.URL{Scheme: "http", Host: node, Path: "/call/" + req.Service + "/" + req.Operation, RawQuery: req.Query}
	h, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), bytes.NewReader(req.Body))
	if err != nil {
		return nil, err
	}
	if req.Header != nil {
		h.Header = req.Header.Clone()
	}
	h.Header.Set(headerRequestID, req.RequestID)
	if deadline, ok := ctx.Deadline(); ok && req.announceDeadline {
		left := max(time.Until(deadline).Milliseconds(), 1)
		h.Header.Set(headerDeadline, strconv.FormatInt(left, 10))
	}
	if req.Importance != nil {
		h.Header.Set(headerImportance, req.Importance.String())
	}
	h.Header.Del(headerKey)
	h.Header.Del(headerXKey)
	if req.Key != "" {
		h.Header[headerKeyOnWire] = []string{req.Key}
	}
	return h, nil
}

// roundTrip reports whether the request's headers were written: before that a
// node cannot have taken it.
func (c *Client) roundTrip(h *http.Request) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	h = h.WithContext(httptrace.WithClientTrace(h.Context(), trace))
	res, err := c.http.Do(h)
	return res, sent.Load(), err
}

func transportError(ctx context.Context, node string, sent bool, err error) *verdict.Error {
	e := verdict.Refuse(failure(ctx, verdict.Lost), "node %s: %v", node, err)
	if sent {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

func unreadable(ctx context.Context, node string, said verdict.Verdict, err error) *verdict.Error {
	reason := failure(ctx, verdict.Incomplete)
	if errors.Is(err, errTooLarge) {
		reason = verdict.TooLarge
	}
	return &verdict.Error{Verdict: said, Reason: reason, Detail: fmt.Sprintf("answer of node %s: %v", node, err)}
}

// failure returns the reason, which is the caller's own if its context ended.
func failure(ctx context.Context, otherwise verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Deadline
	case ctx.Err() != nil:
		return verdict.Canceled
	default:
		return otherwise
	}
}

func readLimited(r io.Reader, limit int64) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(r, limit+1))
	if err != nil {
		return nil, err
	}
	if int64(len(body)) > limit {
		return nil, fmt.Errorf("%w of %d bytes", errTooLarge, limit)
	}
	return body, nil
}

func retryAfter(h http.Header) time.Duration {
	if d := millis(h.Get(headerRetryAfterMs)); d > 0 {
		return d
	}
	seconds, err := strconv.ParseUint(h.Get(headerRetryAfter), 10, 31)
	if err != nil {
		return 0
	}
	return time.Duration(seconds) * time.Second
}

func millis(text string) time.Duration {
	ms, err := strconv.ParseUint(text, 10, 40)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

func detail(body []byte) string {
	if len(body) > maxDetail {
		body = body[:maxDetail]
	}
	return string(bytes.TrimSpace(body))
}
