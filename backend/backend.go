// Package backend is the HTTP client of a node for its own backend server. It
// determines the verdict of a request: what is known about whether it ran when
// the answer is missing, truncated or unusable.
//
// It manages its own connections instead of using net/http's client, which may
// send a request again when a reused connection breaks and takes an unsolicited
// answer for that of the next request.
package backend

import (
	"context"
	"errors"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Run describes one attempt at the backend server.
type Run struct {
	// Token identifies the running call; the backend server sends it back with
	// the calls that it makes on its behalf.
	Token      string
	Operation  string
	RequestID  string
	Importance importance.Importance
	// Budget is the remaining time until the deadline. The context should end
	// at the same time.
	Budget time.Duration
	Header []call.Field
	Query  string
	Body   []byte
	// HTTP is the request as its caller sent it, for routes by host and path.
	HTTP call.HTTP
	// Idempotent says that a second run of the request does no harm.
	Idempotent bool
	// Incarnation is the backend incarnation that the request is meant for, empty
	// for any.
	Incarnation string
	// Workspace is the caller's workspace, empty for none.
	Workspace string

	address string // IP:PORT
}

// Result is the result of one attempt.
type Result struct {
	Verdict verdict.Verdict
	// Reason is empty for a complete answer of the backend server; otherwise
	// Status, Header and Body are not set.
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
	Status     int
	Header     []call.Field
	Body       []byte
	Latency    time.Duration
	// Conn is the number of the connection that carried the request, zero for none.
	Conn uint64
	// Notice is what the backend server said about itself in its answer, and NoticeError
	// names the fields of it that are malformed. Answered says that it sent one.
	Notice      Notice
	NoticeError error
	Answered    bool
	// ReachedBackend says that a request which did not run had reached the backend
	// server.
	ReachedBackend bool
	// Broken says that the connection broke while the request was in flight and
	// the context had not ended.
	Broken bool
	// Crashed says that the connection broke and that the process of the backend server is
	// gone: it refuses connections, or all of them break. A slow backend server is
	// never reported as crashed.
	Crashed bool
	// Gone says that the request did not run since the process was gone before: it refuses
	// connections, or another incarnation has its address.
	Gone bool
}

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	cfg          Config
	dialect      Dialect
	pool         *pool
	largeAnswers *memoryBudget
	strays       atomic.Int64
	// contradictions counts the strays that contradict a result.
	contradictions atomic.Int64
	// invalid counts the answers that are not valid HTTP.
	invalid atomic.Int64
}

// New returns a Client. It follows no redirects, uses no proxy and does not
// change the encoding of bodies.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, dialect: cfg.Dialect, pool: newPool(cfg), largeAnswers: newMemoryBudget(cfg.MaxLargeAnswers)}
	c.pool.onUnread = c.reportUnread
	if c.dialect == nil {
		c.dialect = nativeDialect{}
	}
	return c
}

// Close closes the idle connections and keeps no others after use.
func (c *Client) Close() { c.pool.close() }

// CloseIdle closes the idle connections. After the backend server has ended,
// requests sent on them would get the verdict MayHaveRun.
func (c *Client) CloseIdle() { c.pool.closeIdle() }

// CloseUnusable closes the idle connections on which the backend server has sent something, that
// it has closed, or that have been idle for too long. It is to be called from time to time.
func (c *Client) CloseUnusable() { c.pool.closeUnusable() }

// ConnectionsOpened returns the number of connections opened so far.
func (c *Client) ConnectionsOpened() int64 { return int64(c.pool.opened.Load()) }

// StrayAnswers returns the number of answers received that no request waited for.
func (c *Client) StrayAnswers() int64 { return c.strays.Load() }

// Contradictions returns the number of stray answers that show that a request ran which was
// reported as not run.
func (c *Client) Contradictions() int64 { return c.contradictions.Load() }

// InvalidAnswers returns the number of answers to requests that were not valid HTTP.
func (c *Client) InvalidAnswers() int64 { return c.invalid.Load() }

// Run sends the request at most once and waits for the complete answer or the
// end of the context.
func (c *Client) Run(ctx context.Context, baseURL string, r Run) Result {
	start := time.Now()
	res := c.run(ctx, baseURL, r)
	res.Latency = time.Since(start)
	return res
}

func (c *Client) run(ctx context.Context, baseURL string, r Run) Result {
	if r.Budget <= 0 {
		return failed(verdict.Refuse(verdict.Deadline, "the deadline has passed"))
	}
	addr, path, err := splitURL(baseURL)
	if err != nil {
		return failed(verdict.Refuse(verdict.NoBackend, "%v", err))
	}
	r.address = addr
	msg, err := c.dialect.Message(addr, path, r)
	if err != nil {
		return failed(verdict.Refuse(verdict.BadRequest, "%v", err))
	}
	head, err := encode(msg)
	if err != nil {
		return failed(verdict.Refuse(verdict.BadRequest, "%v", err))
	}
	return c.send(ctx, r, msg, head)
}

// send sends the request on an idle or new connection. An idle connection on
// which no byte could be written is replaced by another.
func (c *Client) send(ctx context.Context, r Run, msg Message, head []byte) Result {
	for {
		if reason := contextReason(ctx); reason != verdict.None {
			return failed(verdict.Refuse(reason, "not handed to the backend server in time"))
		}
		conn, reused, err := c.pool.get(ctx, r.address, r.RequestID, !r.Idempotent)
		if err != nil {
			res := failed(notHandedOver(ctx, err))
			res.Gone = errors.Is(err, syscall.ECONNREFUSED)
			return res
		}
		x := &exchange{client: c, conn: conn, run: r, msg: msg, reused: reused}
		res, unsent := x.do(ctx, head)
		if !unsent {
			res.Conn = conn.number
			return res
		}
		if !reused {
			return failed(notHandedOver(ctx, errors.New("the new connection was closed before any byte was written")))
		}
	}
}

// notHandedOver returns the error for a request of which no byte was sent.
func notHandedOver(ctx context.Context, err error) *verdict.Error {
	if reason := contextReason(ctx); reason != verdict.None {
		return verdict.Refuse(reason, "not handed to the backend server in time")
	}
	return verdict.Refuse(verdict.NoBackend, "%v", err)
}

// splitURL returns the address and the path of http://IP:PORT/PATH.
func splitURL(baseURL string) (addr, path string, err error) {
	rest, ok := strings.CutPrefix(baseURL, "http://")
	if !ok {
		return "", "", &url.Error{Op: "parse", URL: baseURL, Err: errURL}
	}
	addr, path, found := strings.Cut(rest, "/")
	if found {
		path = "/" + path
	}
	return addr, path, nil
}

func (r Result) withReason(reason verdict.Reason, detail string) Result {
	r.Reason, r.Detail = reason, detail
	return r
}

func failed(e *verdict.Error) Result {
	return Result{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, RetryAfter: e.RetryAfter}
}

// contextReason returns the reason why the context has ended, or None if it has
// not.
func contextReason(ctx context.Context) verdict.Reason {
	switch {
	case ctx.Err() == nil:
		return verdict.None
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return verdict.Deadline
	default:
		return verdict.Canceled
	}
}
