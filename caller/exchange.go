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

// Headers of the callers' interface of a node.
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

// headerKeyOnWire is headerKey in lower case. http.Transport itself resends a request
// with an "Idempotency-Key" when a reused connection breaks, and such attempts are not
// limited by the client. The transport looks only for the canonical form, while nodes
// ignore the case. headerXKey has the same effect; nodes don't know it, so the client
// removes it.
const (
	headerKeyOnWire = "idempotency-key"
	headerXKey      = "X-Idempotency-Key"
)

// maxDetail limits the part of the body of a refusal that an error quotes, in bytes.
const maxDetail = 512

var (
	// errTooLarge means that an answer exceeds its size limit.
	errTooLarge = errors.New("answer exceeds the limit")
	// errSwitched means that a node changed the protocol, which no request asks for.
	errSwitched = errors.New("the protocol was switched")
)

// attempt makes one attempt at one node. reached is false if the connection failed
// before the node answered.
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
	v := verdict.Parse(answer.Header.Get(headerVerdict))
	if answer.StatusCode == http.StatusSwitchingProtocols {
		return nil, true, incompleteAnswer(ctx, node, v, errSwitched)
	}
	body, err := readLimited(answer.Body, c.cfg.MaxAnswer)
	if err != nil {
		return nil, true, incompleteAnswer(ctx, node, v, err)
	}
	if reason := verdict.Reason(answer.Header.Get(headerReason)); reason != verdict.None {
		return nil, true, &verdict.Error{
			Verdict:    v,
			Reason:     reason,
			RetryAfter: retryAfter(answer.Header),
			Detail:     detail(body),
		}
	}
	return newResponse(answer, body, v), true, nil
}

// newResponse returns the response for a complete answer of a backend server.
func newResponse(answer *http.Response, body []byte, v verdict.Verdict) *Response {
	return &Response{
		Status:    answer.StatusCode,
		Header:    answer.Header,
		Body:      body,
		Verdict:   v,
		RequestID: answer.Header.Get(headerRequestID),
		KeyTTL:    millis(answer.Header.Get(headerKeyHeld)),
	}
}

// newRequest returns the HTTP request for one attempt at a node.
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
		remainingMs := max(time.Until(deadline).Milliseconds(), 1)
		h.Header.Set(headerDeadline, strconv.FormatInt(remainingMs, 10))
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

// roundTrip sends a request and reports whether its headers were sent. If not, no node
// can have received it.
func (c *Client) roundTrip(h *http.Request) (*http.Response, bool, error) {
	var sent atomic.Bool
	trace := &httptrace.ClientTrace{WroteHeaders: func() { sent.Store(true) }}
	h = h.WithContext(httptrace.WithClientTrace(h.Context(), trace))
	res, err := c.http.Do(h)
	return res, sent.Load(), err
}

// transportError returns the error for an attempt without an answer. Its verdict is
// "not run" if nothing was sent.
func transportError(ctx context.Context, node string, sent bool, err error) *verdict.Error {
	e := verdict.Refuse(failureReason(ctx, verdict.ConnectionLost), "node %s: %v", node, err)
	if sent {
		e.Verdict = verdict.MayHaveRun
	}
	return e
}

// incompleteAnswer returns the error for an answer whose body could not be read or is
// too large.
func incompleteAnswer(ctx context.Context, node string, v verdict.Verdict, err error) *verdict.Error {
	reason := failureReason(ctx, verdict.Incomplete)
	if errors.Is(err, errTooLarge) {
		reason = verdict.TooLarge
	}
	return &verdict.Error{Verdict: v, Reason: reason, Detail: fmt.Sprintf("answer of node %s: %v", node, err)}
}

// failureReason returns fallback unless ctx is done: then the deadline or the caller's
// cancellation is the reason.
func failureReason(ctx context.Context, fallback verdict.Reason) verdict.Reason {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Deadline
	case ctx.Err() != nil:
		return verdict.Canceled
	default:
		return fallback
	}
}

// readLimited reads all of r. It returns an error that wraps errTooLarge if that is
// more than limit bytes.
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

// retryAfter returns the delay that a node asks for, zero if it asks for none.
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

// millis parses a number of milliseconds and returns zero if it is not valid.
func millis(text string) time.Duration {
	ms, err := strconv.ParseUint(text, 10, 40)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// detail returns the beginning of a body for an error.
func detail(body []byte) string {
	if len(body) > maxDetail {
		body = body[:maxDetail]
	}
	return string(bytes.TrimSpace(body))
}
