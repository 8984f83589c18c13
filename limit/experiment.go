package limit

import (
	"math"
	"time"
)

type phase uint8

const (
	steady phase = iota
	// settling waits for the calls that began under the old limit.
	settling
	// measuring sees the effect of an experiment.
	measuring
)

// reference is what an experiment is judged against.
type reference struct {
	measure
	limit float64
	// refusals says that the cut was made because of refusals.
	refusals bool
	// next is the phase after settling.
	next phase
}

// experiment decreases the limit by so much that the latency must show it if
// calls queue.
func (l *Limiter) experiment(now time.Time, m measure) {
	l.ref = reference{measure: m, limit: l.limit}
	l.set(min(l.limit, m.inFlight) * l.cfg.CutTo)
	l.growth.streak = 0
	l.settleInto(now, measuring)
}

// settleInto waits until the surplus has left and the calls that began beside
// it have ended.
func (l *Limiter) settleInto(now time.Time, next phase) {
	l.phase = settling
	l.ref.next = next
	l.settled = now.Add(l.latency)
}

func (l *Limiter) settle(now time.Time) {
	if l.inFlight > l.Limit() {
		l.settled = now.Add(l.latency)
	}
	if now.Before(l.settled) {
		return
	}
	l.phase = l.ref.next
	l.restart(now)
}

// judge compares the measurement after an experiment with the one before. What
// counts is the elasticity, the share of the decrease that the latency followed.
// None: no call queued before, and latency above the floor means that the
// backend server is slower. Without this, each further cut would be answered by
// the same latency until the limit is at its least. All: calls still queue.
// Between: the queue has just gone. The floor itself may be wrong and is not
// asked; unless calls still queue it is set to what was measured.
func (l *Limiter) judge(now time.Time, m measure) {
	if l.ref.refusals {
		l.judgeRefusals(now, m)
		return
	}
	m.ratio = m.ended
	surprise := math.Abs(m.ratio-1) > l.slack(m)
	l.schedule(now, surprise)
	fell, elasticity, ok := l.elasticity(m)
	switch {
	case !ok:
		l.set(l.ref.limit)
		return
	case elasticity >= l.cfg.Queued:
		l.experiment(now, m)
		return
	case elasticity >= l.cfg.Unqueued:
		slots := l.ref.waiting + l.ref.own()*math.Exp(-fell)
		l.set(min(l.ref.limit, slots+l.room(slots)))
	default:
		l.set(l.ref.limit)
	}
	if !surprise {
		m.ratio = 1
	}
	l.floors.adopt(m.ratio)
	l.ratio = 1
}

// elasticity compares how much the latency fell with how much it would have if
// calls had queued, both as logarithms. It goes by Little's law on both sides:
// calls that ended tell how many were in flight when they began, and while that
// grows they make every cut look as if it did nothing. It is false if the calls
// in flight hardly changed.
func (l *Limiter) elasticity(m measure) (fell, share float64, ok bool) {
	const least = 0.15
	fell = math.Log(l.ref.little / m.little)
	expected := math.Log(l.ref.own() / m.own())
	return fell, fell / expected, expected >= least
}

// schedule sets the next experiment: soon if this one found the floor wrong.
func (l *Limiter) schedule(now time.Time, surprise bool) {
	l.check.at = now
	l.check.limit = 0
	l.check.after = min(2*l.check.after, l.cfg.RecheckMax)
	if surprise {
		l.check.after = l.cfg.RecheckAfter
	}
}
