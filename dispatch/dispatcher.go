// Package dispatch makes calls to other services: it picks a backend server,
// sends an attempt to the node beside it, matches the answer, and decides
// whether another attempt is allowed.
//
// What it guarantees:
//   - "not run" is returned only if every attempt was refused by the one
//     incarnation that it was sent to, or was never handed to the network.
//   - A call that is not idempotent and may have run is not attempted again,
//     unless its key binds it to the incarnation that is asked again.
//   - An answer goes to the attempt that it names, from the incarnation that
//     the attempt was sent to, or nowhere.
//   - Every attempt after the first takes one from the request's ledger and
//     one from the node's budget.
package dispatch

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Link is one connection to one incarnation.
type Link interface {
	// Call queues an attempt; an error says that it was not and will not be
	// handed over. written reports, once Done is closed, whether it may
	// have been.
	Call(req call.Request) (written func() bool, err error)
	// Cancel tells the other end that nobody waits for the attempt.
	Cancel(c call.Cancel)
	// Answered tells that the attempt has been answered.
	Answered()
	// Done is closed when the connection has ended.
	Done() <-chan struct{}
	// Release ends the use of the link by one attempt.
	Release()
}

// Linker finds or makes connections.
type Linker interface {
	// Link returns a connection to the incarnation id; an error says that
	// nothing was handed over.
	Link(ctx context.Context, id wire.NodeID) (Link, error)
}

// Members says who serves what.
type Members interface {
	// Candidates returns the nodes that take work for a service, and a
	// number that changes whenever they do.
	Candidates(service string) ([]balancer.Candidate, uint64)
	// Known reports whether the incarnation is alive as far as is known.
	Known(id wire.NodeID) bool
}

// Config of a Dispatcher.
type Config struct {
	Self       wire.NodeID
	DataCentre string
	Balancer   balancer.Config
	Budget     retry.Config
	Levels     admission.LevelsConfig
	// News lets nodes tell each other levels; the zero value switches it off.
	News admission.NewsConfig
	// Margin is kept back from the deadline at each hop, so that the
	// callee's own answer to an expired call is back in time.
	Margin time.Duration
	// NoBackendRetryAfter is proposed when no backend server takes work: a
	// restarted one announces itself within a second.
	NoBackendRetryAfter time.Duration
	// NoAdmission switches the check of learned levels off, for
	// experiments.
	NoAdmission bool
	// HopAttempts, if above zero, gives each hop that many extra attempts
	// of its own instead of the request's ledger, for experiments.
	HopAttempts int
	// Reroutes is how often a call that nodes refused without handing it to
	// their backend servers goes to another one for nothing: nothing ran and
	// no backend server was troubled. Zero spends an extra attempt on each.
	Reroutes int
	// Reoffers is how often a call that backend servers declined is offered
	// again to one of them, when no other may or can be tried. Each takes an
	// extra attempt from the node's budget.
	Reoffers int
	// Hedge asks another backend server as well when an idempotent call stays
	// without an answer for unusually long.
	Hedge bool
	// Outlook defers requests that enter here while those of their route fail;
	// the zero value defers none.
	Outlook admission.OutlookConfig
	// RoundRobin replaces the choice of a backend server, for experiments.
	RoundRobin bool
	Seed       uint64
}

// DefaultConfig returns the settings that the daemon starts from.
func DefaultConfig() Config {
	return Config{
		Balancer: balancer.DefaultConfig(),
		Budget:   retry.DefaultConfig(),
		Levels:   admission.DefaultLevelsConfig(),
		Margin:   2 * time.Millisecond,

		NoBackendRetryAfter: time.Second,
	}
}

// Dispatcher is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	linker  Linker
	members Members
	notes   *explain.Recorder
	seq     atomic.Uint64

	mu      sync.Mutex
	waiting map[uint64]*wait
	pickers map[string]*picker
	// entering are the levels for requests that enter here, own those for
	// the calls of the node's backend server; only own is passed on.
	entering *admission.Levels
	own      *admission.Levels
	news     *admission.News
	outlook  *admission.Outlook
	budgets  *retry.Budgets
	usual    map[string]*usual // by operation
	random   *rand.Rand
	counts   Counts
}

// Counts are totals since the node started.
type Counts struct {
	Calls      uint64 `json:"calls"`
	Attempts   uint64 `json:"attempts"`
	Retries    uint64 `json:"retries"`
	Redirects  uint64 `json:"redirects"`
	Hedges     uint64 `json:"hedges"`
	OverBudget uint64 `json:"over_budget"`
	Refused    uint64 `json:"refused_by_levels"`
	Deferred   uint64 `json:"deferred"`
	Unmatched  uint64 `json:"unmatched_replies"`
	Lost       uint64 `json:"lost"`
}

// wait is one attempt that awaits its answer.
type wait struct {
	to    wire.NodeID
	reply chan call.Reply // room for one: the matcher never blocks
}

// New returns a Dispatcher.
func New(cfg Config, l Linker, m Members, notes *explain.Recorder) *Dispatcher {
	news := admission.NewNews(cfg.News)
	return &Dispatcher{
		cfg:      cfg,
		linker:   l,
		members:  m,
		notes:    notes,
		random:   rand.New(rand.NewPCG(cfg.Seed, 0)),
		waiting:  make(map[uint64]*wait),
		pickers:  make(map[string]*picker),
		entering: admission.NewLevels(cfg.Levels, news, cfg.Seed),
		own:      admission.NewLevels(cfg.Levels, news, cfg.Seed+1),
		news:     news,
		outlook:  admission.NewOutlook(cfg.Outlook, cfg.Seed),
		budgets:  retry.NewBudgets(cfg.Budget),
		usual:    make(map[string]*usual),
	}
}

// Params of one call.
type Params struct {
	RequestID  string
	Operation  *graph.Operation
	Importance importance.Importance
	// Bars are the levels that have let that request in so far.
	Bars     []call.Level
	Deadline time.Time
	// Ledger holds the extra attempts that are left for the request here.
	Ledger *retry.Ledger
	// Key is the caller's idempotency key, Holder the incarnation that it
	// names, zero when it names none.
	Key         string
	Holder      wire.NodeID
	Fingerprint uint64
	Depth       uint8
	// Entering marks a caller's own request, as opposed to a call of the
	// node's backend server.
	Entering bool
	// Patience is how long the caller says it will go on, this try and later
	// ones together; zero if it does not say.
	Patience time.Duration
	// Fanout is the number of calls that the calling operation declares:
	// the grant is shared among so many.
	Fanout int
	// Resend marks a request that the caller has sent before.
	Resend bool
	Header []call.Field
	Query  string
	Body   []byte
	// HTTP is set for a request that came by host and path.
	HTTP call.HTTP
	// Workspace is that of the caller's key, empty for none.
	Workspace string
	// Enter, if set, is asked once the levels have let the request in; its error refuses
	// the request. What a request takes that is shed is missing for another.
	Enter func(ctx context.Context) *verdict.Error
	// Root names the request that this call is made for; empty if it is one
	// that enters here.
	Root string
	// Repeat says that the request that the call is made for has been run
	// before: the call is an extra attempt, whatever comes of it.
	Repeat bool
	// Admitted says that the call belongs to a request under way. To refuse
	// it by a learned level would waste what was spent on the request.
	Admitted bool
	// Reach lists the services that the call is known to lead to, besides
	// those that its operation declares.
	Reach []string
	// Version is that of the routes or the graph that decided, for the notes.
	Version uint64

	// repeated says that an attempt of the call itself may have run before.
	repeated bool
}

// reach lists all services that the call may lead to.
func (p *Params) reach() []string {
	if len(p.Reach) > 0 {
		return p.Reach
	}
	return p.Operation.Reach()
}

// root is the id by which all calls of a request fare alike.
func (p *Params) root() string {
	if p.Root != "" {
		return p.Root
	}
	return p.RequestID
}

// priority is the request's place among all.
func (p *Params) priority() uint16 {
	return admission.Priority(p.Importance, p.root())
}

// Call makes one call and returns when its outcome is final.
func (d *Dispatcher) Call(ctx context.Context, p Params) call.Outcome {
	if err := d.admit(&p); err != nil {
		d.noteRefused(p, err)
		return call.Failed(err)
	}
	if p.Enter != nil {
		if err := p.Enter(ctx); err != nil {
			d.noteRefused(p, err)
			return call.Failed(err)
		}
	}
	if !p.Holder.IsZero() && !d.members.Known(p.Holder) {
		err := verdict.Doubt(verdict.KeyHolderGone, "the node %s that the key names is not there", p.Holder.Short())
		d.noteRefused(p, err)
		return call.Failed(err)
	}
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	defer cancel()
	out := d.attempt(ctx, p)
	d.ended(p, out)
	return out
}

func (d *Dispatcher) attempt(ctx context.Context, p Params) call.Outcome {
	to, ok := d.awaitTarget(ctx, p)
	if !ok {
		err := verdict.Refuse(verdict.NoBackend, "no backend server of %s takes work", p.Operation.Service)
		err = err.After(d.cfg.NoBackendRetryAfter)
		d.noteRefused(p, err)
		return call.Failed(err)
	}
	a := newAttempts(p)
	a.reroutes = d.cfg.Reroutes
	a.reoffers = d.cfg.Reoffers
	hop := d.cfg.HopAttempts
	start := time.Now()
	for {
		reply := d.hedged(ctx, p, &a, to, &hop)
		var next target
		switch a.next(reply, func() bool { return d.spend(ctx, p, &a, reply, &next, &hop) }) {
		case finish:
			out := a.conclude(reply)
			d.noteOutcome(p, &a, out, start)
			return out
		case redirect:
			d.count(func(c *Counts) { c.Redirects++ })
			if !d.members.Known(reply.BoundTo) {
				return d.holderGone(p, &a, reply)
			}
			to = target{id: reply.BoundTo, holder: a.keyed}
		case again:
			p.repeated = p.repeated || reply.Verdict != verdict.NotRun
			d.noteAgain(p, &a, reply)
			to = next
		}
	}
}

func (d *Dispatcher) holderGone(p Params, a *attempts, r call.Reply) call.Outcome {
	if !a.keyed {
		return a.conclude(r)
	}
	err := verdict.Doubt(verdict.KeyHolderGone, "the node %s that the key is bound to is not there", r.BoundTo.Short())
	d.noteRefused(p, err)
	return call.Failed(err)
}

// SetNodes says how many nodes share the bound of extra attempts.
func (d *Dispatcher) SetNodes(n int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.budgets.SetNodes(n)
}

func (d *Dispatcher) count(f func(*Counts)) {
	d.mu.Lock()
	defer d.mu.Unlock()
	f(&d.counts)
}
