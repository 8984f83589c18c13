package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"math"
	mathrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/framing"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	idleConnsPerNode = 256
	idleConnTimeout  = 60 * time.Second
)

// Client sends requests to nodes. It is safe for concurrent use. Close releases its
// resources.
type Client struct {
	cfg  Config
	http *http.Client
	keys *keyPool

	mu     sync.Mutex
	rng    *mathrand.Rand
	budget *retry.Budget
	// nodeIndex is the index of the next node in cfg.Nodes.
	nodeIndex int
	// avoidUntil holds the end of the time for which each node is avoided.
	avoidUntil map[string]time.Time
}

// New returns a client, or an error that names the first invalid setting.
func New(cfg Config) (*Client, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Seed == 0 {
		cfg.Seed = randomSeed()
	}
	transport := cfg.Transport
	if transport == nil {
		transport = newTransport()
	}
	c := &Client{
		cfg:        cfg,
		http:       &http.Client{Transport: transport, CheckRedirect: noRedirect},
		rng:        mathrand.New(mathrand.NewPCG(cfg.Seed, 0)),
		budget:     retry.NewBudget(cfg.Retry, time.Now()),
		avoidUntil: make(map[string]time.Time),
	}
	c.nodeIndex = c.rng.IntN(len(cfg.Nodes))
	c.keys = newKeyPool(cfg, c.mint)
	return c, nil
}

// newTransport returns a transport that reads only valid answers.
func newTransport() http.RoundTripper {
	return &http.Transport{
		DialContext:         framing.DialContext(&net.Dialer{}),
		MaxIdleConnsPerHost: idleConnsPerNode,
		IdleConnTimeout:     idleConnTimeout,
	}
}

// Close stops fetching keys and closes idle connections. It doesn't affect requests in
// progress.
func (c *Client) Close() {
	c.keys.close()
	c.http.CloseIdleConnections()
}

// noRedirect returns redirects of backend servers to the program. Following one would
// bypass the node and its guarantees.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends a request and retries it where that is safe and may succeed. An error is
// always a *verdict.Error, whose verdict covers all attempts.
func (c *Client) Do(ctx context.Context, req Request) (*Response, error) {
	if req.RequestID == "" {
		req.RequestID = rand.Text()
	}
	_, hasDeadline := ctx.Deadline()
	req.announceDeadline = hasDeadline || req.Deadline > 0
	if req.Deadline <= 0 {
		req.Deadline = c.cfg.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline)
	defer cancel()
	c.countRequest()
	retries := &retries{cfg: c.cfg, safe: req.Idempotent || req.Key != "" || req.MintKey}
	for {
		res, err := c.tryOnce(ctx, &req)
		if err == nil {
			return c.complete(res, &req, retries), nil
		}
		e := verdict.From(err)
		next := retries.afterFailure(e, remaining(ctx), c.random(), c.allowResend)
		if !next.Retry || !pause.For(ctx, next.Wait) {
			return nil, retries.finalError(e)
		}
		c.renewKey(&req, e, retries)
	}
}

// complete adds what the client knows about the request to its answer.
func (c *Client) complete(res *Response, req *Request, retries *retries) *Response {
	res.Attempts = retries.attempts + 1
	res.Key = req.Key
	if res.RequestID == "" {
		res.RequestID = req.RequestID
	}
	return res
}

// tryOnce makes one attempt. If it can't get a key, the attempt fails as "not run",
// since the request was not sent.
func (c *Client) tryOnce(ctx context.Context, req *Request) (*Response, error) {
	if req.MintKey && req.Key == "" {
		key, err := c.Mint(ctx, req.Service, req.Operation)
		if err != nil {
			return nil, asNotRun(err)
		}
		req.Key = key
	}
	node := c.pickNode()
	res, reached, err := c.attempt(ctx, node, req)
	if (!reached || isDraining(err)) && ctx.Err() == nil {
		c.avoidNode(node)
	}
	return res, err
}

// isDraining reports whether the node refused the request because it is draining.
func isDraining(err error) bool {
	return err != nil && verdict.From(err).Reason == verdict.Draining
}

// renewKey removes the minted key of req if the next attempt should use another.
func (c *Client) renewKey(req *Request, e *verdict.Error, retries *retries) {
	if !req.MintKey || req.Key == "" || !retries.wantsNewKey(e) {
		return
	}
	if holderUnavailable(e.Reason) {
		c.keys.dropKeysOfHolder(req.Key)
	}
	req.Key = ""
}

// asNotRun returns err with the verdict "not run".
func asNotRun(err error) error {
	e := *verdict.From(err)
	e.Verdict = verdict.NotRun
	return &e
}

func (c *Client) countRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.RecordCall(time.Now())
}

func (c *Client) allowResend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.TryTake(time.Now(), math.MaxUint16) // resends of a caller have no order
}

func (c *Client) random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// pickNode returns the next node in round-robin order that is not avoided, or the next
// one if all are avoided.
func (c *Client) pickNode() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for range c.cfg.Nodes {
		node := c.nextNode()
		if now.After(c.avoidUntil[node]) {
			return node
		}
	}
	return c.nextNode()
}

// nextNode returns the next node in round-robin order. The caller holds c.mu.
func (c *Client) nextNode() string {
	node := c.cfg.Nodes[c.nodeIndex]
	c.nodeIndex = (c.nodeIndex + 1) % len(c.cfg.Nodes)
	return node
}

func (c *Client) avoidNode(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoidUntil[node] = time.Now().Add(c.cfg.AvoidFor)
}

// remaining returns the time until the deadline of ctx, zero if it has none.
func remaining(ctx context.Context) time.Duration {
	deadline, ok := ctx.Deadline()
	if !ok {
		return 0
	}
	return time.Until(deadline)
}

func randomSeed() uint64 {
	var b [8]byte
	rand.Read(b[:]) // never fails (crypto/rand, Go 1.24)
	return binary.LittleEndian.Uint64(b[:])
}
