package caller

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"math"
	mathrand "math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	idleConnsPerNode = 256
	idleConnTimeout  = 60 * time.Second
)

// Client sends requests. It is safe for concurrent use; Close it at the end.
type Client struct {
	cfg  Config
	http *http.Client
	keys *keyPool

	mu     sync.Mutex
	rng    *mathrand.Rand
	budget *retry.Budget
	turn   int
	avoid  map[string]time.Time
}

// New returns a client, or an error that names the wrong setting.
func New(cfg Config) (*Client, error) {
	if err := cfg.check(); err != nil {
		return nil, err
	}
	if cfg.Seed == 0 {
		cfg.Seed = randomSeed()
	}
	transport := cfg.Transport
	if transport == nil {
		transport = &http.Transport{MaxIdleConnsPerHost: idleConnsPerNode, IdleConnTimeout: idleConnTimeout}
	}
	c := &Client{
		cfg:    cfg,
		http:   &http.Client{Transport: transport, CheckRedirect: noRedirect},
		rng:    mathrand.New(mathrand.NewPCG(cfg.Seed, 0)),
		budget: retry.NewBudget(cfg.Retry, time.Now()),
		avoid:  make(map[string]time.Time),
	}
	c.turn = c.rng.IntN(len(cfg.Nodes))
	c.keys = newKeyPool(cfg, c.mint)
	return c, nil
}

// Close ends what runs in the background and frees idle connections.
// Requests under way are not affected.
func (c *Client) Close() {
	c.keys.close()
	c.http.CloseIdleConnections()
}

// noRedirect hands a backend server's redirect to the program: following it
// would leave the node and its promises.
func noRedirect(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }

// Do sends a request and, where it is safe and worthwhile, sends it again. An
// error is always a *verdict.Error.
func (c *Client) Do(ctx context.Context, req Request) (*Response, error) {
	if req.RequestID == "" {
		req.RequestID = rand.Text()
	}
	_, given := ctx.Deadline()
	req.announceDeadline = given || req.Deadline > 0
	if req.Deadline <= 0 {
		req.Deadline = c.cfg.Deadline
	}
	ctx, cancel := context.WithTimeout(ctx, req.Deadline)
	defer cancel()
	c.countRequest()
	course := &course{cfg: c.cfg, safe: req.Idempotent || req.Key != "" || req.MintKey}
	for {
		res, err := c.tryOnce(ctx, &req)
		if err == nil {
			return c.complete(res, &req, course), nil
		}
		e := verdict.From(err)
		step := course.failed(e, timeLeft(ctx), c.random(), c.allowResend)
		if !step.Again || !pause.For(ctx, step.Wait) {
			return nil, course.conclude(e)
		}
		c.renewKey(&req, e, course)
	}
}

func (c *Client) complete(res *Response, req *Request, course *course) *Response {
	res.Attempts = course.attempts + 1
	res.Key = req.Key
	if res.RequestID == "" {
		res.RequestID = req.RequestID
	}
	return res
}

// tryOnce makes one attempt. A failure to get a key is one too: the request
// was not sent, so it did not run.
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
	if (!reached || leaving(err)) && ctx.Err() == nil {
		c.avoidNode(node)
	}
	return res, err
}

func leaving(err error) bool {
	return err != nil && verdict.From(err).Reason == verdict.Draining
}

// renewKey drops a minted key, so that the next attempt takes another.
func (c *Client) renewKey(req *Request, e *verdict.Error, course *course) {
	if !req.MintKey || req.Key == "" || !course.wantsNewKey(e) {
		return
	}
	if holderUnfit(e.Reason) {
		c.keys.forget(req.Key)
	}
	req.Key = ""
}

func asNotRun(err error) error {
	e := *verdict.From(err)
	e.Verdict = verdict.NotRun
	return &e
}

func (c *Client) countRequest() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.budget.Call(time.Now())
}

func (c *Client) allowResend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.budget.Allow(time.Now(), math.MaxUint16) // all resends of one caller count alike
}

func (c *Client) random() float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rng.Float64()
}

// pickNode takes the nodes in turn and passes over those that could not be
// reached or were leaving lately, unless that leaves none.
func (c *Client) pickNode() string {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	for range c.cfg.Nodes {
		node := c.nextNode()
		if now.After(c.avoid[node]) {
			return node
		}
	}
	return c.nextNode()
}

func (c *Client) nextNode() string {
	node := c.cfg.Nodes[c.turn]
	c.turn = (c.turn + 1) % len(c.cfg.Nodes)
	return node
}

func (c *Client) avoidNode(node string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.avoid[node] = time.Now().Add(c.cfg.AvoidFor)
}

func timeLeft(ctx context.Context) time.Duration {
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
