package load

import "time"

const (
	// recoveryWindow is long enough for dozens of requests, so that a few random failures
	// don't take a window below the threshold.
	recoveryWindow = 500 * time.Millisecond
	recoveryStep   = 100 * time.Millisecond
	// recoveredShare is the share of the success rate before the trigger that counts as
	// recovered.
	recoveredShare = 0.95
)

// recovery returns the time from the trigger's end to the end of the last window in which
// the share of good requests was too low, and whether a window follows it. Requests count
// at the time at which they were due.
func (r *Run) recovery(before float64) (time.Duration, bool) {
	recoveredAt := r.Trigger.To
	for from := r.Trigger.To; !from.Add(recoveryWindow).After(r.End); from = from.Add(recoveryStep) {
		span := Span{From: from, To: from.Add(recoveryWindow)}
		if r.goodShare(span) < recoveredShare*before {
			recoveredAt = span.To
		}
	}
	return recoveredAt.Sub(r.Trigger.To), r.End.Sub(recoveredAt) >= recoveryWindow
}
