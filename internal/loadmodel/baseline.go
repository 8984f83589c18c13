package loadmodel

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/queue"
)

// unlimited is the limit and the queue length of a baseline without bounds.
const unlimited = 1 << 30

// NoAdmission returns a policy that forwards every call at once and retries three times
// at each hop.
func NoAdmission() Policy {
	return Policy{
		Name:           "none + 3 retries/hop",
		Limit:          func(int) limiter { return &fixedLimit{limit: unlimited} },
		Queue:          func() callQueue { return &fifo{bound: unlimited} },
		HopRetries:     3,
		AttemptTimeout: 400 * time.Millisecond,
	}
}

// FixedFIFO returns a policy with a fixed limit and a FIFO queue.
func FixedFIFO(bound int) Policy {
	return Policy{
		Name:   "fixed limit, FIFO",
		Limit:  func(slots int) limiter { return &fixedLimit{limit: slots} },
		Queue:  func() callQueue { return &fifo{bound: bound} },
		Cancel: true,
	}
}

// FixedCoDel returns a policy with a fixed limit and a queue that drops by CoDel (Nichols
// and Jacobson, "Controlling Queue Delay", 2012).
func FixedCoDel(bound int) Policy {
	p := FixedFIFO(bound)
	p.Name = "fixed limit, CoDel"
	p.Queue = func() callQueue {
		return &codel{fifo: fifo{bound: bound}, target: 20 * time.Millisecond, interval: 100 * time.Millisecond}
	}
	return p
}

// WithLimit returns the production policy with another limit.
func WithLimit(name string, l func(int) limiter) Policy {
	p := Production()
	p.Name = name
	p.Limit = l
	return p
}

// fixedLimit is a constant limit.
type fixedLimit struct {
	limit    int
	inFlight int
}

func (f *fixedLimit) Limit() int                  { return f.limit }
func (f *fixedLimit) Begin(time.Time) int         { f.inFlight++; return f.inFlight }
func (f *fixedLimit) End(time.Time, limit.Sample) { f.inFlight-- }
func (f *fixedLimit) Waiting(time.Time, int)      {}

// aimdLimit is an additive-increase, multiplicative-decrease limit. It grows by one per
// limit of calls and falls by a tenth, at most once per latency, when the mean latency is
// more than twice the lowest mean or a call is refused.
type aimdLimit struct {
	fixedLimit
	value            float64
	mean, lowestMean float64
	calls            int
	last             time.Time
}

func newAIMD(int) limiter { return &aimdLimit{value: 20} }

func (a *aimdLimit) Limit() int { return max(1, int(a.value)) }

func (a *aimdLimit) End(now time.Time, s limit.Sample) {
	a.inFlight--
	if s.Outcome == limit.Ignore {
		return
	}
	a.average(s.Latency.Seconds())
	slow := s.Outcome == limit.Overload || a.lowestMean > 0 && a.mean > 2*a.lowestMean
	switch {
	case slow && now.Sub(a.last) > s.Latency:
		a.value = max(1, a.value*0.9)
		a.last = now
	case !slow && s.InFlight >= a.Limit():
		a.value += 1 / a.value
	}
}

func (a *aimdLimit) average(x float64) {
	const calls = 50
	a.calls++
	a.mean += (x - a.mean) / float64(min(a.calls, calls))
	if a.calls > calls && (a.lowestMean == 0 || a.mean < a.lowestMean) {
		a.lowestMean = a.mean
	}
}

// gradientLimit adjusts the limit by the ratio of a long to a short average of latency, as
// Gradient2 of Netflix's concurrency-limits does.
type gradientLimit struct {
	fixedLimit
	value       float64
	long, short float64
}

func newGradient(int) limiter { return &gradientLimit{value: 20} }

func (g *gradientLimit) Limit() int { return max(1, int(g.value)) }

func (g *gradientLimit) End(_ time.Time, s limit.Sample) {
	const longCalls, shortCalls, tolerance, smoothing = 600, 10, 1.5, 0.2
	g.inFlight--
	if s.Outcome != limit.Success {
		return
	}
	x := s.Latency.Seconds()
	if g.long == 0 {
		g.long, g.short = x, x
	}
	g.long += (x - g.long) / longCalls
	g.short += (x - g.short) / shortCalls
	if g.long > 2*g.short {
		g.long *= 0.95
	}
	if s.InFlight < g.Limit()/2 {
		return
	}
	gradient := min(1, max(0.5, tolerance*g.long/g.short))
	next := g.value*gradient + math.Sqrt(g.value)
	g.value = max(1, g.value*(1-smoothing)+next*smoothing)
}

// fifo is a bounded FIFO queue that ignores deadlines.
type fifo struct {
	bound int
	items []queue.Item[*call]
	since []time.Time
}

func (f *fifo) Push(now time.Time, item queue.Item[*call]) []queue.Item[*call] {
	if len(f.items) >= f.bound {
		return []queue.Item[*call]{item}
	}
	f.items = append(f.items, item)
	f.since = append(f.since, now)
	return nil
}

func (f *fifo) Pop(time.Time) (queue.Item[*call], bool) {
	if len(f.items) == 0 {
		return queue.Item[*call]{}, false
	}
	item := f.items[0]
	f.items, f.since = f.items[1:], f.since[1:]
	return item, true
}

func (f *fifo) Remove(uint64) (queue.Item[*call], bool) { return queue.Item[*call]{}, false }
func (f *fifo) Expire(time.Time) []queue.Item[*call]    { return nil }
func (f *fifo) Shed(uint16) []queue.Item[*call]         { return nil }
func (f *fifo) Len() int                                { return len(f.items) }

// codel drops at the head when every item of an interval waited longer than target.
type codel struct {
	fifo
	target, interval time.Duration
	above, next      time.Time
	count            int
	dropped          []queue.Item[*call]
}

func (c *codel) Pop(now time.Time) (queue.Item[*call], bool) {
	for len(c.items) > 0 {
		drop := c.drop(now, now.Sub(c.since[0]))
		item, _ := c.fifo.Pop(now)
		if !drop {
			return item, true
		}
		c.dropped = append(c.dropped, item)
	}
	c.above = time.Time{}
	return queue.Item[*call]{}, false
}

func (c *codel) drop(now time.Time, waited time.Duration) bool {
	if waited < c.target {
		c.above, c.count = time.Time{}, 0
		return false
	}
	if c.above.IsZero() {
		c.above = now
		c.next = now.Add(c.interval)
		return false
	}
	if now.Before(c.next) {
		return false
	}
	c.count++
	step := float64(c.interval) / math.Sqrt(float64(c.count))
	c.next = c.next.Add(time.Duration(step))
	return true
}

func (c *codel) Expire(time.Time) []queue.Item[*call] {
	out := c.dropped
	c.dropped = nil
	return out
}
