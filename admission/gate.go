package admission

import (
	"math"
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
	// Wait is how long the call had waited.
	Wait time.Duration
	// Full says that another call waits or every place of the limit is
	// taken.
	Full bool
}

// Gate sets the level of one node. Within an importance the hash is uniform, so
// the arrivals above a level are known from four rates, and the level that
// admits a given rate is found in one step instead of by trial. It is not safe
// for concurrent use.
type Gate struct {
	cfg   GateConfig
	start time.Time
	seen  counts
	// arrivals are calls per interval and importance, above the level and
	// below it.
	arrivals  [importance.Count]float64
	capacity  float64
	admit     float64
	published float64
	calm      bool
}

type counts struct {
	open, closed [importance.Count]float64
	served, shed float64
	full         float64
	wait         time.Duration
}

// NewGate returns a Gate that admits everything.
func NewGate(cfg GateConfig) *Gate { return &Gate{cfg: cfg, calm: true} }

// Admit counts an arrival and reports whether the node takes it.
func (g *Gate) Admit(now time.Time, priority uint16) bool {
	g.roll(now)
	imp := Importance(priority)
	if float64(priority) >= g.published {
		g.seen.open[imp]++
		return true
	}
	g.seen.closed[imp]++
	return float64(priority) >= g.admit
}

// Observe counts a call that left the queue.
func (g *Gate) Observe(now time.Time, s Sample) {
	g.roll(now)
	if s.Event == Shed {
		g.seen.shed++
		return
	}
	g.seen.served++
	g.seen.wait += s.Wait
	if s.Full {
		g.seen.full++
	}
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

func toLevel(v float64) uint16 { return uint16(min(math.Ceil(v), math.MaxUint16)) }

// roll sets the level at the end of an interval.
func (g *Gate) roll(now time.Time) {
	if g.start.IsZero() {
		g.start = now
	}
	span := now.Sub(g.start)
	if span < g.cfg.Interval {
		return
	}
	part := float64(span) / float64(g.cfg.Interval)
	g.learn(part)
	g.set(part)
	g.start = now
	g.seen = counts{}
}

// learn estimates the arrivals per interval of each importance.
func (g *Gate) learn(part float64) {
	forget := math.Pow(0.5, part*float64(g.cfg.Interval)/float64(g.cfg.Memory))
	for i := range g.arrivals {
		open := openShare(g.published, i)
		all := (g.seen.open[i] + g.seen.closed[i]) / part
		if open == 0 {
			g.arrivals[i] = max(all, g.arrivals[i]*forget)
			continue
		}
		g.arrivals[i] = max(all, g.seen.open[i]/part/open)
	}
}

// openShare is the share of an importance's hashes above a level.
func openShare(level float64, imp int) float64 {
	low := float64(imp * band)
	return min(max((low+band-level)/band, 0), 1)
}

func (g *Gate) set(part float64) {
	served := g.seen.served / part
	shed := g.seen.shed / part
	wait := time.Duration(0)
	if g.seen.served > 0 {
		wait = g.seen.wait / time.Duration(g.seen.served)
	}
	full := g.seen.full > g.seen.served/2
	if full || shed > 0 {
		g.capacity = served
	}
	overloaded := wait > g.cfg.TargetWait || shed > g.cfg.ShedShare*(served+shed)
	g.calm = !overloaded
	switch {
	case overloaded:
		g.raise(served)
	case g.published > 0:
		g.lower(served)
	}
}

func (g *Gate) raise(served float64) {
	to := g.levelFor(served * (1 - g.cfg.Reserve))
	g.published = max(g.published, to)
	g.admit = min(g.published, g.levelFor(served*(1+g.cfg.Surplus)))
}

// lower opens up. It stops at the lower end of an importance, so that the next
// one is only admitted once nothing of this one has been refused for a whole
// interval.
func (g *Gate) lower(served float64) {
	target := max(served, g.capacity) * (1 + g.cfg.Probe)
	to := g.levelFor(target)
	floor := math.Floor((g.published-1)/band) * band
	g.published = min(g.published, max(to, floor, 0))
	g.admit = min(g.admit, g.published)
}

// levelFor is the level above which arrives the given number of calls per
// interval.
func (g *Gate) levelFor(target float64) float64 {
	for i := importance.Count - 1; i >= 0; i-- {
		if g.arrivals[i] > target {
			share := target / g.arrivals[i]
			return float64(i*band) + (1-share)*band
		}
		target -= g.arrivals[i]
	}
	return 0
}

// GateState is the state dump of a Gate.
type GateState struct {
	Level    uint16                    `json:"level"`
	Own      uint16                    `json:"own_level"`
	Capacity float64                   `json:"served_per_interval"`
	Arrivals [importance.Count]float64 `json:"arrivals_per_interval"`
}

// Dump returns the state for people.
func (g *Gate) Dump() GateState {
	return GateState{
		Level:    toLevel(g.published),
		Own:      toLevel(g.admit),
		Capacity: g.capacity,
		Arrivals: g.arrivals,
	}
}
