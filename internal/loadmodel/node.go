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
	// used is the slot time of the call and of those that it made.
	used   time.Duration
	levels []wirecall.Level
}

// call is one attempt at one service.
type call struct {
	id       uint64
	op       *Operation
	hop      int
	priority uint16
	bars     []wirecall.Level // that have let it in
	deadline time.Time
	arrived  time.Time
	node     *node
	job      *job
	inFlight int
	begun    time.Time
	waited   time.Duration
	used     time.Duration
	below    func()
	over     bool
	reply    func(result)
}

// node is one node with its backend server.
type node struct {
	model   *model
	id      wire.NodeID
	service int
	policy  *Policy
	limit   limiter
	queue   waiting
	gate    *admission.Gate
	levels  *admission.Levels
	entry   *admission.Levels
	backend *backend
	running int
	place   place
	own     uint16
}

// handle takes a call that arrives from another node.
func (n *node) handle(c *call) {
	now := n.model.sim.now
	c.node = n
	c.arrived = now
	if n.policy.Admission {
		ok := n.gate.Admit(now, c.priority, wirecall.LevelOf(c.bars, n.backend.service.Name))
		n.shedBelow()
		if !ok {
			n.refuse(c)
			return
		}
	}
	item := queue.Item[*call]{ID: c.id, Priority: c.priority, Value: c}
	if n.policy.Cancel {
		item.Deadline = c.deadline
		item.ExpectedRunTime = n.expect(c)
	}
	if n.late(&item) {
		n.observe(admission.Shed)
		c.finish(result{})
		return
	}
	n.shed(n.queue.Push(now, item))
	n.pump()
	if !c.over && c.job == nil && n.policy.Cancel {
		n.model.sim.after(c.deadline.Sub(now), n.pump)
	}
}

// expect is how long the call takes at least.
func (n *node) expect(c *call) time.Duration {
	if l, ok := n.limit.(*limit.Limiter); ok {
		return l.ExpectedRunTime(c.op.class())
	}
	return 0
}

// shedBelow empties the queue below the node's own level when that has risen.
func (n *node) shedBelow() {
	own := n.gate.OwnLevel(n.model.sim.now)
	if own > n.own {
		n.shed(n.queue.Shed(own))
	}
	n.own = own
}

// late reports whether the call could not be served in time. Like calls that
// expire, those do not count for the order.
func (n *node) late(item *queue.Item[*call]) bool {
	q, ok := n.queue.(*queue.Queue[*call])
	return ok && q.WouldExpire(n.model.sim.now, item)
}

// shed refuses calls that left the queue for want of room.
func (n *node) shed(items []queue.Item[*call]) {
	for _, item := range items {
		n.observe(admission.Shed)
		n.refuse(item.Value)
	}
}

// expire refuses calls that waited for too long. Whatever begins after them
// took nothing from them, so that they do not count for the order.
func (n *node) expire() {
	for _, item := range n.queue.Expire(n.model.sim.now) {
		n.observe(admission.Shed)
		item.Value.finish(result{})
	}
}

// observe tells the gate of a call that left the queue.
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
	n.place.shed(n.model.sim.now, c)
	c.finish(result{})
}

// pump begins waiting calls while the limit allows.
func (n *node) pump() {
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
	n.place.start(now, c)
	n.observe(admission.Served)
	if n.policy.Admission {
		n.shedBelow()
	}
	n.running++
	c.begun = now
	c.inFlight = n.limit.Begin(now)
	c.job = &job{run: func() { n.run(c) }}
	if !n.backend.submit(c.job) {
		n.model.sim.after(time.Millisecond, func() { n.complete(c, limit.Overload) })
	}
}

// run does the call's work: half of it before the call that it makes, half
// after.
func (n *node) run(c *call) {
	work := n.backend.work(c.op.Cost)
	if c.hop == len(c.op.Path)-1 {
		n.step(c, work, func() { n.complete(c, limit.Success) })
		return
	}
	n.step(c, work/2, func() {
		asked := n.model.sim.now
		n.limit.Waiting(asked, 1)
		c.below = n.model.ask(n, n.levels, c.op, c.hop+1, c.priority, c.bars, c.deadline, func(r result) {
			now := n.model.sim.now
			n.limit.Waiting(now, -1)
			c.below = nil
			c.used += r.used
			c.waited = now.Sub(asked)
			if c.over || c.job.state != jobRunning {
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

func (n *node) step(c *call, work time.Duration, then func()) {
	n.model.sim.after(work, func() {
		if c.job.state == jobRunning {
			then()
		}
	})
}

// complete ends a call that was begun.
func (n *node) complete(c *call, outcome limit.Outcome) {
	if c.job.state == jobOver {
		return
	}
	now := n.model.sim.now
	held := n.backend.release(c.job)
	n.running--
	n.model.used(held)
	c.used += held
	n.limit.End(now, limit.Sample{
		Latency:    now.Sub(c.begun),
		Downstream: c.waited,
		InFlight:   c.inFlight,
		Outcome:    outcome,
		Class:      c.op.class(),
	})
	c.finish(result{ok: outcome == limit.Success, used: c.used})
	n.pump()
}

// cancel gives a call up: it leaves the queue or frees its slot.
func (n *node) cancel(c *call) {
	if c.over {
		return
	}
	if c.job == nil {
		n.queue.Remove(c.id)
		c.finish(result{})
		return
	}
	if c.below != nil {
		c.below()
	}
	n.complete(c, limit.Ignore)
}

func (c *call) finish(r result) {
	if c.over {
		return
	}
	c.over = true
	r.levels = c.node.report()
	c.reply(r)
}

// report lists the levels that a reply carries.
func (n *node) report() []wirecall.Level {
	if !n.policy.Admission {
		return nil
	}
	now := n.model.sim.now
	out := n.levels.Report(now)
	if own := n.gate.Level(now); own > 0 {
		out = append(out, wirecall.Level{Service: n.backend.service.Name, Priority: own})
	}
	return out
}
