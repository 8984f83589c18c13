package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Event tells how a call left the node's queue.
type Event uint8

// Events of a call.
const (
	// Served: the call was handed to the backend server.
	Served Event = iota
	// Shed: the queue dropped the call, or it expired there.
	Shed
)

// Sample describes one call that left the queue.
type Sample struct {
	Event Event
	// Queued is the number of calls still waiting.
	Queued int
	// InFlight is the number of other calls at the backend server.
	InFlight int
	// Limit is the concurrency limit of the backend server.
	Limit int
	// QueueBound is the number of calls that may wait while the backend server takes a
	// limited number of calls a second; zero without such a limit.
	QueueBound int
}

// Gate sets the admission level of one node. Hashes are uniform within an importance,
// so the arrival rate above any level follows from the four estimated rates, and the
// level that admits a given rate is computed in one step. A Gate is not safe for
// concurrent use.
type Gate struct {
	cfg           GateConfig
	intervalStart time.Time
	lastUpdate    time.Time
	counts        intervalCounts
	// arrivals estimates the arrival rate of each importance.
	arrivals [importance.Count]rateEstimate
	// capacity is the number of calls served per interval at full load.
	capacity       float64
	publishedLevel float64
	ownLevel       float64
	recovery       recovery
}

// intervalCounts holds the counts of one interval.
type intervalCounts struct {
	// arrived counts the calls of each importance. admittedShare sums, over all
	// arrivals, the share of each importance that their admitted levels let through.
	arrived, admittedShare [importance.Count]float64
	served, shed           float64
	queue                  queueCounts
}

// queueCounts sums the state of the queue over the calls that left it. Shed calls count
// too: while the backend server is frozen there are no others.
type queueCounts struct {
	calls, limitReached float64
	queued              float64
	limit, inFlight     float64
	// bound sums the bounds of the queue. bounded counts the calls with one.
	bound, bounded float64
	minQueued      int
}

func (q *queueCounts) add(s Sample) {
	if q.calls == 0 || s.Queued < q.minQueued {
		q.minQueued = s.Queued
	}
	q.calls++
	q.queued += float64(s.Queued)
	q.limit += float64(s.Limit)
	q.inFlight += float64(s.InFlight)
	if s.QueueBound > 0 {
		q.bound += float64(s.QueueBound)
		q.bounded++
	}
	if s.InFlight+1 >= s.Limit || s.QueueBound > 0 && s.Queued > 0 {
		q.limitReached++
	}
}

// NewGate returns a Gate that admits everything.
func NewGate(cfg GateConfig) *Gate { return &Gate{cfg: cfg} }

// Admit counts an arrival and reports whether the node admits it. admittedLevel is this
// service's level when the request was admitted at its entry node.
func (g *Gate) Admit(now time.Time, priority, admittedLevel uint16) bool {
	g.advance(now)
	g.counts.arrived[Importance(priority)]++
	for i := range g.counts.admittedShare {
		g.counts.admittedShare[i] += shareAbove(float64(admittedLevel), i)
	}
	return float64(priority) >= g.ownLevel
}

// Observe counts a call that left the queue.
func (g *Gate) Observe(now time.Time, s Sample) {
	g.advance(now)
	g.counts.queue.add(s)
	if s.Event == Shed {
		g.counts.shed++
		return
	}
	g.counts.served++
}

// Level returns the level published to callers' nodes; zero admits everything.
func (g *Gate) Level(now time.Time) uint16 {
	g.advance(now)
	return toLevel(g.publishedLevel)
}

// OwnLevel returns the level that the node itself applies, which is never above Level. When
// it rises, the node also sheds waiting calls below it.
func (g *Gate) OwnLevel(now time.Time) uint16 {
	g.advance(now)
	return toLevel(g.ownLevel)
}

// RetryAfter returns the time after which a refused caller should retry. rng adds
// jitter.
func (g *Gate) RetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	g.advance(now)
	return g.recovery.retryAfter(now, g.cfg.RetryMin, g.cfg.RetryMax, rng)
}

func toLevel(v float64) uint16 { return uint16(min(math.Ceil(v), math.MaxUint16)) }

// advance sets the level if the interval has ended.
func (g *Gate) advance(now time.Time) {
	if g.intervalStart.IsZero() {
		g.intervalStart = now
	}
	if !now.After(g.lastUpdate) {
		// The level changes at most once at any time.
		return
	}
	g.lastUpdate = now
	elapsed := now.Sub(g.intervalStart)
	if elapsed < g.cfg.Interval {
		return
	}
	if g.counts.served < g.cfg.MinCalls && elapsed < time.Duration(g.cfg.MaxIntervals)*g.cfg.Interval {
		return
	}
	intervals := float64(elapsed) / float64(g.cfg.Interval)
	g.addArrivals(intervals)
	g.updateLevel(intervals)
	g.recovery.update(now, g.publishedLevel > 0)
	g.intervalStart = now
	g.counts = intervalCounts{}
}

// addArrivals updates the estimated arrival rates, which include rejected calls. Calls
// that arrive now were admitted under earlier levels, since a request works at other
// services first. So each call counts with its admitted level: with the present one,
// the estimate would be too high after the level rose and too low after it fell, and
// the level would oscillate.
func (g *Gate) addArrivals(intervals float64) {
	total := 0.0
	for _, n := range g.counts.arrived {
		total += n
	}
	for i := range g.arrivals {
		share := g.counts.admittedShare[i] / max(total, 1) // without arrivals the share is zero: nothing is known
		g.arrivals[i].addArrivals(&g.cfg, intervals, share, g.counts.arrived[i])
	}
}

// shareAbove returns the share of an importance's hashes that a level admits.
func shareAbove(level float64, imp int) float64 {
	low := float64(imp * importanceRange)
	return min(max((low+importanceRange-level)/importanceRange, 0), 1)
}

// updateLevel sets the level so that the admitted rate is the service rate plus or
// minus what brings the queue to its target length.
func (g *Gate) updateLevel(intervals float64) {
	served := g.counts.served / intervals
	q := &g.counts.queue
	limitReached := q.limitReached > q.calls/2 || g.counts.shed > 0
	g.updateCapacity(served, limitReached)
	if !limitReached {
		g.lower(g.headroom(served))
		return
	}
	queued := q.queued / max(q.calls, 1)
	targetQueue := g.targetQueue(q)
	targetRate := g.capacity + (targetQueue-queued)/g.cfg.SettleIntervals
	targetRate = max(targetRate, g.capacity/2)
	if queued > targetQueue && q.minQueued > 0 {
		g.raise(targetRate)
		return
	}
	g.lower(targetRate)
}

// targetQueue returns the queue length that the level aims at. It is half of the bound if
// there is one: the full queue of a rate-limited backend server would otherwise stay below
// the target, and its overload would never reach the entry nodes.
func (g *Gate) targetQueue(q *queueCounts) float64 {
	target := g.cfg.Queue * math.Sqrt(q.limit/max(q.calls, 1))
	if q.bounded == 0 {
		return target
	}
	return min(target, q.bound/q.bounded/2)
}

// updateCapacity updates the estimate of the service rate at full load.
func (g *Gate) updateCapacity(served float64, full bool) {
	const gain = 0.3
	switch {
	case served > g.capacity && (!full || g.capacity == 0):
		g.capacity = served
	case full:
		g.capacity += gain * (served - g.capacity)
	}
}

// headroom returns the rate to admit while the limit is not in use: the served rate
// scaled by the free slots, at most by MaxProbeGrowth, or the known capacity if that is more.
func (g *Gate) headroom(served float64) float64 {
	free := g.counts.queue.limit / max(g.counts.queue.inFlight, 1)
	return max(g.capacity, served*min(free, g.cfg.MaxProbeGrowth))
}

// raise sets the level while the queue is too long. The level may also fall here: the
// estimates are noisy, and keeping the highest of them until the queue has shrunk would
// refuse the most important requests and leave slots idle.
func (g *Gate) raise(rate float64) {
	g.publishedLevel = stepDown(g.publishedLevel, g.levelFor(rate))
	g.setOwnLevel(rate)
}

// lower sets the level while the queue is not too long. The published level never rises
// here.
func (g *Gate) lower(rate float64) {
	g.publishedLevel = min(g.publishedLevel, stepDown(g.publishedLevel, g.levelFor(rate)))
	g.setOwnLevel(rate)
}

// setOwnLevel sets the level that the node itself applies.
func (g *Gate) setOwnLevel(rate float64) {
	own := g.levelFor(rate * (1 + g.cfg.OwnSurplus))
	g.ownLevel = min(g.publishedLevel, stepDown(g.ownLevel, own))
}

// stepDown lowers a level by at most one importance: the next one is admitted only
// after a whole interval in which nothing of this one was refused. Otherwise a level
// that falls through several importances would admit the least of them just after
// refusing the most important.
func stepDown(from, to float64) float64 {
	end := math.Floor((from-1)/importanceRange) * importanceRange
	return max(to, end, 0)
}

// levelFor returns the level that admits the given number of calls per interval.
func (g *Gate) levelFor(target float64) float64 {
	for i := importance.Count - 1; i >= 0; i-- {
		rate := g.arrivals[i].rate()
		if rate > target {
			return float64(i*importanceRange) + (1-target/rate)*importanceRange
		}
		target -= rate
	}
	return 0
}

// GateState is the diagnostic state of a Gate.
type GateState struct {
	Level    uint16                    `json:"level"`
	Own      uint16                    `json:"own_level"`
	Capacity float64                   `json:"served_per_interval"`
	Arrivals [importance.Count]float64 `json:"arrivals_per_interval"`
	Recovery string                    `json:"mean_recovery"`
}

// Dump returns the state for diagnostics.
func (g *Gate) Dump() GateState {
	s := GateState{
		Level:    toLevel(g.publishedLevel),
		Own:      toLevel(g.ownLevel),
		Capacity: g.capacity,
		Recovery: g.recovery.mean.String(),
	}
	for i := range g.arrivals {
		s.Arrivals[i] = g.arrivals[i].rate()
	}
	return s
}
