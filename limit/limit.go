// Package limit finds out how many calls a backend server can work on at once.
//
// Every call to the backend server goes through one node, so the number in flight is
// known exactly. By Little's law the number in flight divided by (rate x latency
// without queueing) is the factor by which queueing inside the backend server lengthens
// calls. It is one while slots are free, and grows in proportion to the calls in flight
// beyond that. The limit follows the number of calls being worked on plus some
// headroom, and grows only while it is in use.
//
// The latency without queueing, the floor, is kept for each class of calls, so that a
// change in the mix of cheap and costly calls is not taken for queueing. The floor is
// uncertain: a backend server that became three times slower looks like one with three
// calls in flight for each slot. A cut of the limit tells them apart. A shorter queue
// shortens the latency in proportion, while a slower backend server stays slow. So
// after a large rise of the latency an experiment cuts the limit, and the share of the
// cut by which the latency falls decides, whatever the floor was. The same experiment
// is repeated while the limit is in use, to find a queue that existed from the start.
// After a small rise the limit is reduced directly.
//
// Refusals cut the limit to the calls in flight that were not refused. If refusals
// continue they don't depend on the limit, and it is restored.
package limit

import "time"

// Outcome tells how a call ended, as far as it concerns load.
type Outcome uint8

// Outcomes of a call.
const (
	// Success: the backend server answered, whatever the answer.
	Success Outcome = iota
	// Overload: the backend server refused the call, which takes less time than the
	// floor, or the call timed out, which takes more.
	Overload
	// Ignore: the call tells nothing about load, for example because it was cancelled.
	Ignore
)

// Sample describes one finished call.
type Sample struct {
	// Latency is the time from sending the call to the backend server to its end.
	Latency time.Duration
	// Downstream is the part of Latency in which the call waited for calls of its own,
	// and zero if that is not tracked. See Limiter.Waiting.
	Downstream time.Duration
	// InFlight is what Begin returned for this call.
	InFlight int
	Outcome  Outcome
	// Class groups calls of similar cost, for example by a hash of the operation's
	// name.
	Class uint32
}

// Limiter is the adaptive concurrency limit of one backend server. It is not safe for
// concurrent use.
type Limiter struct {
	cfg       Config
	limit     float64
	inFlight  int
	waiting   int
	lastEvent time.Time
	// resumedAt is the end of the last pause of this process.
	resumedAt time.Time
	win       window
	floors    floors
	// ratio is the smoothed ratio of own latency to floor; latency is the mean latency
	// of the last window.
	ratio       float64
	latency     time.Duration
	phase       phase
	settledAt   time.Time
	ref         reference
	growth      growth
	experiments experiments
	refusal     refusal
}

// New returns a Limiter at its initial limit.
func New(cfg Config) *Limiter {
	return &Limiter{
		cfg:         cfg,
		limit:       float64(cfg.Initial),
		floors:      newFloors(cfg),
		ratio:       1,
		growth:      growth{streak: startStreak},
		experiments: experiments{interval: cfg.RecheckAfter},
	}
}

// Limit returns the number of calls that may be in flight, at least one.
func (l *Limiter) Limit() int { return max(l.cfg.Min, 1, int(l.limit+0.5)) }

// InFlight returns the number of calls begun and not ended.
func (l *Limiter) InFlight() int { return l.inFlight }

// HasCapacity reports whether another call may begin.
func (l *Limiter) HasCapacity() bool { return l.inFlight < l.Limit() }

// ExpectedRunTime returns the present mean time of a call of the class at the backend server,
// without downstream calls. It is zero if unknown, or if nothing is in flight, so that
// there is always a call that can measure it.
func (l *Limiter) ExpectedRunTime(class uint32) time.Duration {
	if l.inFlight == 0 {
		return 0
	}
	return time.Duration(float64(l.floors.expect(class)) * max(l.ratio, 1))
}

// Begin records the start of a call and returns the number of calls in flight including
// it, for Sample.InFlight.
func (l *Limiter) Begin(now time.Time) int {
	l.advance(now)
	l.inFlight++
	l.endWindow(now)
	return l.inFlight
}

// Waiting adds change to the number of calls in flight that wait for calls of their
// own. It is optional; with it a slow downstream service is not taken for queueing
// here.
func (l *Limiter) Waiting(now time.Time, change int) {
	l.advance(now)
	l.waiting = max(0, l.waiting+change)
}

// End records the end of a call.
func (l *Limiter) End(now time.Time, s Sample) {
	l.advance(now)
	l.inFlight = max(0, l.inFlight-1)
	if !now.Add(-s.Latency).Before(l.resumedAt) {
		l.account(s)
	}
	l.endWindow(now)
}

// Resumed discards the present window, since this process was paused in it. The calls in flight
// don't count when they end: their latency contains the pause.
func (l *Limiter) Resumed(now time.Time) {
	l.resumedAt = now
	l.lastEvent = now
	l.startWindow(now)
}

// account adds a finished call to the window.
func (l *Limiter) account(s Sample) {
	own := max(0, s.Latency-s.Downstream).Seconds()
	l.win.ended += own
	switch {
	case s.Outcome == Ignore:
		l.recordUnserved(s, own)
	case s.Outcome == Overload && l.isRefusal(s, own):
		l.win.finished++
		l.win.refused++
		l.win.refusedTime += s.Latency.Seconds()
		l.recordUnserved(s, own)
	default:
		l.win.finished++
		l.recordServed(s, own)
	}
}

// isRefusal tells a refusal from a timeout. A call that timed out held a slot and its
// latency counts; as a refusal it would cut the limit of a server that is merely slow.
func (l *Limiter) isRefusal(s Sample, own float64) bool {
	floor := l.floors.expect(s.Class).Seconds()
	return floor == 0 || own < floor
}

// recordServed adds the own latency of a call that used a slot until it was finished.
func (l *Limiter) recordServed(s Sample, own float64) {
	fl := l.floors.get(s.Class, own, l.ratio)
	fl.recent += own
	fl.recentCalls++
	unqueued := float64(s.InFlight) <= l.cfg.UnqueuedUse*l.limit
	switch {
	case l.phase == steady && unqueued:
		l.floors.update(fl, own)
	case !fl.known():
		l.floors.update(fl, own/max(l.ratio, 1))
	}
	if fl.known() {
		l.win.known += own
		l.win.calls++
		l.win.expected += fl.seconds
	}
}

// recordUnserved adds a refused or cancelled call, which used a slot only while it
// lasted.
func (l *Limiter) recordUnserved(s Sample, own float64) {
	floor := l.floors.expect(s.Class).Seconds()
	if floor > 0 {
		l.win.known += own
		l.win.expected += min(own, floor)
	}
}

// advance adds the time since the last event to the window.
func (l *Limiter) advance(now time.Time) {
	if l.lastEvent.IsZero() {
		l.lastEvent = now
		l.win.start = now
		l.growth.lastInUse = now
		l.experiments.lastAt = now
	}
	dt := now.Sub(l.lastEvent).Seconds()
	if dt <= 0 {
		return
	}
	l.lastEvent = now
	l.win.total += dt * float64(l.inFlight)
	l.win.own += dt * float64(max(0, l.inFlight-l.waiting))
	if l.inFlight >= l.Limit() {
		l.win.timeInUse += dt
	}
}

// endWindow ends the window once it is long enough, and updates the limit.
func (l *Limiter) endWindow(now time.Time) {
	if l.phase == settling {
		l.settle(now)
		return
	}
	span := now.Sub(l.win.start)
	if !l.windowComplete(span) {
		return
	}
	m, ok := l.win.measurement(now, float64(l.cfg.WindowCalls)/2)
	if !ok {
		// No call ended: nothing is known, and fewer calls in flight
		// would not free the backend server.
		return
	}
	l.latency = m.latency
	l.decide(now, m)
	l.startWindow(now)
}

// windowComplete reports whether the window is long enough. Refusals end it early: a
// refused call makes room for the next at once, so that most calls are refused when the
// limit is too high by only one.
func (l *Limiter) windowComplete(span time.Duration) bool {
	const refusals = 10
	if l.phase == steady && l.win.refused >= refusals && span >= l.latency {
		return true
	}
	if span < l.cfg.Window || span < l.windowLatencies() {
		return false
	}
	return l.win.finished >= l.windowCalls() || span >= l.cfg.WindowMax
}

// windowCalls returns the number of calls that complete the window.
func (l *Limiter) windowCalls() int {
	if l.phase == measuring {
		return l.cfg.TestCalls
	}
	return l.cfg.WindowCalls
}

// windowLatencies returns the least duration of the window by the mean latency.
func (l *Limiter) windowLatencies() time.Duration {
	latencies := l.cfg.WindowLatencies
	if l.growth.streak >= startStreak {
		latencies = 1
	}
	d := time.Duration(latencies * float64(l.latency))
	return min(d, l.cfg.WindowMax)
}

// startWindow starts a new window.
func (l *Limiter) startWindow(now time.Time) {
	l.win = window{start: now}
	l.floors.startWindow()
}

// State is the diagnostic state of a Limiter.
type State struct {
	Limit    int     `json:"limit"`
	InFlight int     `json:"in_flight"`
	Waiting  int     `json:"waiting"`
	Ratio    float64 `json:"latency_ratio"`
	Latency  string  `json:"latency"`
	Classes  int     `json:"classes"`
	Testing  bool    `json:"testing"`
}

// Dump returns the state for diagnostics.
func (l *Limiter) Dump() State {
	return State{
		Limit:    l.Limit(),
		InFlight: l.inFlight,
		Waiting:  l.waiting,
		Ratio:    l.ratio,
		Latency:  l.latency.String(),
		Classes:  len(l.floors.byClass),
		Testing:  l.phase != steady,
	}
}
