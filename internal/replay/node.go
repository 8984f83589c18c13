package replay

import (
	"context"
	"errors"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/reach"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// node is one node with its backend server. It applies the decisions of serve and
// dispatch as package node does, without a network.
type node struct {
	simulation *simulation
	id         wire.NodeID
	service    *Service
	centre     string
	backend    *backend
	// dispatcher is replaced when the node restarts.
	dispatcher atomic.Pointer[dispatch.Dispatcher]

	// attempts counts the attempts sent to this node, including refused ones.
	attempts atomic.Int64

	mu     sync.Mutex
	callee *serve.Server
	// running holds the tasks at the backend server by task ID.
	running map[uint64]*run
	// entryReach holds the services that requests entering here reach; callReach
	// holds those that the backend server's own calls reach.
	entryReach, callReach *reach.Tracker
}

// run is one task at the backend server.
type run struct {
	task   *serve.Task
	class  *Class
	ctx    context.Context
	cancel context.CancelFunc
	// calls are the calls that have not ended.
	calls       []ongoingCall
	callsFailed bool
	// extra says that it is an extra attempt.
	extra bool
	// dependencyLost is set if a call failed because a service can't be reached.
	dependencyLost bool
	used           []call.SlotTime
	targets        []outage.Call
}

// minimalExplain limits the records of decisions, which nothing reads here.
var minimalExplain = explain.Config{Notable: 1, Ordinary: 1}

func newNode(sim *simulation, s *Service, speed float64, centre string, id wire.NodeID) *node {
	n := &node{
		simulation: sim, id: id, service: s, centre: centre,
		backend:    newBackend(s, speed, sim.schedule, sim.nextSeed()),
		running:    make(map[uint64]*run),
		entryReach: reach.New(reach.DefaultConfig()),
		callReach:  reach.New(reach.DefaultConfig()),
	}
	n.startDispatcher()
	sc := sim.policy.Serve
	sc.Self, sc.Service, sc.Seed = id, s.Name, sim.nextSeed()
	now := time.Now()
	n.callee = serve.New(sc, [once.SecretLen]byte{}, now)
	n.callee.SetDependencies(n.dispatcher.Load())
	n.callee.SetReady(now, true)
	if !sim.policy.HideSlots {
		n.callee.SetSlots(now, s.Slots)
	}
	return n
}

// startDispatcher gives the node a dispatcher that knows nothing of earlier calls.
func (n *node) startDispatcher() {
	cfg := n.simulation.policy.Dispatch
	cfg.Self, cfg.Seed, cfg.DataCentre = n.id, n.simulation.nextSeed(), n.centre
	n.dispatcher.Store(dispatch.New(cfg, linker{n}, n.simulation.members, explain.New(minimalExplain)))
}

// restart lets the caller's side of the node forget all it knows. Calls under way get no answer, what
// runs at its backend server goes on.
func (n *node) restart() {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.startDispatcher()
	n.callee.SetDependencies(n.dispatcher.Load())
}

// linker implements dispatch.Linker with simulated connections.
type linker struct{ n *node }

var errLinkLost = errors.New("the link is lost")

// Link implements dispatch.Linker.
func (l linker) Link(_ context.Context, id wire.NodeID) (dispatch.Link, error) {
	if l.n.simulation.linkLost(l.n, id) {
		return nil, errLinkLost
	}
	return link{from: l.n, to: l.n.simulation.nodes[id]}, nil
}

// link is a simulated connection. It never breaks.
type link struct{ from, to *node }

func (l link) delay() time.Duration {
	if l.from == l.to {
		return 0
	}
	d := l.from.simulation.deployment
	if d.LocalDelay > 0 && l.from.centre == l.to.centre {
		return d.LocalDelay
	}
	return d.Delay
}

// Call implements dispatch.Link.
func (l link) Call(req call.Request) (func() bool, error) {
	if l.from.centre != l.to.centre {
		l.from.simulation.report.remoteAttempts.Add(1)
	}
	l.from.simulation.schedule.after(l.delay(), func() { l.to.arrive(req) })
	return func() bool { return true }, nil
}

// maxCancels is the number of attempts of a node that may be cancelled at the same instant.
const maxCancels = 1024

// Cancel implements dispatch.Link.
func (l link) Cancel(c call.Cancel) {
	// The attempts of a call may be cancelled at the same instant, in any order.
	order := time.Duration(c.Seq % maxCancels)
	l.from.simulation.schedule.after(l.delay()+order, func() {
		l.to.apply(func(now time.Time, s *serve.Server) serve.Effects { return s.Cancel(now, c) })
	})
}

// Done implements dispatch.Link.
func (l link) Done() <-chan struct{} { return nil }

// Answered implements dispatch.Link.
func (l link) MarkAnswered() {}

// Release implements dispatch.Link.
func (l link) Release() {}

// operation returns the operation of the graph for a class. It allows one extra attempt.
func operation(c *Class) *graph.Operation {
	return graph.Standalone(graph.Operation{
		Service: c.Service, Name: c.Name, Idempotent: c.Idempotent, Importance: c.Importance, Deadline: c.Deadline, ExtraAttempts: 1,
	})
}

// enter handles a request of a caller.
func (n *node) enter(ctx context.Context, c *Class, id string, deadline time.Time) call.Outcome {
	n.simulation.report.ExtraAttempts.Sent(time.Now(), c.Service, id, false)
	op := n.simulation.operations[c]
	remaining := time.Until(deadline)
	if c.Timeout > 0 {
		if limit := time.Now().Add(c.Timeout); limit.Before(deadline) {
			deadline = n.simulation.schedule.deadline(limit)
		}
	}
	p := dispatch.Params{
		RequestID: id, Operation: op, Importance: c.Importance, Deadline: deadline,
		Ledger: retry.NewLedger(uint32(op.ExtraAttempts)), Fanout: 1, FromCaller: true, CallerDeadline: remaining,
		Reach: n.reach(c),
	}
	out := n.dispatcher.Load().Call(ctx, p)
	if out.Verdict == verdict.Ran {
		n.learnReach(c, call.SlotTimeServices(out.SlotTimeUsed))
	}
	return out
}

// reach returns the services that requests of class c have reached from here.
func (n *node) reach(c *Class) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.entryReach.Reach(c.Name)
}

// learnReach records the services that a request of class c reached.
func (n *node) learnReach(c *Class, reached []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.entryReach.Record(time.Now(), c.Name, append(reached, c.Service))
}

// call makes a call for a task and reports whether it succeeded.
func (n *node) call(r *run, c *Class) bool {
	op := n.simulation.operations[c]
	req := &r.task.Request
	deadline := time.Now().Add(c.Deadline)
	if r.task.Deadline.Before(deadline) {
		deadline = r.task.Deadline
	}
	deadline = n.simulation.schedule.deadline(deadline)
	id := n.simulation.nextID()
	ctx, end := n.begin(r, id)
	defer end()
	n.simulation.report.ExtraAttempts.Sent(time.Now(), c.Service, id, r.extra)
	out := n.dispatcher.Load().Call(ctx, dispatch.Params{
		RequestID: id, Operation: op, Importance: req.Importance, Deadline: deadline,
		Ledger: retry.NewLedger(uint32(op.ExtraAttempts)), Fanout: 1, RunID: r.task.ID, Slots: n.slots(),
		RootRequestID: req.RootID(), AdmittedLevels: req.AdmittedLevels, Admitted: true, ForRun: true, Repeat: req.Repeat, Depth: req.Depth + 1,
	})
	n.simulation.schedule.settle()
	n.used(r, c, out)
	n.simulation.report.callEnded(c.Service, out)
	return out.Verdict == verdict.Ran && out.Status == statusOK
}

// slots returns the number of slots that the node fills.
func (n *node) slots() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callee.SlotsToShare()
}

// used records the services that a call of the backend server reached and used.
func (n *node) used(r *run, c *Class, out call.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.used = out.AddSlotTimes(r.used, c.Service)
	r.targets = outage.Add(r.targets, outage.Target{Service: c.Service, Operation: c.Name}, out.Succeeded())
	r.callsFailed = r.callsFailed || !out.Succeeded()
	r.dependencyLost = r.dependencyLost || out.LacksDependency()
	if n.callReach.Record(time.Now(), "", call.SlotTimeServices(r.used)) {
		n.dispatcher.Load().SetForwarded(n.callReach.Reach(""))
	}
}

const (
	statusOK     = 200
	statusFailed = 500
)

// ongoingCall is a call of a run that has not ended.
type ongoingCall struct {
	id     string
	cancel context.CancelFunc
}

// begin returns the context of a call of a run.
func (n *node) begin(r *run, id string) (ctx context.Context, end func()) {
	ctx, cancel := context.WithCancel(context.Background())
	n.mu.Lock()
	defer n.mu.Unlock()
	r.calls = append(r.calls, ongoingCall{id, cancel})
	if r.ctx.Err() != nil {
		n.simulation.schedule.after(0, cancel)
	}
	return ctx, func() {
		cancel()
		n.mu.Lock()
		defer n.mu.Unlock()
		r.calls = slices.DeleteFunc(r.calls, func(c ongoingCall) bool { return c.id == id })
	}
}

// stop ends a run and its calls, each at an instant of its own. n.mu must be held.
func (n *node) stop(r *run) {
	n.simulation.schedule.after(0, r.cancel)
	for _, c := range r.calls {
		n.simulation.schedule.after(0, c.cancel)
	}
}

// arrive handles a call from a node.
func (n *node) arrive(req call.Request) {
	c := n.simulation.classes[req.Operation]
	n.attempts.Add(1)
	n.apply(func(now time.Time, s *serve.Server) serve.Effects {
		return s.Arrive(now, req, n.simulation.operations[c], true)
	})
}

// apply runs f on the callee's state and carries out the effects.
func (n *node) apply(f func(now time.Time, s *serve.Server) serve.Effects) {
	now := time.Now()
	n.mu.Lock()
	e := f(now, n.callee)
	for _, id := range e.Stop {
		if r := n.running[id]; r != nil {
			n.stop(r)
		}
	}
	var started []*run
	for _, t := range e.Start {
		r := &run{task: t, class: n.simulation.classes[t.Request.Operation]}
		r.ctx, r.cancel = context.WithDeadline(context.Background(), n.simulation.schedule.deadline(t.Deadline))
		n.running[t.ID] = r
		started = append(started, r)
	}
	ownLevel := n.callee.Level(now)
	n.mu.Unlock()
	for _, r := range started {
		n.simulation.schedule.after(0, func() { n.run(r) })
	}
	for _, r := range e.Replies {
		n.reply(now, r, ownLevel)
	}
}

// reply sends a reply with the admission levels that this node knows.
func (n *node) reply(now time.Time, r call.Reply, ownLevel uint16) {
	r.Levels = n.dispatcher.Load().Levels(now)
	if ownLevel > 0 {
		r.Levels = append(r.Levels, call.Level{Service: n.service.Name, Priority: ownLevel})
	}
	if perSecond, limited := n.rateLimit(); limited {
		r.Notice = call.Notice{Incarnation: n.id.Short(), Limited: true, PerSecond: perSecond}
	}
	to := n.simulation.nodes[r.To]
	n.simulation.schedule.after(link{from: n, to: to}.delay(), func() { to.dispatcher.Load().Reply(n.id, r) })
}

// rateLimit returns the limit that the node's backend server has named, and false for none.
func (n *node) rateLimit() (perSecond float64, limited bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.callee.RateLimit()
}

// run runs a task at the backend server.
func (n *node) run(r *run) {
	defer r.cancel()
	started := time.Now()
	n.backend.recordArrival()
	r.extra = n.simulation.report.ExtraAttempts.Arrived(started, n.service.Name, r.task.Request.RequestID)
	result := n.work(r)
	if result.Verdict != verdict.MayHaveRun {
		result.Limit = n.backend.nameLimit()
		result.Answered = !n.simulation.policy.IgnoreRateLimits
	}
	result.Latency = time.Since(started)
	n.mu.Lock()
	delete(n.running, r.task.ID)
	result.SlotTimeUsed = r.used
	result.Calls = r.targets
	result.CallsFailed = r.callsFailed
	result.DependencyLost = r.dependencyLost
	n.mu.Unlock()
	n.apply(func(now time.Time, s *serve.Server) serve.Effects { return s.Done(now, r.task.ID, result) })
}

// work runs a task to its result: the work at the backend server, then its calls.
func (n *node) work(r *run) serve.Result {
	if !n.backend.acquireSlot(r.ctx) {
		return serve.Result{Verdict: verdict.NotRun, Reason: verdict.Shed, ReachedBackend: true}
	}
	acquired := time.Now()
	ok := n.simulation.schedule.sleep(r.ctx, n.backend.work(r.class)) && n.callAll(r)
	n.backend.releaseSlot()
	n.simulation.report.addSlotTime(n.service, r.task.Request.RootID(), time.Since(acquired))
	switch {
	case context.Cause(r.ctx) == context.Canceled:
		return serve.Result{Verdict: verdict.MayHaveRun, Reason: verdict.Canceled}
	case !ok:
		return serve.Result{Verdict: verdict.Ran, Status: statusFailed}
	}
	switch n.backend.drawResult() {
	case workSilent:
		<-r.ctx.Done()
		return serve.Result{Verdict: verdict.MayHaveRun, Reason: verdict.Deadline}
	case workFails:
		return serve.Result{Verdict: verdict.Ran, Status: statusFailed}
	default:
		return serve.Result{Verdict: verdict.Ran, Status: statusOK}
	}
}

// callAll makes the calls of a task. It stops at the first failure unless the calls
// are concurrent.
func (n *node) callAll(r *run) bool {
	if !r.class.Concurrent {
		for _, c := range r.class.Calls {
			if !n.call(r, c) {
				return false
			}
		}
		return true
	}
	results := make(chan bool, len(r.class.Calls))
	for _, c := range r.class.Calls {
		n.simulation.schedule.after(0, func() { results <- n.call(r, c) })
	}
	ok := true
	for range r.class.Calls {
		ok = <-results && ok
	}
	return ok
}
