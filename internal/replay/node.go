package replay

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/reach"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// node is one node with its backend server. It does what package node does with
// the decisions of serve and dispatch, without a network.
type node struct {
	world    *world
	id       wire.NodeID
	service  *Service
	centre   string
	backend  *backend
	dispatch *dispatch.Dispatcher

	// arrived counts attempts sent here, refused ones too.
	arrived atomic.Int64

	mu     sync.Mutex
	callee *serve.Server
	// running are the tasks at the backend server, by task.
	running map[uint64]*run
	// book holds what requests that entered here have reached, calls the same
	// of the backend server's own calls.
	book, calls *reach.Tracker
}

// run is one task at the backend server.
type run struct {
	task        *serve.Task
	class       *Class
	ctx         context.Context
	stop        context.CancelFunc
	callsFailed bool
	used        []call.Use
}

// rest is what a node keeps of its decisions here; nobody reads it.
var rest = explain.Config{Notable: 1, Ordinary: 1}

func newNode(w *world, s *Service, speed float64, centre string, id wire.NodeID) *node {
	n := &node{
		world: w, id: id, service: s, centre: centre,
		backend: newBackend(s, speed, w.seed()),
		running: make(map[uint64]*run),
		book:    reach.New(reach.DefaultConfig()),
		calls:   reach.New(reach.DefaultConfig()),
	}
	dc := w.policy.Dispatch
	dc.Self, dc.Seed, dc.DataCentre = id, w.seed(), centre
	n.dispatch = dispatch.New(dc, linker{n}, w.members, explain.New(rest))
	sc := w.policy.Serve
	sc.Self, sc.Service, sc.Seed = id, s.Name, w.seed()
	now := time.Now()
	n.callee = serve.New(sc, [once.SecretLen]byte{}, now)
	n.callee.SetReady(now, true)
	if !w.policy.Blind {
		n.callee.SetSlots(now, s.Slots)
	}
	return n
}

// linker finds the way to other nodes.
type linker struct{ n *node }

// Link implements dispatch.Linker.
func (l linker) Link(_ context.Context, id wire.NodeID) (dispatch.Link, error) {
	return link{from: l.n, to: l.n.world.nodes[id]}, nil
}

// link is a connection that never ends.
type link struct{ from, to *node }

func (l link) delay() time.Duration {
	if l.from == l.to {
		return 0
	}
	d := l.from.world.deployment
	if d.Near > 0 && l.from.centre == l.to.centre {
		return d.Near
	}
	return d.Delay
}

func (l link) Call(req call.Request) (func() bool, error) {
	if l.from.centre != l.to.centre {
		l.from.world.report.far.Add(1)
	}
	time.AfterFunc(l.delay(), func() { l.to.arrive(req) })
	return func() bool { return true }, nil
}

func (l link) Cancel(c call.Cancel) {
	time.AfterFunc(l.delay(), func() {
		l.to.do(func(now time.Time, s *serve.Server) serve.Effects { return s.Cancel(now, c) })
	})
}

func (l link) Done() <-chan struct{} { return nil }

func (l link) MarkAnswered() {}

func (l link) Release() {}

func operation(c *Class) *graph.Operation {
	return graph.Standalone(graph.Operation{
		Service: c.Service, Name: c.Name, Idempotent: c.Idempotent, Importance: c.Importance, Deadline: c.Deadline, ExtraAttempts: 1,
	})
}

// enter takes a caller's request.
func (n *node) enter(ctx context.Context, c *Class, id string, deadline time.Time) call.Outcome {
	op := n.world.operations[c]
	patience := time.Until(deadline)
	if c.Timeout > 0 {
		if limit := time.Now().Add(c.Timeout); limit.Before(deadline) {
			deadline = limit
		}
	}
	p := dispatch.Params{
		RequestID: id, Operation: op, Importance: c.Importance, Deadline: deadline,
		Ledger: retry.NewLedger(uint32(op.ExtraAttempts)), Fanout: 1, FromCaller: true, CallerDeadline: patience,
		Reach: n.reach(c),
	}
	out := n.dispatch.Call(ctx, p)
	if out.Verdict == verdict.Ran {
		n.learn(c, call.Names(out.SlotTimeUsed))
	}
	return out
}

func (n *node) reach(c *Class) []string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.book.Reach(c.Name)
}

func (n *node) learn(c *Class, reached []string) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.book.Record(time.Now(), c.Name, append(reached, c.Service))
}

// call makes a call for a task; false if it failed.
func (n *node) call(r *run, c *Class) bool {
	op := n.world.operations[c]
	req := &r.task.Request
	deadline := time.Now().Add(c.Deadline)
	if r.task.Deadline.Before(deadline) {
		deadline = r.task.Deadline
	}
	out := n.dispatch.Call(r.ctx, dispatch.Params{
		RequestID: n.world.nextID(), Operation: op, Importance: req.Importance, Deadline: deadline,
		Ledger: retry.NewLedger(uint32(op.ExtraAttempts)), Fanout: 1,
		Root: req.RootID(), AdmittedLevels: req.AdmittedLevels, Admitted: true, Repeat: req.Repeat, Depth: req.Depth + 1,
	})
	n.used(r, c.Service, out)
	n.world.report.called(c.Service, out)
	return out.Verdict == verdict.Ran && out.Status == statusOK
}

// used notes what a call of the backend server has reached and used.
func (n *node) used(r *run, service string, out call.Outcome) {
	n.mu.Lock()
	defer n.mu.Unlock()
	r.used = out.AddUses(r.used, service)
	r.callsFailed = r.callsFailed || !out.Served()
	if n.calls.Record(time.Now(), "", call.Names(r.used)) {
		n.dispatch.SetForwarded(n.calls.Reach(""))
	}
}

const (
	statusOK     = 200
	statusFailed = 500
)

func (n *node) arrive(req call.Request) {
	c := n.world.classes[req.Operation]
	n.arrived.Add(1)
	n.do(func(now time.Time, s *serve.Server) serve.Effects {
		return s.Arrive(now, req, n.world.operations[c], true)
	})
}

// do calls f on the callee's decisions and does what follows.
func (n *node) do(f func(now time.Time, s *serve.Server) serve.Effects) {
	now := time.Now()
	n.mu.Lock()
	e := f(now, n.callee)
	for _, id := range e.Stop {
		if r := n.running[id]; r != nil {
			r.stop()
		}
	}
	var started []*run
	for _, t := range e.Start {
		r := &run{task: t, class: n.world.classes[t.Request.Operation]}
		r.ctx, r.stop = context.WithDeadline(context.Background(), t.Deadline)
		n.running[t.ID] = r
		started = append(started, r)
	}
	own := n.callee.Level(now)
	n.mu.Unlock()
	for _, r := range started {
		go n.run(r)
	}
	for _, r := range e.Replies {
		n.reply(now, r, own)
	}
}

func (n *node) reply(now time.Time, r call.Reply, own uint16) {
	r.Levels = n.dispatch.Levels(now)
	if own > 0 {
		r.Levels = append(r.Levels, call.Level{Service: n.service.Name, Priority: own})
	}
	to := n.world.nodes[r.To]
	time.AfterFunc(link{from: n, to: to}.delay(), func() { to.dispatch.Reply(n.id, r) })
}

// run has the backend server work on a task.
func (n *node) run(r *run) {
	defer r.stop()
	started := time.Now()
	result := n.work(r)
	result.Latency = time.Since(started)
	n.mu.Lock()
	delete(n.running, r.task.ID)
	result.SlotTimeUsed = r.used
	result.CallsFailed = r.callsFailed
	n.mu.Unlock()
	n.do(func(now time.Time, s *serve.Server) serve.Effects { return s.Done(now, r.task.ID, result) })
}

func (n *node) work(r *run) serve.Result {
	if !n.backend.take(r.ctx) {
		return serve.Result{Verdict: verdict.NotRun, Reason: verdict.Shed, ReachedBackend: true}
	}
	held := time.Now()
	ok := pause.For(r.ctx, n.backend.work(r.class)) && n.callAll(r)
	n.backend.leave()
	n.world.report.used(n.service, r.task.Request.RootID(), time.Since(held))
	if !ok {
		return serve.Result{Verdict: verdict.Ran, Status: statusFailed}
	}
	switch n.backend.end() {
	case silent:
		<-r.ctx.Done()
		return serve.Result{Verdict: verdict.MayHaveRun, Reason: verdict.Deadline}
	case fails:
		return serve.Result{Verdict: verdict.Ran, Status: statusFailed}
	default:
		return serve.Result{Verdict: verdict.Ran, Status: statusOK}
	}
}

// callAll makes the calls of a task until one fails.
func (n *node) callAll(r *run) bool {
	if !r.class.Together {
		for _, c := range r.class.Calls {
			if !n.call(r, c) {
				return false
			}
		}
		return true
	}
	ended := make(chan bool, len(r.class.Calls))
	for _, c := range r.class.Calls {
		go func() { ended <- n.call(r, c) }()
	}
	ok := true
	for range r.class.Calls {
		ok = <-ended && ok
	}
	return ok
}
