package loadmodel

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	wirecall "github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/queue"
	"github.com/cassialoom/cassialoom/wire"
)

// result is the answer to a call.
type result struct {
	ok         bool
	retryAfter time.Duration
	// usedSlotTime is the slot time of the call and of the calls below it.
	usedSlotTime time.Duration
	levels       []wirecall.Level
}

// call is one attempt at one service.
type call struct {
	id             uint64
	op             *Operation
	hop            int
	priority       uint16
	admittedLevels []wirecall.Level
	deadline       time.Time
	arrived        time.Time
	node           *node
	job            *job
	inFlight       int
	started        time.Time
	waited         time.Duration
	usedSlotTime   time.Duration
	cancelCall     func()
	ended          bool
	reply          func(result)
}

// node is one node with its backend server.
type node struct {
	model   *model
	id      wire.NodeID
	service int
	policy  *Policy
	limit   limiter
	queue   callQueue
	gate    *admission.Gate
	// levels holds the levels for the backend server's calls, entry those for requests
	// of callers.
	levels       *admission.Levels
	entry        *admission.Levels
	backend      *backend
	running      int
	orderChecker orderChecker
	ownLevel     uint16
}

// handle processes a call from another node.
func (n *node) handle(c *call) {
	now := n.model.sim.now
	c.node = n
	c.arrived = now
	if n.policy.Admission {
		ok := n.gate.Admit(now, c.priority, wirecall.LevelOf(c.admittedLevels, n.backend.service.Name))
		n.shedBelowOwnLevel()
		if !ok {
			n.refuse(c)
			return
		}
	}
	item := queue.Item[*call]{ID: c.id, Priority: c.priority, Value: c}
	if n.policy.Cancel {
		item.Deadline = c.deadline
		item.ExpectedRunTime = n.expectedTime(c)
	}
	if n.late(&item) {
		n.observe(admission.Shed)
		c.finish(result{})
		return
	}
	n.shed(n.queue.Push(now, item))
	n.startQueued()
	if !c.ended && c.job == nil && n.policy.Cancel {
		n.model.sim.after(c.deadline.Sub(now), n.startQueued)
	}
}

// expectedTime returns the least time that the call is expected to take.
func (n *node) expectedTime(c *call) time.Duration {
	if l, ok := n.limit.(*limit.Limiter); ok {
		return l.ExpectedRunTime(c.op.class())
	}
	return 0
}

// shedBelowOwnLevel sheds queued calls below the node's own level when it has risen.
func (n *node) shedBelowOwnLevel() {
	ownLevel := n.gate.OwnLevel(n.model.sim.now)
	if ownLevel > n.ownLevel {
		n.shed(n.queue.Shed(ownLevel))
	}
	n.ownLevel = ownLevel
}

// late reports whether the call can't finish in time. Like expired calls, such calls don't
// count as shed for the priority order.
func (n *node) late(item *queue.Item[*call]) bool {
	q, ok := n.queue.(*queue.Queue[*call])
	return ok && q.WouldExpire(n.model.sim.now, item)
}

// shed refuses calls that the queue dropped because it was full or the level rose.
func (n *node) shed(items []queue.Item[*call]) {
	for _, item := range items {
		n.observe(admission.Shed)
		n.refuse(item.Value)
	}
}

// expire refuses calls that waited too long. They don't count as shed for the priority
// order, because the calls that start after them took no slot from them.
func (n *node) expire() {
	for _, item := range n.queue.Expire(n.model.sim.now) {
		n.observe(admission.Shed)
		item.Value.finish(result{})
	}
}

// observe reports a call that left the queue to the gate.
func (n *node) observe(event admission.Event) {
	if !n.policy.Admission {
		return
	}
	n.gate.Observe(n.model.sim.now, admission.Sample{
		Event:    event,
		Queued:   n.queue.Len(),
		InFlight: n.running,
		Limit:    n.limit.Limit(),
	})
}

func (n *node) refuse(c *call) {
	n.orderChecker.shed(n.model.sim.now, c)
	c.finish(result{})
}

// startQueued starts queued calls while the limit allows.
func (n *node) startQueued() {
	now := n.model.sim.now
	n.expire()
	for n.running < n.limit.Limit() {
		item, ok := n.queue.Pop(now)
		n.expire()
		if !ok {
			return
		}
		n.start(item.Value)
	}
}

func (n *node) start(c *call) {
	now := n.model.sim.now
	n.orderChecker.start(now, c)
	n.observe(admission.Served)
	if n.policy.Admission {
		n.shedBelowOwnLevel()
	}
	n.running++
	c.started = now
	c.inFlight = n.limit.Begin(now)
	c.job = &job{run: func() { n.run(c) }}
	if !n.backend.submit(c.job) {
		n.model.sim.after(time.Millisecond, func() { n.complete(c, limit.Overload) })
	}
}

// run does the call's work: half of it before the call to the next service, half after.
func (n *node) run(c *call) {
	work := n.backend.work(c.op.Cost)
	if c.hop == len(c.op.Path)-1 {
		n.step(c, work, func() { n.complete(c, limit.Success) })
		return
	}
	n.step(c, work/2, func() {
		sentAt := n.model.sim.now
		n.limit.Waiting(sentAt, 1)
		c.cancelCall = n.model.ask(n, n.levels, c.op, c.hop+1, c.priority, c.admittedLevels, c.deadline, func(r result) {
			now := n.model.sim.now
			n.limit.Waiting(now, -1)
			c.cancelCall = nil
			c.usedSlotTime += r.usedSlotTime
			c.waited = now.Sub(sentAt)
			if c.ended || c.job.state != jobRunning {
				return
			}
			if !r.ok {
				n.complete(c, limit.Ignore)
				return
			}
			n.step(c, work/2, func() { n.complete(c, limit.Success) })
		})
	})
}

// step runs next after the time of work unless the job has ended.
func (n *node) step(c *call, work time.Duration, next func()) {
	n.model.sim.after(work, func() {
		if c.job.state == jobRunning {
			next()
		}
	})
}

// complete ends a call that has started.
func (n *node) complete(c *call, outcome limit.Outcome) {
	if c.job.state == jobEnded {
		return
	}
	now := n.model.sim.now
	held := n.backend.release(c.job)
	n.running--
	n.model.usedSlotTime(held)
	c.usedSlotTime += held
	n.limit.End(now, limit.Sample{
		Latency:    now.Sub(c.started),
		Downstream: c.waited,
		InFlight:   c.inFlight,
		Outcome:    outcome,
		Class:      c.op.class(),
	})
	c.finish(result{ok: outcome == limit.Success, usedSlotTime: c.usedSlotTime})
	n.startQueued()
}

// cancel removes a call from the queue or frees its slot.
func (n *node) cancel(c *call) {
	if c.ended {
		return
	}
	if c.job == nil {
		n.queue.Remove(c.id)
		c.finish(result{})
		return
	}
	if c.cancelCall != nil {
		c.cancelCall()
	}
	n.complete(c, limit.Ignore)
}

func (c *call) finish(r result) {
	if c.ended {
		return
	}
	c.ended = true
	r.levels = c.node.replyLevels()
	c.reply(r)
}

// replyLevels returns the admission levels that a reply carries.
func (n *node) replyLevels() []wirecall.Level {
	if !n.policy.Admission {
		return nil
	}
	now := n.model.sim.now
	out := n.levels.Report(now)
	if ownLevel := n.gate.Level(now); ownLevel > 0 {
		out = append(out, wirecall.Level{Service: n.backend.service.Name, Priority: ownLevel})
	}
	return out
}
