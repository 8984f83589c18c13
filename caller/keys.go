package caller

import (
	"context"
	"encoding/json"
	"net/http"
	"net/url"
	"slices"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	// mintTimeout bounds one request for a key made ahead of need.
	mintTimeout = 2 * time.Second
	// maxKeyAnswer bounds the answer that carries a key, in bytes.
	maxKeyAnswer = 4096
)

// heldKey is a minted key and the time, on this machine's own clock, until
// which it may be used.
type heldKey struct {
	key   string
	useBy time.Time
}

// mintedKey is a node's answer to a request for a key.
type mintedKey struct {
	Key    string `json:"key"`
	HeldMs int64  `json:"held_ms"`
}

// operation names what a key is good for.
type operation struct {
	service string
	name    string
}

type mintFunc func(ctx context.Context, op operation) (heldKey, error)

// keyPool keeps minted keys ahead for each operation that needed one.
type keyPool struct {
	cfg  Config
	mint mintFunc
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	mu      sync.Mutex
	closed  bool
	held    map[operation][]heldKey
	filling map[operation]bool
}

func newKeyPool(cfg Config, mint mintFunc) *keyPool {
	ctx, stop := context.WithCancel(context.Background())
	return &keyPool{
		cfg:     cfg,
		mint:    mint,
		ctx:     ctx,
		stop:    stop,
		held:    make(map[operation][]heldKey),
		filling: make(map[operation]bool),
	}
}

func (p *keyPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stop()
	p.work.Wait()
}

// take returns a key held for the operation, or asks for one, and starts to
// replace what was taken.
func (p *keyPool) take(ctx context.Context, op operation) (string, error) {
	key, ok := p.takeHeld(time.Now(), op)
	p.refill(op)
	if ok {
		return key, nil
	}
	k, err := p.mint(ctx, op)
	return k.key, err
}

// takeHeld drops the keys that would expire before their request's resends
// are through: their holder would refuse the resend.
func (p *keyPool) takeHeld(now time.Time, op operation) (string, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	keys := p.held[op]
	for len(keys) > 0 {
		first := keys[0]
		keys = keys[1:]
		p.held[op] = keys
		if now.Before(first.useBy) {
			return first.key, true
		}
	}
	return "", false
}

// forget drops the keys held of the node that named the given one. Without it
// each of them would cost a request an attempt before a key of another node
// is minted.
func (p *keyPool) forget(key string) {
	gone, err := once.ParseKey(key)
	if err != nil || !gone.Minted {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for op, keys := range p.held {
		p.held[op] = slices.DeleteFunc(keys, func(k heldKey) bool {
			info, err := once.ParseKey(k.key)
			return err == nil && info.Holder == gone.Holder
		})
	}
}

// refill runs at most once at a time for an operation.
func (p *keyPool) refill(op operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.filling[op] || len(p.held[op]) >= p.cfg.Keys {
		return
	}
	p.filling[op] = true
	p.work.Go(func() { p.fill(op) })
}

func (p *keyPool) fill(op operation) {
	for p.fillOne(op) {
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.filling[op] = false
}

// fillOne reports whether more keys are wanted. A failure ends the filling;
// the next request that needs a key starts it again.
func (p *keyPool) fillOne(op operation) bool {
	ctx, cancel := context.WithTimeout(p.ctx, mintTimeout)
	defer cancel()
	k, err := p.mint(ctx, op)
	if err != nil {
		return false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.held[op] = append(p.held[op], k)
	return len(p.held[op]) < p.cfg.Keys
}

// Mint returns a key for one request to the operation, for Request.Key. It
// may be kept and used by another process of the caller.
func (c *Client) Mint(ctx context.Context, service, name string) (string, error) {
	return c.keys.take(ctx, operation{service: service, name: name})
}

// mint asks a node for a key.
func (c *Client) mint(ctx context.Context, op operation) (heldKey, error) {
	node := c.pickNode()
	u := url.URL{Scheme: "http", Host: node, Path: "/key/" + op.service + "/" + op.name}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, u.String(), http.NoBody)
	if err != nil {
		return heldKey{}, verdict.Refuse(verdict.BadRequest, "%v", err)
	}
	asked := time.Now()
	res, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.avoidNode(node)
		}
		return heldKey{}, verdict.Refuse(failure(ctx, verdict.Lost), "key from node %s: %v", node, err)
	}
	defer res.Body.Close()
	return c.readKey(ctx, asked, res)
}

func (c *Client) readKey(ctx context.Context, asked time.Time, res *http.Response) (heldKey, error) {
	raw, err := readLimited(res.Body, maxKeyAnswer)
	if err != nil {
		return heldKey{}, verdict.Refuse(failure(ctx, verdict.Incomplete), "key: %v", err)
	}
	if res.StatusCode != http.StatusOK {
		return heldKey{}, refusedKey(res, raw)
	}
	var m mintedKey
	if err := json.Unmarshal(raw, &m); err != nil {
		return heldKey{}, verdict.Refuse(verdict.Incomplete, "key: %v", err)
	}
	if m.Key == "" {
		return heldKey{}, verdict.Refuse(verdict.Internal, "node gave an empty key")
	}
	// The key's life is counted from before it was asked for, and never
	// compared with another machine's clock.
	life := time.Duration(m.HeldMs) * time.Millisecond
	return heldKey{key: m.Key, useBy: asked.Add(life - c.cfg.KeyMargin)}, nil
}

func refusedKey(res *http.Response, raw []byte) error {
	reason := verdict.Reason(res.Header.Get(headerReason))
	if reason == verdict.None {
		reason = verdict.Internal
	}
	e := verdict.Refuse(reason, "key: status %d: %s", res.StatusCode, detail(raw))
	return e.After(retryAfter(res.Header))
}
