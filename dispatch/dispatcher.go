// Package dispatch makes calls to other services. It picks a backend server, sends an
// attempt to that server's node, matches the answer, and decides whether to try again.
//
// Guarantees:
//   - "not run" is returned only if every attempt was refused by the incarnation that it
//     was sent to, or was never sent.
//   - A call that is not idempotent and may have run is not attempted again, unless its
//     key binds it to the incarnation that gets the next attempt.
//   - An answer is accepted only for the attempt that it names, from the incarnation that
//     the attempt was sent to.
//   - Every retry takes one extra attempt from the request's ledger and one from the
//     node's budget, except as Config.MaxReroutes and Config.MaxReoffers say.
//   - Transparent retries repeat attempts that never left this node, for most of a call's time.
//     They take no extra attempts.
package dispatch

import (
	"context"
	"errors"
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
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Link is a connection to one incarnation.
type Link interface {
	// Call queues an attempt. An error means that the request will never be sent.
	// After Done is closed, mayHaveArrived reports whether the remote node may run it.
	Call(req call.Request) (mayHaveArrived func() bool, err error)
	// Cancel tells the remote node that the caller no longer waits for the attempt.
	Cancel(c call.Cancel)
	// MarkAnswered tells the link that the attempt has been answered.
	MarkAnswered()
	// Done is closed when the connection has closed.
	Done() <-chan struct{}
	// Release returns the link after one attempt.
	Release()
}

// Linker finds or opens connections.
type Linker interface {
	// Link returns a connection to the incarnation id. After an error nothing has been
	// sent; ErrEnded says that the incarnation has ended.
	Link(ctx context.Context, id wire.NodeID) (Link, error)
}

// ErrEnded is returned by a Linker for an incarnation that has ended.
var ErrEnded = errors.New("the node has ended")

// Members is the view of the nodes of each service.
type Members interface {
	// Candidates returns the nodes that accept calls for a service, and a version
	// that changes with them.
	Candidates(service string) ([]balancer.Candidate, uint64)
	// Known reports whether the incarnation is believed to be alive.
	Known(id wire.NodeID) bool
	// Gone reports whether the incarnation is known to have ended. One that has just
	// started may be neither known nor gone.
	Gone(id wire.NodeID) bool
}

// Config configures a Dispatcher.
type Config struct {
	Self       wire.NodeID
	DataCentre string
	Balancer   balancer.Config
	Budget     retry.Config
	Levels     admission.LevelsConfig
	// LevelGossip configures the level gossip; the zero value disables it.
	LevelGossip admission.LevelGossipConfig
	// Margin is subtracted from the deadline at each hop, so that the callee's answer
	// to an expired call arrives in time.
	Margin time.Duration
	// NoBackendRetryAfter is the Retry-After of a call for which no backend server
	// accepts work.
	NoBackendRetryAfter time.Duration
	// NoAdmission disables the check of received admission levels, for experiments.
	NoAdmission bool
	// HopAttempts, if above zero, is the number of extra attempts of each hop, which
	// replaces the request's ledger, for experiments.
	HopAttempts int
	// MaxReroutes is how often a call that a node refused without offering it to its
	// backend server moves to another node without spending an extra attempt.
	MaxReroutes int
	// MaxReoffers is how often a call that backend servers declined is offered again to
	// one of them if no other can be tried. Each takes an extra attempt from the
	// node's budget, but none from the ledger.
	MaxReoffers int
	// Hedge sends a second attempt to another backend server if an idempotent call
	// gets no answer for unusually long.
	Hedge bool
	// Outage configures when a service counts as lost, Waits how many runs wait for one.
	Outage outage.Config
	Waits  outage.WaitsConfig
	// RouteHealth configures the deferral of entering requests whose route fails; the zero
	// value defers none.
	RouteHealth admission.RouteHealthConfig
	// RoundRobin replaces the balancer by round robin, for experiments.
	RoundRobin bool
	Seed       uint64
}

// DefaultConfig returns the default configuration of the daemon.
func DefaultConfig() Config {
	return Config{
		Balancer: balancer.DefaultConfig(),
		Budget:   retry.DefaultConfig(),
		Levels:   admission.DefaultLevelsConfig(),
		Margin:   2 * time.Millisecond,
		Outage:   outage.DefaultConfig(),
		Waits:    outage.DefaultWaitsConfig(),

		NoBackendRetryAfter: time.Second,
	}
}

// Dispatcher makes calls to other services. It is safe for concurrent use.
type Dispatcher struct {
	cfg     Config
	linker  Linker
	members Members
	notes   *explain.Recorder
	outages *outages
	seq     atomic.Uint64

	mu      sync.Mutex
	pending map[uint64]*pendingAttempt
	pickers map[string]*picker
	// ingressLevels apply to requests that enter here, backendLevels to calls of the
	// node's backend server; only the latter are forwarded in replies.
	ingressLevels *admission.Levels
	backendLevels *admission.Levels
	levelGossip   *admission.LevelGossip
	routeHealth   *admission.RouteHealth
	budgets       *retry.Budgets
	// budgetsReported is the state of the budgets at the last call of RetryUsage.
	budgetsReported map[string]retry.BudgetState
	repeatFloors    repeatFloors
	notices         *notices
	averageLatency  map[string]*averageLatency // by operationKey
	random          *rand.Rand
	counts          Counts
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
	// TransparentRetries counts the repeats of attempts that were never sent; they are no retries.
	TransparentRetries uint64 `json:"transparent_retries"`
	// RateLimited counts attempts refused because of a backend server's rate limit.
	RateLimited    uint64 `json:"rate_limited"`
	Unmatched      uint64 `json:"unmatched_replies"`
	ConnectionLost uint64 `json:"lost"`
}

// pendingAttempt is an attempt that waits for its answer.
type pendingAttempt struct {
	to    wire.NodeID
	reply chan call.Reply // buffered, so that Reply never blocks
}

// New returns a Dispatcher.
func New(cfg Config, l Linker, m Members, notes *explain.Recorder) *Dispatcher {
	levelGossip := admission.NewLevelGossip(cfg.LevelGossip)
	return &Dispatcher{
		cfg:            cfg,
		linker:         l,
		members:        m,
		notes:          notes,
		outages:        newOutages(cfg, m),
		random:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		pending:        make(map[uint64]*pendingAttempt),
		pickers:        make(map[string]*picker),
		ingressLevels:  admission.NewLevels(cfg.Levels, levelGossip, cfg.Seed),
		backendLevels:  admission.NewLevels(cfg.Levels, levelGossip, cfg.Seed+1),
		levelGossip:    levelGossip,
		routeHealth:    admission.NewRouteHealth(cfg.RouteHealth, cfg.Seed),
		budgets:        retry.NewBudgets(cfg.Budget),
		repeatFloors:   make(repeatFloors),
		notices:        newNotices(),
		averageLatency: make(map[string]*averageLatency),
	}
}

// Params are the parameters of one call.
type Params struct {
	RequestID  string
	Operation  *graph.Operation
	Importance importance.Importance
	// AdmittedLevels are the admitted levels: the admission levels in force when the request was
	// admitted.
	AdmittedLevels []call.Level
	Deadline       time.Time
	// Ledger holds the remaining extra attempts of the request at this node.
	Ledger *retry.Ledger
	// Key is the caller's idempotency key. KeyHolder is the incarnation that the key
	// names, zero if it names none.
	Key         string
	KeyHolder   wire.NodeID
	Fingerprint uint64
	Depth       uint8
	// FromCaller marks a request of an external caller, as opposed to a call of the
	// node's backend server.
	FromCaller bool
	// CallerDeadline is the remaining deadline of the caller, including later retries; zero
	// if unknown.
	CallerDeadline time.Duration
	// Fanout is the number of calls that the calling operation declares; they share
	// the ledger.
	Fanout int
	// CallerResend marks a request that the caller has sent before.
	CallerResend bool
	Header       []call.Field
	Query        string
	Body         []byte
	// HTTP is set for a request that was routed by host and path.
	HTTP call.HTTP
	// Workspace is the workspace of the caller's key, empty if there is none.
	Workspace string
	// TakeQuota, if set, is called after the request was admitted; its error refuses the
	// request. It isn't called for shed requests, so that they use up no quota.
	TakeQuota func(ctx context.Context) *verdict.Error
	// RootRequestID is the id of the entering request that caused this call; empty if this is
	// that request.
	RootRequestID string
	// Repeat says that the parent request has been attempted before, so that this call
	// counts as an extra attempt.
	Repeat bool
	// Admitted says that the call belongs to an admitted request. It skips the check
	// of admission levels, since refusing it would waste the work already done.
	Admitted bool
	// ForRun says that a running request makes the call, so that its failure wastes the
	// work already done.
	ForRun bool
	// RunID names the running request among those of this node, Slots is the number of slots
	// that the node fills, zero if it starts no further runs. Both are for calls of a run.
	RunID uint64
	Slots int
	// Reach lists services that the call may lead to; if empty, those that the
	// operation declares are used.
	Reach []string
	// Version is the version of the routes or the graph that decided, for explain.
	Version uint64

	// repeated says that an earlier attempt of this call may have reached a backend server.
	repeated bool
	// suspicions are the latest that a reply carried.
	suspicions []poison.Notice
	// wait is the wait of the call while its service is lost.
	wait *runWait
}

// reach returns all services that the call may lead to.
func (p *Params) reach() []string {
	if len(p.Reach) > 0 {
		return p.Reach
	}
	return p.Operation.Reach()
}

// target returns the operation that is called.
func (p *Params) target() outage.Target {
	return outage.Target{Service: p.Operation.Service, Operation: p.Operation.Name}
}

// root returns the id of the entering request. It sets the priority of all its calls.
func (p *Params) root() string {
	if p.RootRequestID != "" {
		return p.RootRequestID
	}
	return p.RequestID
}

// priority returns the priority of the request.
func (p *Params) priority() uint16 {
	return admission.Priority(p.Importance, p.root())
}

// Call makes one call, including retries, and returns its final outcome.
func (d *Dispatcher) Call(ctx context.Context, p Params) call.Outcome {
	if err := d.admit(&p); err != nil {
		d.noteRefused(p, err)
		return call.OutcomeOf(err)
	}
	if p.TakeQuota != nil {
		if err := p.TakeQuota(ctx); err != nil {
			d.noteRefused(p, err)
			return call.OutcomeOf(err)
		}
	}
	ctx, cancel := context.WithDeadline(ctx, p.Deadline)
	defer cancel()
	p.wait = newRunWait(d, &p)
	defer p.wait.end()
	if !p.KeyHolder.IsZero() && !d.awaitKnown(ctx, p.KeyHolder) {
		err, known := d.askKeepers(ctx, p)
		if !known {
			err = verdict.MayHaveRunError(verdict.KeyHolderGone, "the node %s that the key names is not there", p.KeyHolder.Short())
		}
		d.noteRefused(p, err)
		return call.OutcomeOf(err)
	}
	out := d.attempt(ctx, p)
	if p.FromCaller && out.Reason == verdict.DependencyLost {
		out.RetryAfter = max(out.RetryAfter, d.outages.retryAfter(p.target(), p.CallerDeadline))
	}
	d.recordOutcome(p, out)
	return out
}

// noteTransparentRetry records that an attempt that was never sent is followed by another one.
func (d *Dispatcher) noteTransparentRetry(p Params, a *attempts, r call.Reply) {
	d.count(func(c *Counts) { c.TransparentRetries++ })
	d.noteRetry(p, a, r)
}

// attempt makes attempts until the outcome is final.
func (d *Dispatcher) attempt(ctx context.Context, p Params) call.Outcome {
	if !p.wait.mayTry() {
		err := d.outages.lostError(p.Operation.Service)
		d.noteRefused(p, err)
		return call.OutcomeOf(err)
	}
	to, ok := d.awaitTarget(ctx, p)
	if !ok {
		err := verdict.Refuse(verdict.NoBackend, "no backend server of %s takes work", p.Operation.Service)
		err = err.WithRetryAfter(d.cfg.NoBackendRetryAfter)
		d.noteRefused(p, err)
		return call.OutcomeOf(err)
	}
	a := newAttempts(p)
	a.reroutesLeft = d.cfg.MaxReroutes
	a.reoffersLeft = d.cfg.MaxReoffers
	hopAttemptsLeft := d.cfg.HopAttempts
	transparentRetries := newTransparentRetries(d, p)
	start := time.Now()
	for {
		reply := d.attemptHedged(ctx, p, &a, to, &hopAttemptsLeft)
		a.mayHaveArrived = a.mayHaveArrived || !neverSent(reply)
		if len(reply.Suspicions) > 0 {
			p.suspicions = reply.Suspicions
		}
		next, again := transparentRetries.next(ctx, &a, to, reply)
		if again {
			d.noteTransparentRetry(p, &a, reply)
			to = next
			continue
		}
		switch a.next(reply, func() bool { return d.acquireRetry(ctx, p, &a, reply, &next, &hopAttemptsLeft) }) {
		case finish:
			out := d.conclude(ctx, p, &a, reply)
			d.noteOutcome(p, &a, out, start)
			return out
		case redirect:
			d.count(func(c *Counts) { c.Redirects++ })
			if !d.awaitKnown(ctx, reply.BoundTo) {
				return d.keyHolderGone(p, &a, reply)
			}
			to = target{id: reply.BoundTo, keyHolder: a.keyed, onlyHolder: a.keyed}
		case tryAgain:
			d.noteRetry(p, &a, reply)
			to = next
		}
	}
}

// conclude returns the outcome of the call. If its minted key names a node that could not be
// reached and got none of its attempts, that node may have ended with a list of its used keys.
func (d *Dispatcher) conclude(ctx context.Context, p Params, a *attempts, r call.Reply) call.Outcome {
	if p.KeyHolder.IsZero() || a.mayHaveArrived {
		return a.conclude(r)
	}
	if err, known := d.askKeepers(ctx, p); known {
		return call.OutcomeOf(err)
	}
	return a.conclude(r)
}

// keyHolderGone returns the outcome of a call that was redirected to an incarnation that
// is not known.
func (d *Dispatcher) keyHolderGone(p Params, a *attempts, r call.Reply) call.Outcome {
	if !a.keyed {
		return a.conclude(r)
	}
	err := verdict.MayHaveRunError(verdict.KeyHolderGone, "the node %s that the key is bound to is not there", r.BoundTo.Short())
	d.noteRefused(p, err)
	return call.OutcomeOf(err)
}

// SetNodes sets the number of nodes, which share the burst of the retry budgets.
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
