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

// startStreak lets a new limit grow at full speed.
const startStreak = 10

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
	measure
	limit   float64
	recheck bool
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
	streak   float64
	ratio    float64
	latency  time.Duration
	checked  time.Time
	recheck  time.Duration
	hold     time.Duration
	holdTill time.Time
	deafTill time.Time
}

// New returns a Limiter at its initial limit.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:     cfg,
		limit:   float64(cfg.Initial),
		floors:  newFloors(cfg),
		streak:  startStreak,
		ratio:   1,
		hold:    cfg.HoldMin,
		recheck: cfg.RecheckAfter,
	}
}

// Limit is the number of calls that may be in flight; at least one.
func (l *Limiter) Limit() int { return max(l.cfg.Min, 1, int(l.limit+0.5)) }

// InFlight is the number of calls begun and not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// Free reports whether another call may begin.
func (l *Limiter) Free() bool { return l.inFlight < l.Limit() }

// Expect returns how long a call of the class takes at the backend server at
// present, without the calls that it makes; zero if that is not known or
// nothing is in flight, so that there is always a call that can measure it.
func (l *Limiter) Expect(class uint32) time.Duration {
	if l.inFlight == 0 {
		return 0
	}
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
	l.win.ended += own
	switch s.Outcome {
	case Success:
		l.win.useful += s.Latency.Seconds()
		l.win.finished++
		l.succeed(s, own)
	case Overload:
		l.win.refused++
		l.win.finished++
		l.cutShort(s, own)
	default:
		l.cutShort(s, own)
	}
}

func (l *Limiter) succeed(s Sample, own float64) {
	fl := l.floors.get(s.Class, own, l.ratio)
	fl.recent += own
	fl.recentCalls++
	unqueued := float64(s.InFlight) <= l.cfg.LowUse*l.limit
	switch {
	case l.phase == steady && unqueued:
		l.floors.learn(fl, own)
	case !fl.known():
		l.floors.learn(fl, own/max(l.ratio, 1))
	}
	if fl.known() {
		l.win.known += own
		l.win.calls++
		l.win.credit += fl.seconds
	}
}

// cutShort accounts for a call that used a slot only for as long as it lasted.
func (l *Limiter) cutShort(s Sample, own float64) {
	floor := l.floors.expect(s.Class).Seconds()
	if floor > 0 {
		l.win.known += own
		l.win.credit += min(own, floor)
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
	if l.win.finished < l.windowCalls() && span < l.cfg.WindowMax {
		return
	}
	m, ok := l.win.measure(now, float64(l.cfg.WindowCalls)/2)
	if !ok {
		// No call ended: nothing is known, and fewer calls in flight
		// would not free the backend server.
		return
	}
	l.latency = m.latency
	l.decide(now, m)
	l.restart(now)
}

func (l *Limiter) windowCalls() int {
	if l.phase == testing {
		return l.cfg.TestCalls
	}
	return l.cfg.WindowCalls
}

func (l *Limiter) windowLatencies() time.Duration {
	latencies := l.cfg.WindowLatencies
	if l.streak >= startStreak {
		latencies = 1
	}
	d := time.Duration(latencies * float64(l.latency))
	return min(d, l.cfg.WindowMax)
}

func (l *Limiter) restart(now time.Time) {
	l.win = window{start: now}
	l.floors.restart()
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
		m.ratio = m.ended
		l.judge(now, m)
		return
	}
	if l.refusals(now, m) {
		return
	}
	const smoothing = 0.5
	l.ratio += smoothing * (m.ratio - l.ratio)
	if !m.inUse {
		l.checked = now
	}
	slack := l.slack(m)
	switch {
	case m.ratio > 1+slack && (m.inUse || l.standing(m, slack)):
		l.ratio = m.ratio
		l.cut(now, m, l.target(m), false)
	case m.ended < 1-slack:
		// Calls became faster, which no queue explains.
		l.floors.scale(m.ended)
		l.ratio = 1
	case !m.inUse:
		// Nothing asks for a higher limit.
		l.floors.balance(m.ended)
	case now.Sub(l.checked) >= l.recheck:
		m.ratio = l.ratio
		l.cut(now, m, 0, true)
	default:
		l.floors.balance(m.ended)
		l.grow(now)
	}
}

// nearlyInUse is the share of the limit from which calls in flight count as
// many.
const nearlyInUse = 0.8

// standing reports whether calls queue although the limit is not in use, as
// when the callers themselves are limited to less. With few calls in flight it
// is the floor that is wrong, which the calls themselves correct.
func (l *Limiter) standing(m measure, slack float64) bool {
	return l.ratio > 1+slack && m.inFlight > nearlyInUse*l.limit
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
	if now.Before(l.holdTill) {
		return
	}
	felt := min(max((l.ratio-1)/l.cfg.Tolerance, 0), 1)
	step := l.room(l.limit) * math.Exp2(l.streak) * (1 - felt)
	l.set(l.limit + min(step, l.limit*(l.cfg.MaxGrowth-1)))
	l.streak++
	if felt > 0.5 {
		l.streak = 0
	}
}

// cut decreases the limit and starts to observe what that does.
func (l *Limiter) cut(now time.Time, m measure, to float64, recheck bool) {
	l.ref = reference{measure: m, limit: l.limit, recheck: recheck}
	used := min(l.limit, m.inFlight)
	l.set(max(to, used*l.cfg.CutTo))
	l.streak = 0
	l.phase = settling
	l.settled = now.Add(l.latency)
}

// judge compares the measurement after a cut with the one before.
func (l *Limiter) judge(now time.Time, m measure) {
	l.checked = now
	if l.ref.refused > l.cfg.ShedShare {
		l.judgeRefusals(now, m)
		return
	}
	slack := l.slack(m)
	surprise := math.Abs(m.ratio-1) > slack
	l.ratio = m.ratio
	switch {
	case !l.followed(m):
		// The latency did not follow: the backend server is slower, not
		// queueing. Without this, each further cut would be answered by
		// the same latency until the limit is at its least.
		if !surprise {
			m.ratio = 1
		}
		l.floors.adopt(m.ratio)
		l.ratio = 1
		l.set(l.ref.limit)
	case m.ratio > 1+slack:
		l.cut(now, m, l.target(m), false)
	case l.ref.recheck && surprise:
		// There was a queue when the floor was measured.
		l.floors.adopt(m.ratio)
		m.ratio, l.ratio = 1, 1
		l.cut(now, m, 0, true)
	default:
		l.set(min(l.ref.limit, l.target(l.ref.measure)))
	}
	l.recheck = min(2*l.recheck, l.cfg.RecheckMax)
	if surprise {
		l.recheck = l.cfg.RecheckAfter
	}
}

// followed reports whether the latency fell with the calls in flight.
func (l *Limiter) followed(m measure) bool {
	fell := math.Log(l.ref.ratio / m.ratio)
	expected := math.Log(l.ref.inFlight / m.inFlight)
	return fell >= l.cfg.Elasticity*expected
}

// refusals reacts to calls that the backend server refused, and reports
// whether it did.
func (l *Limiter) refusals(now time.Time, m measure) bool {
	if m.refused <= l.cfg.ShedShare || now.Before(l.deafTill) {
		return false
	}
	l.streak = 0
	l.hold = min(2*l.hold, l.cfg.HoldMax)
	l.holdTill = now.Add(l.hold)
	l.cut(now, m, m.succeeding, false)
	return true
}

// judgeRefusals tells a backend server that is full from one that refuses
// whatever the number in flight: the latter must not close the limit.
func (l *Limiter) judgeRefusals(now time.Time, m measure) {
	if m.refused <= l.ref.refused/2 {
		return
	}
	l.deafTill = now.Add(l.cfg.RecheckAfter)
	l.set(l.ref.limit)
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
