// Package limit finds out how many calls a backend server can work on at once.
//
// Every call to the backend server goes through one node, so the number in
// flight is known exactly. By Little's law the number in flight divided by
// (rate x latency without queueing) is the factor by which queueing inside the
// backend server lengthens calls: one as long as slots are free, and growing in
// proportion to the calls in flight beyond that. The limit follows the number
// that is being worked on plus a little headroom, and only while it is in use.
//
// The latency without queueing, the floor, is kept for each class of calls, as
// a change in the mix of cheap and costly calls is no queue. It is not known for
// certain: a backend server that became three times slower looks like one with
// three calls in flight for each slot. The two differ in what a decrease does. A
// shorter queue shortens the latency in proportion; a slower backend server
// stays as it is. So a large rise is answered by an experiment, a cut by a third,
// and the share of it that the latency follows decides, whatever the floor was.
// The same experiment, made now and then while the limit is in use, finds a
// queue that stood from the start. Small rises are trimmed off.
//
// Refusals cut the limit to the calls in flight beside them, unless that does
// not end them: then they do not depend on the limit.
package limit

import "time"

// Outcome of a call, as far as it says something about load.
type Outcome uint8

// The outcomes.
const (
	// Success: the backend server answered, whatever the answer.
	Success Outcome = iota
	// Overload: the backend server refused the call, which takes less than
	// the floor, or the call timed out, which takes more.
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
	// ratio and latency are those of recent windows.
	ratio   float64
	latency time.Duration
	phase   phase
	settled time.Time
	ref     reference
	growth  growth
	check   check
	refusal refusal
}

// New returns a Limiter at its initial limit.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:    cfg,
		limit:  float64(cfg.Initial),
		floors: newFloors(cfg),
		ratio:  1,
		growth: growth{streak: startStreak},
		check:  check{after: cfg.RecheckAfter},
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
	switch {
	case s.Outcome == Ignore:
		l.cutShort(s, own)
	case s.Outcome == Overload && l.short(s, own):
		l.win.finished++
		l.win.refused++
		l.win.lost += s.Latency.Seconds()
		l.cutShort(s, own)
	default:
		l.win.finished++
		l.served(s, own)
	}
}

// short tells a refusal from a call that timed out. The latter held a slot like
// one that is served, and its latency tells what there is to tell: taken for a
// refusal, it would cut the limit of a server that is merely slow.
func (l *Limiter) short(s Sample, own float64) bool {
	floor := l.floors.expect(s.Class).Seconds()
	return floor == 0 || own < floor
}

func (l *Limiter) served(s Sample, own float64) {
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
		l.growth.used = now
		l.check.at = now
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
	if !l.full(span) {
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

// full reports whether the window is long enough. Refusals end it early: a
// refused call makes room for the next in no time, so that a limit that is too
// high by one has most calls refused.
func (l *Limiter) full(span time.Duration) bool {
	const refusals = 10
	if l.phase == steady && l.win.refused >= refusals && span >= l.latency {
		return true
	}
	if span < l.cfg.Window || span < l.windowLatencies() {
		return false
	}
	return l.win.finished >= l.windowCalls() || span >= l.cfg.WindowMax
}

func (l *Limiter) windowCalls() int {
	if l.phase == measuring {
		return l.cfg.TestCalls
	}
	return l.cfg.WindowCalls
}

func (l *Limiter) windowLatencies() time.Duration {
	latencies := l.cfg.WindowLatencies
	if l.growth.streak >= startStreak {
		latencies = 1
	}
	d := time.Duration(latencies * float64(l.latency))
	return min(d, l.cfg.WindowMax)
}

func (l *Limiter) restart(now time.Time) {
	l.win = window{start: now}
	l.floors.restart()
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
