// Package backend is the HTTP client of a node towards its own backend server.
// Its business is the verdict: what may be said about a request when the
// answer is missing, cut off or unusable.
//
// It keeps its own connections: net/http's client sends a request again by
// itself when a kept connection breaks, and gives an answer that nobody asked
// for to the next request.
package backend

import (
	"context"
	"errors"
	"net"
	"net/url"
	"strings"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/call"
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
	// HTTP is the request as its caller sent it, for routes by host and path.
	HTTP call.HTTP
	// Idempotent says that the request does no harm if it has to be sent again.
	Idempotent bool
	// Instance is the start of the backend server that is meant, empty for
	// any.
	Instance string
	// Workspace names that of the caller, empty for none.
	Workspace string

	address string // IP:PORT
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
	// ReachedBackend says that a request which did not run had reached the backend
	// server all the same.
	ReachedBackend bool
	// Broken says that the connection broke while the request was in flight
	// and nobody had cancelled it.
	Broken bool
	// Crashed says that the connection broke and that nothing listens any
	// more: the process is gone. A slow backend server never looks so.
	Crashed bool
}

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	cfg     Config
	dialect Dialect
	pool    *pool
	strays  atomic.Int64
}

// New returns a client. It follows no redirects, uses no proxy and leaves the
// encoding of bodies alone.
func New(cfg Config) *Client {
	c := &Client{cfg: cfg, dialect: cfg.Dialect, pool: newPool(cfg)}
	if c.dialect == nil {
		c.dialect = ownDialect{}
	}
	return c
}

// Close closes the idle connections.
func (c *Client) Close() { c.pool.close() }

// CloseIdle closes the idle connections: those to a process that has ended would
// put the next requests in doubt.
func (c *Client) CloseIdle() { c.pool.closeIdle() }

// Strays is the number of answers that came to no request of theirs.
func (c *Client) Strays() int64 { return c.strays.Load() }

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

// send finds a connection that takes the request. One that was closed before a
// byte of it left is replaced by a new one.
func (c *Client) send(ctx context.Context, r Run, msg Message, head []byte) Result {
	for {
		if reason := ended(ctx); reason != verdict.None {
			return failed(verdict.Refuse(reason, "not handed to the backend server in time"))
		}
		conn, reused, err := c.pool.take(ctx, r.address, !r.Idempotent)
		if err != nil {
			return failed(notHandedOver(ctx, err))
		}
		x := &exchange{client: c, conn: conn, run: r, msg: msg, reused: reused}
		res, unsent := x.do(ctx, head)
		if !unsent {
			return res
		}
		if !reused {
			return failed(notHandedOver(ctx, errors.New("the connection was closed at once")))
		}
	}
}

// notHandedOver is for a request of which no byte has left.
func notHandedOver(ctx context.Context, err error) *verdict.Error {
	if reason := ended(ctx); reason != verdict.None {
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

const (
	// probes is how often a backend server that broke a connection is
	// looked for.
	probes = 2
	// probeTimeout is short: a crash refuses at once, and one that is too
	// busy to accept must not hold up the answer to its caller.
	probeTimeout = 100 * time.Millisecond
)

// notice tells a crash from a backend server that broke one connection: after
// a crash nothing listens. One look is not enough, because a process that is
// being killed closes its sockets one by one.
func (c *Client) notice(ctx context.Context, addr string, cn *conn, res *Result) {
	res.Broken = cn.broken && ended(ctx) == verdict.None
	if !res.Broken {
		return
	}
	for i := range probes {
		if i > 0 {
			time.Sleep(c.cfg.ProbeGap)
		}
		if gone(addr) {
			res.Crashed = true
			return
		}
	}
}

func gone(addr string) bool {
	conn, err := net.DialTimeout("tcp", addr, probeTimeout)
	if err != nil {
		return errors.Is(err, syscall.ECONNREFUSED)
	}
	conn.Close()
	return false
}
