package limit

import "time"

// window sums up what happened since start.
type window struct {
	start time.Time
	// own is the time that calls spent at the backend server itself, in
	// seconds summed over the calls in flight; total includes the time in
	// which they waited for calls of their own.
	own, total float64
	// full is the time, in seconds, in which the limit was in use.
	full float64
	// ended is the sum of the own latencies of the calls that ended. Of
	// those whose class is known, known is the same and credit the sum of
	// the floors.
	ended, known, credit float64
	// calls is the number of the latter.
	calls float64
	// lost is the sum of the latencies of the refused calls.
	lost float64
	// finished counts successes and refusals, refused only the latter.
	finished, refused int
}

// measure is the result of one window.
type measure struct {
	// inFlight is the mean number of calls in flight.
	inFlight float64
	// waiting is the mean number of those that waited for others.
	waiting float64
	// ended is own latency to floor over the calls that ended, little the
	// same by Little's law for those in flight. ratio is the lesser of both:
	// one call that was stuck for long, or a queue that has just gone, is no
	// reason to cut.
	ended, little, ratio float64
	// succeeding is the mean number of calls in flight that succeeded.
	succeeding float64
	refused    float64
	calls      float64
	inUse      bool
	latency    time.Duration
}

const inUseShare = 0.3

// measure sums the window up. With fewer known calls than enough the ratio is
// taken to be one.
func (w *window) measure(now time.Time, enough float64) (measure, bool) {
	span := now.Sub(w.start).Seconds()
	if span <= 0 || w.finished == 0 || w.ended <= 0 {
		return measure{}, false
	}
	ended := 1.0
	if w.calls >= enough {
		ended = w.known / w.credit
	}
	m := measure{
		inFlight:   w.total / span,
		waiting:    (w.total - w.own) / span,
		ended:      ended,
		little:     ended * w.own / w.ended,
		ratio:      ended * min(1, w.own/w.ended),
		succeeding: max(0, w.total-w.lost) / span,
		refused:    float64(w.refused) / float64(w.finished),
		calls:      w.calls,
		inUse:      w.full/span >= inUseShare,
		latency:    time.Duration(w.total / float64(w.finished) * float64(time.Second)),
	}
	return m, true
}

// own is the mean number of calls at the backend server itself.
func (m measure) own() float64 { return m.inFlight - m.waiting }

// slots estimates how many calls the backend server works on at once.
func (m measure) slots() float64 {
	return m.waiting + m.own()/max(m.ratio, 1)
}
