package prove

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/verdict"
)

// KeyKind is the kind of idempotency key under which a caller resends.
type KeyKind uint8

// The kinds of keys.
const (
	NoKey KeyKind = iota
	MintedKey
	CallerKey
	keyKindCount
)

// TrafficConfig configures callers that each send one request at a time.
type TrafficConfig struct {
	Callers int
	// Pause is the time between two requests of a caller.
	Pause time.Duration
	// The timeout of each invocation is drawn between MinTimeout and
	// MaxTimeout. Callers that time out while their request runs resend it.
	MinTimeout, MaxTimeout time.Duration
	// MaxResends bounds the resends of one request.
	MaxResends int
	Seed       uint64
	// Operations is the set to choose from; empty means all of the graph.
	Operations []graph.Ref
	// Nodes are the caller addresses of the nodes to choose from; empty means all.
	Nodes []string
}

// DefaultTraffic returns a light load with some short timeouts.
func DefaultTraffic(seed uint64) TrafficConfig {
	return TrafficConfig{
		Callers:    12,
		Pause:      20 * time.Millisecond,
		MinTimeout: 50 * time.Millisecond,
		MaxTimeout: 3 * time.Second,
		MaxResends: 5,
		Seed:       seed,
	}
}

// Traffic is a set of running callers.
type Traffic struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// End stops the callers and waits for their requests in flight.
func (t *Traffic) End() {
	t.stop()
	t.done.Wait()
}

// StartTraffic starts callers, which send until End.
func (f *Fleet) StartTraffic(ctx context.Context, cfg TrafficConfig) *Traffic {
	running, stop := context.WithCancel(ctx)
	t := &Traffic{stop: stop}
	operations := cfg.Operations
	if len(operations) == 0 {
		operations = f.operations()
	}
	nodes := cfg.Nodes
	if len(nodes) == 0 {
		nodes = f.CallerAddrs()
	}
	for k := range cfg.Callers {
		c := &caller{fleet: f, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(k))), nodes: nodes}
		t.done.Go(func() {
			for pause.For(running, cfg.Pause) {
				c.perform(ctx, operations[c.rng.IntN(len(operations))], KeyKind(c.rng.IntN(int(keyKindCount))))
			}
		})
	}
	return t
}

func (f *Fleet) operations() []graph.Ref {
	var list []graph.Ref
	for _, s := range f.Graph.Services() {
		for _, o := range s.Operations {
			list = append(list, o.Ref())
		}
	}
	return list
}

// caller resends by the rules for callers; see perform.
type caller struct {
	fleet *Fleet
	cfg   TrafficConfig
	rng   *rand.Rand
	nodes []string
}

// perform sends the request of one action until the verdict is "ran" or no
// resend is permitted: without a key, a non-idempotent request is resent only
// while every verdict is "not run". A new minted key is taken only then, too.
func (c *caller) perform(ctx context.Context, ref graph.Ref, kind KeyKind) {
	op, _ := c.fleet.Graph.Operation(ref.Service, ref.Operation)
	s := Invocation{Action: c.fleet.NewAction(), Operation: ref}
	if kind == CallerKey {
		s.Key = "own-" + s.Action
	}
	mayHaveRun := false
	for s.Number = 1; s.Number <= 1+c.cfg.MaxResends && ctx.Err() == nil; s.Number++ {
		if kind == MintedKey && !mayHaveRun && !c.mint(ctx, &s) {
			continue
		}
		s.Node = c.randomNode()
		result := c.send(ctx, s)
		if result.Verdict == verdict.Ran {
			return
		}
		mayHaveRun = mayHaveRun || result.Verdict != verdict.NotRun
		if mayHaveRun && kind == NoKey && !op.Idempotent {
			return
		}
		c.wait(ctx, result)
	}
}

func (c *caller) randomNode() string { return c.nodes[c.rng.IntN(len(c.nodes))] }

func (c *caller) mint(ctx context.Context, s *Invocation) bool {
	key, err := c.fleet.Mint(ctx, c.randomNode(), s.Operation)
	s.Key = key
	return err == nil
}

func (c *caller) send(ctx context.Context, s Invocation) Invocation {
	spread := c.cfg.MaxTimeout - c.cfg.MinTimeout
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MinTimeout+time.Duration(c.rng.Float64()*float64(spread)))
	defer cancel()
	return c.fleet.Send(ctx, s)
}

const (
	minWait = 20 * time.Millisecond
	maxWait = 300 * time.Millisecond
)

func (c *caller) wait(ctx context.Context, result Invocation) {
	wait := min(max(result.RetryAfter, minWait), maxWait)
	pause.For(ctx, wait+time.Duration(c.rng.Float64()*float64(wait)))
}
