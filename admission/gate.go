package admission

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Event is what happened to one call at the node's queue.
type Event uint8

// The events.
const (
	// Served: the call was handed to the backend server.
	Served Event = iota
	// Shed: the queue dropped the call, or it expired there.
	Shed
)

// Sample is one call that left the queue.
type Sample struct {
	Event Event
	// Queued is the number of calls that still wait.
	Queued int
	// InFlight counts the calls at the backend server without this one.
	InFlight int
	// Limit is what InFlight is kept below.
	Limit int
}

// Gate sets the level of one node. Within an importance the hash is uniform, so
// the arrivals above a level are known from four rates, and the level that
// admits a given rate is found in one step instead of by trial. It is not safe
// for concurrent use.
type Gate struct {
	cfg   GateConfig
	start time.Time
	last  time.Time
	seen  counts
	// arrivals of each importance.
	arrivals [importance.Count]flow
	// capacity is the number of calls served per interval when full.
	capacity  float64
	published float64
	admit     float64
	recovery  recovery
}

// counts of one interval.
type counts struct {
	// arrived counts by importance, open sums up for each the share that the
	// levels let in by which those that arrived came in.
	arrived, open [importance.Count]float64
	served, shed  float64
	queue         queueCounts
}

// queueCounts sums up the state of the queue over the calls that left it, shed
// ones too: those are all there is to see while the backend server is frozen.
type queueCounts struct {
	calls, full     float64
	queued          float64
	limit, inFlight float64
	shortest        int
}

func (q *queueCounts) add(s Sample) {
	if q.calls == 0 || s.Queued < q.shortest {
		q.shortest = s.Queued
	}
	q.calls++
	q.queued += float64(s.Queued)
	q.limit += float64(s.Limit)
	q.inFlight += float64(s.InFlight)
	if s.InFlight+1 >= s.Limit {
		q.full++
	}
}

// NewGate returns a Gate that admits everything.
func NewGate(cfg GateConfig) *Gate { return &Gate{cfg: cfg} }

// Admit counts an arrival and reports whether the node takes it. bar is the level
// by which the request was let in where it entered.
func (g *Gate) Admit(now time.Time, priority, bar uint16) bool {
	g.roll(now)
	g.seen.arrived[Importance(priority)]++
	for i := range g.seen.open {
		g.seen.open[i] += openShare(float64(bar), i)
	}
	return float64(priority) >= g.admit
}

// Observe counts a call that left the queue.
func (g *Gate) Observe(now time.Time, s Sample) {
	g.roll(now)
	g.seen.queue.add(s)
	if s.Event == Shed {
		g.seen.shed++
		return
	}
	g.seen.served++
}

// Level is what callers' nodes are told; zero admits everything.
func (g *Gate) Level(now time.Time) uint16 {
	g.roll(now)
	return toLevel(g.published)
}

// Own is the level that the node itself applies; never above Level. When it
// rises the node also sheds what waits below it.
func (g *Gate) Own(now time.Time) uint16 {
	g.roll(now)
	return toLevel(g.admit)
}

// RetryAfter is when a refused caller should come back. The source of random
// numbers spreads them out.
func (g *Gate) RetryAfter(now time.Time, rng *rand.Rand) time.Duration {
	g.roll(now)
	return g.recovery.retryAfter(now, g.cfg.RetryMin, g.cfg.RetryMax, rng)
}

func toLevel(v float64) uint16 { return uint16(min(math.Ceil(v), math.MaxUint16)) }

// roll sets the level at the end of an interval.
func (g *Gate) roll(now time.Time) {
	if g.start.IsZero() {
		g.start = now
	}
	if !now.After(g.last) {
		// One level at one time.
		return
	}
	g.last = now
	span := now.Sub(g.start)
	if span < g.cfg.Interval {
		return
	}
	if g.seen.served < g.cfg.Calls && span < time.Duration(g.cfg.Stretch)*g.cfg.Interval {
		return
	}
	part := float64(span) / float64(g.cfg.Interval)
	g.learn(part)
	g.set(part)
	g.recovery.follow(now, g.published > 0)
	g.start = now
	g.seen = counts{}
}

// learn estimates what arrives of each importance, let in or not. What comes now was
// let in by the levels of a while ago, since a request works at other services
// before it calls here: taken for those of now, arrivals would look many after a
// level rose and few after it fell, and it would swing between all and nothing.
func (g *Gate) learn(part float64) {
	all := 0.0
	for _, n := range g.seen.arrived {
		all += n
	}
	for i := range g.arrivals {
		share := g.seen.open[i] / max(all, 1) // none arrived: nothing is known
		g.arrivals[i].learn(&g.cfg, part, share, g.seen.arrived[i])
	}
}

// openShare is the share of an importance's hashes above a level.
func openShare(level float64, imp int) float64 {
	low := float64(imp * band)
	return min(max((low+band-level)/band, 0), 1)
}

// set moves the level so that what is admitted is what is served, plus or
// minus what brings the queue to its target.
func (g *Gate) set(part float64) {
	served := g.seen.served / part
	q := &g.seen.queue
	full := q.full > q.calls/2 || g.seen.shed > 0
	g.measure(served, full)
	if !full {
		g.lower(g.headroom(served))
		return
	}
	queued := q.queued / max(q.calls, 1)
	wanted := g.cfg.Queue * math.Sqrt(q.limit/max(q.calls, 1))
	target := g.capacity + (wanted-queued)/g.cfg.Settle
	target = max(target, g.capacity/2)
	if queued > wanted && q.shortest > 0 {
		g.raise(target)
		return
	}
	g.lower(target)
}

func (g *Gate) measure(served float64, full bool) {
	const gain = 0.3
	switch {
	case served > g.capacity && (!full || g.capacity == 0):
		g.capacity = served
	case full:
		g.capacity += gain * (served - g.capacity)
	}
}

// headroom is what may be admitted while the limit is not in use: as much more
// as there are places free, by at most Probe at a time, or what was served
// before if that was more.
func (g *Gate) headroom(served float64) float64 {
	free := g.seen.queue.limit / max(g.seen.queue.inFlight, 1)
	return max(g.capacity, served*min(free, g.cfg.Probe))
}

// raise sets the level while more wait than should. It may fall as well as rise: each
// interval's estimate has its chance, and a level that kept the highest of the second
// that a queue takes to shrink would refuse the most important requests, empty the
// queue and leave slots idle.
func (g *Gate) raise(target float64) {
	g.published = stepDown(g.published, g.levelFor(target))
	g.setOwn(target)
}

func (g *Gate) lower(target float64) {
	g.published = min(g.published, stepDown(g.published, g.levelFor(target)))
	g.setOwn(target)
}

func (g *Gate) setOwn(target float64) {
	own := g.levelFor(target * (1 + g.cfg.Surplus))
	g.admit = min(g.published, stepDown(g.admit, own))
}

// stepDown lowers a level, at most to the lower end of its importance: the next
// one is admitted only once nothing of this one has been refused for a whole
// interval. Without it a level that falls through several importances at once
// admits the least of them a moment after it refused the most important.
func stepDown(from, to float64) float64 {
	end := math.Floor((from-1)/band) * band
	return max(to, end, 0)
}

// levelFor is the level above which arrives the given number of calls per
// interval.
func (g *Gate) levelFor(target float64) float64 {
	for i := importance.Count - 1; i >= 0; i-- {
		rate := g.arrivals[i].rate()
		if rate > target {
			return float64(i*band) + (1-target/rate)*band
		}
		target -= rate
	}
	return 0
}

// GateState is the state dump of a Gate.
type GateState struct {
	Level    uint16                    `json:"level"`
	Own      uint16                    `json:"own_level"`
	Capacity float64                   `json:"served_per_interval"`
	Arrivals [importance.Count]float64 `json:"arrivals_per_interval"`
	Recovery string                    `json:"mean_recovery"`
}

// Dump returns the state for people.
func (g *Gate) Dump() GateState {
	s := GateState{
		Level:    toLevel(g.published),
		Own:      toLevel(g.admit),
		Capacity: g.capacity,
		Recovery: g.recovery.mean.String(),
	}
	for i := range g.arrivals {
		s.Arrivals[i] = g.arrivals[i].rate()
	}
	return s
}
