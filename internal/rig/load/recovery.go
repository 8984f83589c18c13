package load

import "time"

const (
	// window is long enough for some dozens of requests, so that chance
	// alone rarely takes a window below the threshold.
	window     = 500 * time.Millisecond
	windowStep = 100 * time.Millisecond
	// recovered is the share of the level before that counts as back.
	recovered = 0.95
)

// recovery returns the time from the trigger's end to the end of the last
// window in which the share of good requests was not back. Requests count at
// the time at which they were due: a late answer does not help its caller.
func (r *Run) recovery(before float64) (time.Duration, bool) {
	last := r.Trigger.To
	for from := r.Trigger.To; !from.Add(window).After(r.End); from = from.Add(windowStep) {
		span := Span{From: from, To: from.Add(window)}
		if r.goodShare(span) < recovered*before {
			last = span.To
		}
	}
	return last.Sub(r.Trigger.To), r.End.Sub(last) >= window
}
