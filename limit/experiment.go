package limit

import (
	"math"
	"time"
)

// phase is the state of an experiment.
type phase uint8

const (
	steady phase = iota
	// settling waits until the calls that began under the old limit have ended.
	settling
	// measuring measures the effect of an experiment.
	measuring
)

// reference is the state before an experiment, which its result is compared with.
type reference struct {
	measurement
	limit float64
	// refusals is set if the limit was cut because of refusals.
	refusals bool
	// next is the phase after settling.
	next phase
}

// experiment cuts the limit by so much that the latency must fall if calls queue.
func (l *Limiter) experiment(now time.Time, m measurement) {
	l.ref = reference{measurement: m, limit: l.limit}
	l.setLimit(min(l.limit, m.inFlight) * l.cfg.ExperimentShare)
	l.growth.streak = 0
	l.settleThen(now, measuring)
}

// settleThen waits until the calls in flight are within the limit and those that began
// before have ended, and then starts the next phase.
func (l *Limiter) settleThen(now time.Time, next phase) {
	l.phase = settling
	l.ref.next = next
	l.settledAt = now.Add(l.latency)
}

// settle ends the phase settling when it is over.
func (l *Limiter) settle(now time.Time) {
	if l.inFlight > l.Limit() {
		l.settledAt = now.Add(l.latency)
	}
	if now.Before(l.settledAt) {
		return
	}
	l.phase = l.ref.next
	l.startWindow(now)
}

// judge compares the measurement after an experiment with the one before by the
// elasticity, the share of the cut by which the latency fell. A low elasticity means
// that no call queued before, so latency above the floor means a slower backend server;
// further cuts would only close the limit. A high elasticity means that calls still
// queue. Between them the queue has just drained. The floor may be wrong and is not
// used here. Unless calls still queue, it is set to the measured latency.
func (l *Limiter) judge(now time.Time, m measurement) {
	if l.ref.refusals {
		l.judgeRefusals(now, m)
		return
	}
	m.ratio = m.ended
	floorWrong := math.Abs(m.ratio-1) > l.slack(m)
	l.schedule(now, floorWrong)
	fell, elasticity, ok := l.elasticity(m)
	switch {
	case !ok:
		l.setLimit(l.ref.limit)
		return
	case elasticity >= l.cfg.QueuedElasticity:
		l.experiment(now, m)
		return
	case elasticity >= l.cfg.UnqueuedElasticity:
		slots := l.ref.waiting + l.ref.own()*math.Exp(-fell)
		l.setLimit(min(l.ref.limit, slots+l.headroom(slots)))
	default:
		l.setLimit(l.ref.limit)
	}
	if !floorWrong {
		m.ratio = 1
	}
	l.floors.adopt(m.ratio)
	l.ratio = 1
}

// elasticity returns the logarithm by which the latency fell, and its share of the fall
// expected if calls had queued. Both follow from Little's law and not from the
// latencies of ended calls: those depend on the calls in flight when they began, so
// while load grows every cut would seem to have no effect. ok is false if the number of
// calls in flight hardly changed.
func (l *Limiter) elasticity(m measurement) (fell, share float64, ok bool) {
	const minExpected = 0.15
	fell = math.Log(l.ref.little / m.little)
	expected := math.Log(l.ref.own() / m.own())
	return fell, fell / expected, expected >= minExpected
}

// schedule sets the time of the next experiment: soon if this one found the floor
// wrong.
func (l *Limiter) schedule(now time.Time, floorWrong bool) {
	l.experiments.lastAt = now
	l.experiments.limit = 0
	l.experiments.interval = min(2*l.experiments.interval, l.cfg.RecheckMax)
	if floorWrong {
		l.experiments.interval = l.cfg.RecheckAfter
	}
}
