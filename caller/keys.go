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
	// mintTimeout limits a request for a key that is fetched in advance.
	mintTimeout = 2 * time.Second
	// maxKeyAnswer limits the size of the answer with a key in bytes.
	maxKeyAnswer = 4096
)

// heldKey is a minted key and the end of the time in which it may be used first, on
// this machine's clock.
type heldKey struct {
	key   string
	useBy time.Time
}

// mintedKey is the answer of a node to a request for a key.
type mintedKey struct {
	Key    string `json:"key"`
	HeldMs int64  `json:"held_ms"`
}

// operation is the operation of a service that a key is valid for.
type operation struct {
	service string
	name    string
}

// mintFunc asks a node for a key.
type mintFunc func(ctx context.Context, op operation) (heldKey, error)

// keyPool holds minted keys that were fetched in advance, for each operation that has
// needed one. It is safe for concurrent use.
type keyPool struct {
	cfg  Config
	mint mintFunc
	ctx  context.Context
	stop context.CancelFunc
	work sync.WaitGroup

	mu     sync.Mutex
	closed bool
	held   map[operation][]heldKey
	// filling holds the operations whose keys a goroutine is fetching.
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

// close stops fetching keys and waits until no goroutine does.
func (p *keyPool) close() {
	p.mu.Lock()
	p.closed = true
	p.mu.Unlock()
	p.stop()
	p.work.Wait()
}

// take returns a held key for the operation, or requests one from a node, and starts to
// refill the pool.
func (p *keyPool) take(ctx context.Context, op operation) (string, error) {
	key, ok := p.takeHeld(time.Now(), op)
	p.refill(op)
	if ok {
		return key, nil
	}
	k, err := p.mint(ctx, op)
	return k.key, err
}

// takeHeld returns a held key, if there is one. It drops keys that could expire before
// the last resend of their request.
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

// dropKeysOfHolder drops all keys whose holder is that of the given key. Otherwise each
// of them would cost a request a failed attempt.
func (p *keyPool) dropKeysOfHolder(key string) {
	unusable, err := once.ParseKey(key)
	if err != nil || !unusable.Minted {
		return
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for op, keys := range p.held {
		p.held[op] = slices.DeleteFunc(keys, func(k heldKey) bool {
			info, err := once.ParseKey(k.key)
			return err == nil && info.Holder == unusable.Holder
		})
	}
}

// refill starts fetching keys of an operation, unless a goroutine already does or the
// pool has enough.
func (p *keyPool) refill(op operation) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed || p.filling[op] || len(p.held[op]) >= p.cfg.PrefetchedKeys {
		return
	}
	p.filling[op] = true
	p.work.Go(func() { p.fill(op) })
}

// fill fetches keys until the pool has enough or a request fails.
func (p *keyPool) fill(op operation) {
	for p.fillOne(op) {
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.filling[op] = false
}

// fillOne fetches one key and reports whether to fetch more. After a failure it returns
// false; the next request that needs a key starts again.
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
	return len(p.held[op]) < p.cfg.PrefetchedKeys
}

// Mint returns a minted key for one request to the operation, for use as Request.Key,
// also in another process. An error is a *verdict.Error.
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
	requested := time.Now()
	res, err := c.http.Do(req)
	if err != nil {
		if ctx.Err() == nil {
			c.avoidNode(node)
		}
		return heldKey{}, verdict.Refuse(failureReason(ctx, verdict.ConnectionLost), "key from node %s: %v", node, err)
	}
	defer res.Body.Close()
	return c.readKey(ctx, requested, res)
}

// readKey reads the key from an answer to a request that was sent at requested.
func (c *Client) readKey(ctx context.Context, requested time.Time, res *http.Response) (heldKey, error) {
	raw, err := readLimited(res.Body, maxKeyAnswer)
	if err != nil {
		return heldKey{}, verdict.Refuse(failureReason(ctx, verdict.Incomplete), "key: %v", err)
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
	// The lifetime begins when the key was requested, on this machine's clock, so
	// that clock differences between machines don't matter.
	lifetime := time.Duration(m.HeldMs) * time.Millisecond
	return heldKey{key: m.Key, useBy: requested.Add(lifetime - c.cfg.KeyMargin)}, nil
}

// refusedKey returns the error for a refused request for a key.
func refusedKey(res *http.Response, raw []byte) error {
	reason := verdict.Reason(res.Header.Get(headerReason))
	if reason == verdict.None {
		reason = verdict.Internal
	}
	e := verdict.Refuse(reason, "key: status %d: %s", res.StatusCode, detail(raw))
	return e.WithRetryAfter(retryAfter(res.Header))
}
