// Package limit finds out how many calls a backend server can work on at once.
//
// Every call to the backend server goes through one node, so the number in
// flight is known exactly. By Little's law the number in flight divided by
// (rate x latency without queueing) is the factor by which queueing inside the
// backend server lengthens calls: one as long as slots are free, and growing in
// proportion to the calls in flight beyond that. The limit follows the number
// that is being worked on plus a little headroom, and only while it is in use.
//
// The latency without queueing, the floor, is kept for each class of calls. It
// is not known for certain: a backend server that became three times slower
// looks like one with three calls in flight for each slot. The two differ in
// what a decrease does. A shorter queue shortens the latency in proportion; a
// slower backend server stays as it is. So every larger decrease is an
// experiment: if the latency did not follow, the floor is raised to what was
// measured and the limit is restored. The same experiment, made now and then
// while the limit is in use, finds a queue that stood from the start. Refused
// calls are judged in the same way.
package limit

import (
	"math"
	"time"
)

// Outcome of a call, as far as it says something about load.
type Outcome uint8

// The outcomes.
const (
	// Success: the backend server answered, whatever the answer.
	Success Outcome = iota
	// Overload: the backend server refused the call or it timed out.
	Overload
	// Ignore: the call says nothing, for example because it was cancelled.
	Ignore
)

// Sample is one finished call.
type Sample struct {
	// Latency from handing the call over to its end.
	Latency time.Duration
	// Downstream is the part of Latency in which the call waited for calls
	// of its own; see Limiter.Waiting. Zero if that is not tracked.
	Downstream time.Duration
	// InFlight is what Begin returned for this call.
	InFlight int
	Outcome  Outcome
	// Class tells calls of different cost apart, for example by a hash of
	// the operation's name.
	Class uint32
}

type phase uint8

const (
	steady phase = iota
	// settling waits for the calls that began under the old limit.
	settling
	// testing measures the effect of a decrease.
	testing
)

// reference is what a decrease is judged against.
type reference struct {
	set     bool
	limit   float64
	ratio   float64
	refused float64
}

// Limiter is the adaptive limit of one backend server. It is not safe for
// concurrent use.
type Limiter struct {
	cfg      Config
	limit    float64
	inFlight int
	waiting  int
	last     time.Time
	win      window
	floors   floors
	phase    phase
	settled  time.Time
	ref      reference
	starting bool
	ratio    float64
	latency  time.Duration
	checked  time.Time
	hold     time.Duration
	holdTill time.Time
	deafTill time.Time
}

// New returns a Limiter at its initial limit.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:      cfg,
		limit:    float64(cfg.Initial),
		floors:   newFloors(cfg),
		starting: true,
		ratio:    1,
		hold:     cfg.HoldMin,
	}
}

// Limit is the number of calls that may be in flight; at least one.
func (l *Limiter) Limit() int { return max(l.cfg.Min, 1, int(l.limit+0.5)) }

// InFlight is the number of calls begun and not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// Free reports whether another call may begin.
func (l *Limiter) Free() bool { return l.inFlight < l.Limit() }

// Expect returns the latency that a call of the class has at least, as far as
// known, without the calls that it makes; zero if unknown.
func (l *Limiter) Expect(class uint32) time.Duration {
	return time.Duration(float64(l.floors.expect(class)) * max(l.ratio, 1))
}

// Begin notes that a call is handed over, and returns the number in flight
// with it, for Sample.InFlight.
func (l *Limiter) Begin(now time.Time) int {
	l.advance(now)
	l.inFlight++
	l.roll(now)
	return l.inFlight
}

// Waiting notes that change more calls in flight wait for calls of their own
// (less, if negative). It is optional: with it a slow service further down is
// not taken for queueing here.
func (l *Limiter) Waiting(now time.Time, change int) {
	l.advance(now)
	l.waiting = max(0, l.waiting+change)
}

// End notes that a call has ended.
func (l *Limiter) End(now time.Time, s Sample) {
	l.advance(now)
	l.inFlight = max(0, l.inFlight-1)
	l.account(s)
	l.roll(now)
}

func (l *Limiter) account(s Sample) {
	own := max(0, s.Latency-s.Downstream).Seconds()
	if s.Outcome == Success {
		fl := l.floors.get(s.Class, own, l.ratio)
		if l.phase == steady && float64(s.InFlight) <= l.cfg.LowUse*l.limit {
			l.floors.learn(fl, own)
		}
		l.win.credit += fl.seconds
		l.win.useful += s.Latency.Seconds()
		l.win.finished++
		return
	}
	// A call that was cut short used a slot only for as long as it lasted.
	known := l.floors.expect(s.Class).Seconds()
	l.win.credit += min(own, known)
	if s.Outcome == Overload {
		l.win.finished++
		l.win.refused++
	}
}

// advance adds the time since the last event to the window.
func (l *Limiter) advance(now time.Time) {
	if l.last.IsZero() {
		l.last = now
		l.win.start = now
		l.checked = now
	}
	dt := now.Sub(l.last).Seconds()
	if dt <= 0 {
		return
	}
	l.last = now
	l.win.total += dt * float64(l.inFlight)
	l.win.own += dt * float64(max(0, l.inFlight-l.waiting))
	if l.inFlight >= l.Limit() {
		l.win.full += dt
	}
}

// roll ends the window once it is long enough.
func (l *Limiter) roll(now time.Time) {
	if l.phase == settling {
		l.settle(now)
		return
	}
	span := now.Sub(l.win.start)
	if span < l.cfg.Window || span < l.windowLatencies() {
		return
	}
	if l.win.finished < l.cfg.WindowCalls && span < l.cfg.WindowMax {
		return
	}
	m, ok := l.win.measure(now)
	if !ok {
		// No call ended: nothing is known, and fewer calls in flight
		// would not free the backend server.
		return
	}
	l.restart(now)
	l.latency = m.latency
	l.decide(now, m)
}

func (l *Limiter) windowLatencies() time.Duration {
	d := time.Duration(l.cfg.WindowLatencies * float64(l.latency))
	return min(d, l.cfg.WindowMax)
}

func (l *Limiter) restart(now time.Time) {
	l.win = window{start: now}
}

// settle ends the wait after a decrease: the surplus has left and the calls
// that began beside it have ended.
func (l *Limiter) settle(now time.Time) {
	if l.inFlight > l.Limit() {
		l.settled = now.Add(l.latency)
	}
	if now.Before(l.settled) {
		return
	}
	l.phase = testing
	l.restart(now)
}

func (l *Limiter) decide(now time.Time, m measure) {
	if l.phase == testing {
		l.phase = steady
		l.judge(now, m)
		return
	}
	if !m.inUse {
		l.ratio = 1
		l.ref = reference{}
		l.checked = now
		l.refusals(now, m)
		return
	}
	l.ratio = m.ratio
	if l.refusals(now, m) {
		return
	}
	switch {
	case m.ratio > l.cfg.CutAbove:
		l.starting = false
		l.cut(now, m, l.target(m))
	case now.Sub(l.checked) >= l.cfg.RecheckAfter:
		l.cut(now, m, m.slots()*l.cfg.JudgeBelow)
	default:
		l.adjust(now, m)
	}
}

// target is the limit that the measured concurrency asks for.
func (l *Limiter) target(m measure) float64 {
	slots := m.slots()
	room := max(1, l.cfg.Headroom*math.Sqrt(slots))
	return slots + room
}

// adjust follows the measurement in small steps.
func (l *Limiter) adjust(now time.Time, m measure) {
	if m.ratio < 1 {
		l.lowerFloor(m.ratio)
	}
	want := l.target(m)
	if l.starting && m.ratio < 1.2 {
		want = max(want, l.limit*l.cfg.StartGrowth)
	} else {
		l.starting = false
	}
	if want > l.limit && now.Before(l.holdTill) {
		return
	}
	if want < l.limit && !l.ref.set {
		l.ref = reference{set: true, limit: l.limit, ratio: m.ratio}
	}
	l.set(want)
	if !l.ref.set {
		return
	}
	if l.limit >= l.ref.limit {
		l.ref = reference{}
		return
	}
	if l.limit < l.ref.limit*l.cfg.JudgeBelow {
		l.begin(now)
	}
}

// lowerFloor follows calls that became faster: at once if by much, slowly if
// it may be noise, which would otherwise ratchet the floor down.
func (l *Limiter) lowerFloor(ratio float64) {
	const certain, gain = 0.8, 0.1
	if ratio < certain {
		l.floors.scale(ratio)
		return
	}
	l.floors.scale(1 - gain*(1-ratio))
}

// cut decreases the limit and starts to observe what that does.
func (l *Limiter) cut(now time.Time, m measure, to float64) {
	l.ref = reference{set: true, limit: l.limit, ratio: m.ratio, refused: m.refused}
	l.set(max(to, l.limit*l.cfg.CutTo))
	l.begin(now)
}

func (l *Limiter) begin(now time.Time) {
	l.phase = settling
	l.settled = now.Add(l.latency)
}

// judge compares the measurement after a decrease with the one before.
func (l *Limiter) judge(now time.Time, m measure) {
	ref := l.ref
	l.ref = reference{}
	l.checked = now
	if ref.refused > l.cfg.ShedShare {
		l.judgeRefusals(now, m, ref)
		return
	}
	l.ratio = m.ratio
	if !l.followed(m, ref) {
		// The latency did not follow: the backend server is slower, not
		// queueing. Without this, each further cut would be answered by
		// the same latency until the limit is at its least.
		l.floors.scale(m.ratio)
		l.ratio = 1
		l.set(ref.limit)
		return
	}
	if m.ratio < 1 {
		l.floors.scale(m.ratio)
		l.cut(now, measure{ratio: 1}, l.limit*l.cfg.JudgeBelow)
		return
	}
	if m.ratio > l.cfg.CutAbove {
		l.cut(now, m, l.target(m))
		return
	}
	l.set(l.target(m))
}

// followed reports whether the latency fell with the calls in flight.
func (l *Limiter) followed(m measure, ref reference) bool {
	fell := math.Log(ref.ratio / m.ratio)
	expected := math.Log(ref.limit / max(l.limit, 1))
	return fell >= l.cfg.Elasticity*expected
}

// refusals reacts to calls that the backend server refused, and reports
// whether it did.
func (l *Limiter) refusals(now time.Time, m measure) bool {
	if m.refused <= l.cfg.ShedShare || now.Before(l.deafTill) {
		return false
	}
	l.starting = false
	l.hold = min(2*l.hold, l.cfg.HoldMax)
	l.holdTill = now.Add(l.hold)
	l.cut(now, m, m.succeeding)
	return true
}

// judgeRefusals tells a backend server that is full from one that refuses
// whatever the number in flight: the latter must not close the limit.
func (l *Limiter) judgeRefusals(now time.Time, m measure, ref reference) {
	if m.refused <= ref.refused/2 {
		return
	}
	if l.limit <= float64(l.cfg.Min) || ref.limit-l.limit >= 1 {
		l.deafTill = now.Add(l.cfg.RecheckAfter)
		l.set(ref.limit)
	}
}

func (l *Limiter) set(to float64) {
	least := float64(max(l.cfg.Min, 1))
	l.limit = min(max(to, least), float64(l.cfg.Max))
}

// State is the state dump of a Limiter.
type State struct {
	Limit    int     `json:"limit"`
	InFlight int     `json:"in_flight"`
	Waiting  int     `json:"waiting"`
	Ratio    float64 `json:"latency_ratio"`
	Latency  string  `json:"latency"`
	Classes  int     `json:"classes"`
	Testing  bool    `json:"testing"`
}

// Dump returns the state for people.
func (l *Limiter) Dump() State {
	return State{
		Limit:    l.Limit(),
		InFlight: l.inFlight,
		Waiting:  l.waiting,
		Ratio:    l.ratio,
		Latency:  l.latency.String(),
		Classes:  len(l.floors.of),
		Testing:  l.phase != steady,
	}
}
