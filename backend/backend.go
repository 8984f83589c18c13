// Package backend is the HTTP client of a node towards its own backend server.
// Its business is the verdict: what may be said about a request when the
// answer is missing, cut off or unusable.
package backend

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
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Run is one attempt at the backend server.
type Run struct {
	// Token names the running call; the backend server hands it back with
	// the calls that it makes for it.
	Token      string
	Operation  string
	RequestID  string
	Importance importance.Importance
	// Budget is the time left until the deadline. The context should end
	// with it.
	Budget time.Duration
	Header []call.Field
	Query  string
	Body   []byte
}

// Result is what became of an attempt.
type Result struct {
	Verdict verdict.Verdict
	// Reason is empty for a whole answer of the backend server; otherwise
	// Status, Header and Body are not set.
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
	Status     int
	Header     []call.Field
	Body       []byte
	Latency    time.Duration
	// Broken says that the connection broke while the request was in flight
	// and nobody had cancelled it.
	Broken bool
	// Crashed says that the connection broke and that nothing listens any
	// more: the process is gone. A slow backend server never looks so.
	Crashed bool
}

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	cfg       Config
	transport *http.Transport
}

// New returns a client. It follows no redirects, uses no proxy and leaves the
// encoding of bodies alone.
func New(cfg Config) *Client {
	return &Client{
		cfg: cfg,
		transport: &http.Transport{
			DialContext:            dialer(cfg),
			DisableCompression:     true,
			MaxIdleConns:           cfg.MaxIdle,
			MaxIdleConnsPerHost:    cfg.MaxIdle,
			IdleConnTimeout:        cfg.IdleTimeout,
			MaxResponseHeaderBytes: int64(2 * cfg.MaxHeader),
		},
	}
}

// Close closes the idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Run sends the request once and waits for the whole answer, or for the end of
// the context.
func (c *Client) Run(ctx context.Context, baseURL string, r Run) Result {
	start := time.Now()
	res := c.run(ctx, baseURL, r)
	res.Latency = time.Since(start)
	return res
}

func (c *Client) run(ctx context.Context, baseURL string, r Run) Result {
	if r.Budget <= 0 {
		return failed(verdict.Refuse(verdict.Deadline, "no time is left"))
	}
	att := &attempt{}
	req, err := newRequest(att.trace(ctx), baseURL, r)
	if err != nil {
		return failed(verdict.Refuse(verdict.BadRequest, "%v", err))
	}
	resp, err := c.transport.RoundTrip(req)
	if err != nil {
		return c.withoutAnswer(ctx, baseURL, att, err)
	}
	defer resp.Body.Close()
	return c.answer(ctx, baseURL, att, resp)
}

func newRequest(ctx context.Context, baseURL string, r Run) (*http.Request, error) {
	target := baseURL + "/" + url.PathEscape(r.Operation)
	if r.Query != "" {
		target += "?" + r.Query
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, target, body(r.Body))
	if err != nil {
		return nil, fmt.Errorf("request for the backend server: %w", err)
	}
	// net/http sends a request again by itself when it can rewind the body:
	// without GetBody a request whose first byte has left is never repeated.
	req.GetBody = nil
	h := req.Header
	headers.Apply(h, r.Header)
	if _, given := h["User-Agent"]; !given {
		h["User-Agent"] = nil // net/http would add its own
	}
	h.Set(headers.Call, r.Token)
	h.Set(headers.RequestID, r.RequestID)
	h.Set(headers.Importance, r.Importance.String())
	h.Set(headers.DeadlineMs, strconv.FormatInt(max(1, r.Budget.Milliseconds()), 10))
	return req, nil
}

func body(b []byte) io.Reader {
	if len(b) == 0 {
		return http.NoBody
	}
	return bytes.NewReader(b)
}

// withoutAnswer is for an attempt that ended before the head of an answer.
func (c *Client) withoutAnswer(ctx context.Context, baseURL string, att *attempt, err error) Result {
	if !att.written() {
		return failed(notHandedOver(ctx, att, err))
	}
	if reason := ended(ctx); reason != verdict.None {
		return failed(verdict.Doubt(reason, "no answer in time"))
	}
	res := failed(verdict.Doubt(verdict.Lost, "no answer: %v", err))
	c.notice(ctx, baseURL, att, &res)
	return res
}

// notHandedOver is for a request of which no byte has left.
func notHandedOver(ctx context.Context, att *attempt, err error) *verdict.Error {
	if reason := ended(ctx); reason != verdict.None {
		return verdict.Refuse(reason, "not handed to the backend server in time")
	}
	if att.conn == nil && !isDial(err) {
		// The request itself could not be sent (a field that HTTP forbids).
		return verdict.Refuse(verdict.BadRequest, "%v", err)
	}
	return verdict.Refuse(verdict.NoBackend, "%v", err)
}

// answer reads the rest of an answer whose head has come: the request ran,
// whatever happens to the body.
func (c *Client) answer(ctx context.Context, baseURL string, att *attempt, resp *http.Response) Result {
	if refused(resp) {
		e := verdict.Refuse(verdict.Shed, "the backend server refused").After(retryAfter(resp.Header))
		return failed(e)
	}
	res := Result{Verdict: verdict.Ran}
	if unbounded(resp) {
		// Without a length a cut-off answer looks like a whole one.
		return res.unusable(verdict.Incomplete, "the answer has neither a length nor chunks")
	}
	body, err := readAll(resp, c.cfg.MaxAnswer)
	switch {
	case errors.Is(err, errTooLarge):
		return res.unusable(verdict.TooLarge, fmt.Sprintf("the answer is larger than %d bytes", c.cfg.MaxAnswer))
	case err != nil && ended(ctx) != verdict.None:
		return res.unusable(ended(ctx), "the answer did not end in time")
	case err != nil:
		res = res.unusable(verdict.Incomplete, fmt.Sprintf("the answer broke off: %v", err))
		c.notice(ctx, baseURL, att, &res)
		return res
	}
	fields, err := headers.Collect(resp.Header, c.cfg.MaxHeader)
	if err != nil {
		return res.unusable(verdict.TooLarge, "answer: "+err.Error())
	}
	res.Status, res.Header, res.Body = resp.StatusCode, fields, body
	return res
}

func (r Result) unusable(reason verdict.Reason, detail string) Result {
	r.Reason, r.Detail = reason, detail
	return r
}

func failed(e *verdict.Error) Result {
	return Result{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, RetryAfter: e.RetryAfter}
}

// ended names the reason for which the context is over, if it is.
func ended(ctx context.Context) verdict.Reason {
	switch {
	case ctx.Err() == nil:
		return verdict.None
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Deadline
	default:
		return verdict.Canceled
	}
}

// attempt follows one request on its connection.
type attempt struct {
	conn  *countedConn
	start int64
}

func (a *attempt) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
}

func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	a.conn, _ = info.Conn.(*countedConn)
	a.start = a.conn.sent.Load()
}

// written reports whether any byte of the request has left. It is asked after
// the round trip has failed: net/http has ended its writer by then.
func (a *attempt) written() bool {
	return a.conn != nil && a.conn.sent.Load() > a.start
}
