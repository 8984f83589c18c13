package limit

import (
	"math"
	"time"
)

// startStreak is the initial growth streak, with which a new limit grows at full speed.
const startStreak = 10

// growth is the state of the search for more slots.
type growth struct {
	// streak counts successive windows in which growth caused no queueing.
	streak float64
	// lastInUse is when the limit was last in use.
	lastInUse time.Time
}

// experiments holds the schedule of the recurring experiments.
type experiments struct {
	// lastAt is when the last experiment was judged, or when the limit was last not in
	// use. The next one is due after interval.
	lastAt   time.Time
	interval time.Duration
	// limit is the highest limit since lastAt.
	limit float64
}

// decide updates the limit by the measurement of a window.
func (l *Limiter) decide(now time.Time, m measurement) {
	if l.phase == measuring {
		l.phase = steady
		l.judge(now, m)
		return
	}
	if l.refused(now, m) {
		return
	}
	const smoothing = 0.5
	l.ratio += smoothing * (m.ratio - l.ratio)
	l.trackUse(now, m)
	slack := l.slack(m)
	switch {
	case m.inUse && l.experimentDue(now):
		l.experiment(now, m)
	case m.ratio > 1+slack && (m.inUse || l.queuesBelowLimit(m, slack)):
		l.handleQueueing(now, m)
	case m.ended < 1-slack:
		// Calls became faster, so the floor is too high.
		l.floors.scale(m.ended)
		l.ratio = 1
	case !m.inUse:
		// There is no demand for a higher limit.
		l.floors.balance(m.ended)
	default:
		l.floors.balance(m.ended)
		l.grow(now)
	}
}

// trackUse records whether the limit is in use. After a long time without use it resets
// the growth streak: at full speed the limit would far exceed the slots in a sudden
// surge before the latency shows it.
func (l *Limiter) trackUse(now time.Time, m measurement) {
	if m.inUse {
		l.growth.lastInUse = now
		return
	}
	l.experiments.lastAt = now
	l.experiments.limit = 0
	if now.Sub(l.growth.lastInUse) > l.cfg.RecheckAfter {
		l.growth.streak = 0
	}
}

// experimentDue reports whether it is time for an experiment: after an interval, or
// when small reductions have added up. Those rely on the floor, and a floor that is too
// low would close the limit step by step.
func (l *Limiter) experimentDue(now time.Time) bool {
	l.experiments.limit = max(l.experiments.limit, l.limit)
	return now.Sub(l.experiments.lastAt) >= l.experiments.interval || l.limit < l.experiments.limit*l.cfg.ExperimentShare
}

// queuesBelowLimit reports whether calls queue although the limit is not in use, for
// example because the callers limit themselves. With few calls in flight the floor is
// wrong instead, and is corrected by the latencies of those calls.
func (l *Limiter) queuesBelowLimit(m measurement, slack float64) bool {
	const nearlyInUse = 0.8
	return l.ratio > 1+slack && m.inFlight > nearlyInUse*l.limit
}

// handleQueueing handles latency above the floor. It reduces the limit for a small
// excess. A large excess means either a queue or a new floor, which an experiment
// decides.
func (l *Limiter) handleQueueing(now time.Time, m measurement) {
	l.growth.streak = 0
	l.ratio = m.ratio
	if m.ratio > l.cfg.ExperimentRatio {
		l.experiment(now, m)
		return
	}
	l.setLimit(min(l.limit, l.target(m)))
	l.ratio = 1
	l.settleThen(now, steady)
}

// slack is the difference of a ratio from one that is within tolerance and noise.
func (l *Limiter) slack(m measurement) float64 {
	return l.cfg.Tolerance + l.cfg.Noise/math.Sqrt(max(m.calls, 1))
}

// target returns the limit for the measured concurrency.
func (l *Limiter) target(m measurement) float64 {
	return m.slots() + l.headroom(m.slots())
}

// headroom returns how far the limit should stand above the given number of slots.
func (l *Limiter) headroom(slots float64) float64 {
	return max(1, l.cfg.Headroom*math.Sqrt(slots))
}

// grow searches for more slots. Its steps double while the latency stays at the floor,
// and shrink as the latency rises.
func (l *Limiter) grow(now time.Time) {
	if l.refusal.holds(now) {
		return
	}
	if l.refusal.recent(l.cfg) {
		l.setLimit(l.limit + 1)
		return
	}
	excess := min(max((l.ratio-1)/l.cfg.Tolerance, 0), 1)
	step := l.headroom(l.limit) * math.Exp2(l.growth.streak) * (1 - excess)
	l.setLimit(l.limit + min(step, l.limit*(l.cfg.MaxGrowth-1)))
	l.growth.streak++
	if excess > 0.5 {
		l.growth.streak = 0
	}
}

// setLimit sets the limit within its bounds.
func (l *Limiter) setLimit(to float64) {
	minLimit := float64(max(l.cfg.Min, 1))
	l.limit = min(max(to, minLimit), float64(l.cfg.Max))
}
