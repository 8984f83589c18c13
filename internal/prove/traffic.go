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

// KeyKind is how a caller protects its resends.
type KeyKind uint8

// The kinds.
const (
	NoKey KeyKind = iota
	MintedKey
	OwnKey
	keyKinds
)

// TrafficConfig describes callers that send one request after the other.
type TrafficConfig struct {
	Callers int
	// Pause between two requests of a caller.
	Pause time.Duration
	// Patience is drawn between these for each sending: some callers give up
	// while their request runs, and send it again.
	MinPatience, MaxPatience time.Duration
	// Resends of one request at most.
	Resends int
	Seed    uint64
	// Operations to choose from; empty for all of the graph.
	Operations []graph.Ref
}

// DefaultTraffic is a light load with impatient callers.
func DefaultTraffic(seed uint64) TrafficConfig {
	return TrafficConfig{
		Callers:     12,
		Pause:       20 * time.Millisecond,
		MinPatience: 50 * time.Millisecond,
		MaxPatience: 3 * time.Second,
		Resends:     5,
		Seed:        seed,
	}
}

// Traffic is running callers.
type Traffic struct {
	stop context.CancelFunc
	done sync.WaitGroup
}

// End lets the requests under way finish.
func (t *Traffic) End() {
	t.stop()
	t.done.Wait()
}

// StartTraffic starts the callers.
func (f *Fleet) StartTraffic(ctx context.Context, cfg TrafficConfig) *Traffic {
	running, stop := context.WithCancel(ctx)
	t := &Traffic{stop: stop}
	operations := cfg.Operations
	if len(operations) == 0 {
		operations = f.operations()
	}
	nodes := f.CallerAddrs()
	for k := range cfg.Callers {
		c := &caller{fleet: f, cfg: cfg, rng: rand.New(rand.NewPCG(cfg.Seed, uint64(k))), nodes: nodes}
		t.done.Go(func() {
			for pause.For(running, cfg.Pause) {
				c.act(ctx, operations[c.rng.IntN(len(operations))], KeyKind(c.rng.IntN(int(keyKinds))))
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

// caller sends requests as the callers' page asks it to.
type caller struct {
	fleet *Fleet
	cfg   TrafficConfig
	rng   *rand.Rand
	nodes []string
}

// act has one action done: it sends until it is told "ran" or may not send
// again. It sends a non-idempotent request without a key again only while it
// was told "not run" alone, and takes a new minted key only then.
func (c *caller) act(ctx context.Context, ref graph.Ref, kind KeyKind) {
	op, _ := c.fleet.Graph.Operation(ref.Service, ref.Operation)
	s := Sending{Action: c.fleet.NewAction(), Operation: ref}
	if kind == OwnKey {
		s.Key = "own-" + s.Action
	}
	doubt := false
	for s.Number = 1; s.Number <= 1+c.cfg.Resends && ctx.Err() == nil; s.Number++ {
		if kind == MintedKey && !doubt && !c.mint(ctx, &s) {
			continue
		}
		s.Node = c.node()
		told := c.send(ctx, s)
		if told.Verdict == verdict.Ran {
			return
		}
		doubt = doubt || told.Verdict != verdict.NotRun
		if doubt && kind == NoKey && !op.Idempotent {
			return
		}
		c.wait(ctx, told)
	}
}

func (c *caller) node() string { return c.nodes[c.rng.IntN(len(c.nodes))] }

func (c *caller) mint(ctx context.Context, s *Sending) bool {
	key, err := c.fleet.Mint(ctx, c.node(), s.Operation)
	s.Key = key
	return err == nil
}

func (c *caller) send(ctx context.Context, s Sending) Sending {
	spread := c.cfg.MaxPatience - c.cfg.MinPatience
	ctx, cancel := context.WithTimeout(ctx, c.cfg.MinPatience+time.Duration(c.rng.Float64()*float64(spread)))
	defer cancel()
	return c.fleet.Send(ctx, s)
}

const (
	minWait = 20 * time.Millisecond
	maxWait = 300 * time.Millisecond
)

func (c *caller) wait(ctx context.Context, told Sending) {
	wait := min(max(told.RetryAfter, minWait), maxWait)
	pause.For(ctx, wait+time.Duration(c.rng.Float64()*float64(wait)))
}
