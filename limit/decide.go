package limit

import (
	"math"
	"time"
)

// startStreak lets a new limit grow at full speed.
const startStreak = 10

// growth is the state of the search for more slots.
type growth struct {
	// streak counts the windows in which growth met no queue.
	streak float64
	// used is when the limit was in use last.
	used time.Time
}

// check is the state of the recurring experiments.
type check struct {
	at    time.Time
	after time.Duration
	// limit is the highest since the last one.
	limit float64
}

// decide draws the conclusion from a window.
func (l *Limiter) decide(now time.Time, m measure) {
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
	l.rest(now, m)
	slack := l.slack(m)
	switch {
	case m.inUse && l.due(now):
		l.experiment(now, m)
	case m.ratio > 1+slack && (m.inUse || l.standing(m, slack)):
		l.queueing(now, m)
	case m.ended < 1-slack:
		// Calls became faster, which no queue explains.
		l.floors.scale(m.ended)
		l.ratio = 1
	case !m.inUse:
		// Nothing asks for a higher limit.
		l.floors.balance(m.ended)
	default:
		l.floors.balance(m.ended)
		l.grow(now)
	}
}

// rest notes for how long the limit has not been in use. Then it has long been
// high enough, and growing at full speed would overshoot a sudden surge by far
// before the latency shows it.
func (l *Limiter) rest(now time.Time, m measure) {
	if m.inUse {
		l.growth.used = now
		return
	}
	l.check.at = now
	l.check.limit = 0
	if now.Sub(l.growth.used) > l.cfg.RecheckAfter {
		l.growth.streak = 0
	}
}

// due reports whether it is time for an experiment: after a while, or when
// small decreases have added up. They rely on the floor, and one that is too
// low would close the limit step by step.
func (l *Limiter) due(now time.Time) bool {
	l.check.limit = max(l.check.limit, l.limit)
	return now.Sub(l.check.at) >= l.check.after || l.limit < l.check.limit*l.cfg.CutTo
}

// standing reports whether calls queue although the limit is not in use, as
// when the callers themselves are limited to less. With few calls in flight it
// is the floor that is wrong, which the calls themselves correct.
func (l *Limiter) standing(m measure, slack float64) bool {
	const nearlyInUse = 0.8
	return l.ratio > 1+slack && m.inFlight > nearlyInUse*l.limit
}

// queueing reacts to latency above the floor: a little is trimmed off, and much
// is either a queue that must go or a floor that has shifted.
func (l *Limiter) queueing(now time.Time, m measure) {
	l.growth.streak = 0
	l.ratio = m.ratio
	if m.ratio > l.cfg.Jump {
		l.experiment(now, m)
		return
	}
	l.set(min(l.limit, l.target(m)))
	l.ratio = 1
	l.settleInto(now, steady)
}

// slack is by how much a ratio may differ from one and mean nothing.
func (l *Limiter) slack(m measure) float64 {
	return l.cfg.Tolerance + l.cfg.Noise/math.Sqrt(max(m.calls, 1))
}

// target is the limit that the measured concurrency asks for.
func (l *Limiter) target(m measure) float64 {
	return m.slots() + l.room(m.slots())
}

func (l *Limiter) room(slots float64) float64 {
	return max(1, l.cfg.Headroom*math.Sqrt(slots))
}

// grow looks for more slots: in steps that double while the latency shows
// nothing, and that shrink the more it shows.
func (l *Limiter) grow(now time.Time) {
	if l.refusal.holds(now) {
		return
	}
	if l.refusal.recent(l.cfg) {
		l.set(l.limit + 1)
		return
	}
	felt := min(max((l.ratio-1)/l.cfg.Tolerance, 0), 1)
	step := l.room(l.limit) * math.Exp2(l.growth.streak) * (1 - felt)
	l.set(l.limit + min(step, l.limit*(l.cfg.MaxGrowth-1)))
	l.growth.streak++
	if felt > 0.5 {
		l.growth.streak = 0
	}
}

func (l *Limiter) set(to float64) {
	least := float64(max(l.cfg.Min, 1))
	l.limit = min(max(to, least), float64(l.cfg.Max))
}
