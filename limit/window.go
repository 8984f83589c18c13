package limit

import "time"

// window holds the sums of one measurement window. Times are in seconds.
type window struct {
	start time.Time
	// total is the time in flight summed over calls; own is the part of it that calls
	// spent at the backend server itself, without waiting for calls of their own.
	own, total float64
	// timeInUse is the time in which the calls in flight reached the limit.
	timeInUse float64
	// ended is the sum of the own latencies of the calls that ended, and known that of
	// those whose class has a known floor. expected is the sum of the latter's floors.
	ended, known, expected float64
	// calls is the number of served calls whose class has a known floor.
	calls float64
	// refusedTime is the sum of the latencies of the refused calls.
	refusedTime float64
	// finished counts served and refused calls, refused only the latter.
	finished, refused int
}

// measurement is the result of one window.
type measurement struct {
	// inFlight is the mean number of calls in flight.
	inFlight float64
	// waiting is the mean number of calls in flight that wait for calls of their own.
	waiting float64
	// ended is the ratio of own latency to floor for the calls that ended, and little
	// the ratio by Little's law for those in flight. ratio is the lesser of both, so
	// that neither one very long call nor a queue that has just drained leads to a cut.
	ended, little, ratio float64
	// succeeding is the mean number of calls in flight that were not refused, and
	// refused the share of finished calls that were.
	succeeding float64
	refused    float64
	calls      float64
	inUse      bool
	latency    time.Duration
}

// inUseShare is the share of a window in which the limit must be reached to count as in
// use.
const inUseShare = 0.3

// measurement evaluates the window. With fewer than enough calls of known classes the
// ratio is assumed to be one. It returns false if no call ended.
func (w *window) measurement(now time.Time, enough float64) (measurement, bool) {
	span := now.Sub(w.start).Seconds()
	if span <= 0 || w.finished == 0 || w.ended <= 0 {
		return measurement{}, false
	}
	ended := 1.0
	if w.calls >= enough {
		ended = w.known / w.expected
	}
	m := measurement{
		inFlight:   w.total / span,
		waiting:    (w.total - w.own) / span,
		ended:      ended,
		little:     ended * w.own / w.ended,
		ratio:      ended * min(1, w.own/w.ended),
		succeeding: max(0, w.total-w.refusedTime) / span,
		refused:    float64(w.refused) / float64(w.finished),
		calls:      w.calls,
		inUse:      w.timeInUse/span >= inUseShare,
		latency:    time.Duration(w.total / float64(w.finished) * float64(time.Second)),
	}
	return m, true
}

// own returns the mean number of calls at the backend server itself.
func (m measurement) own() float64 { return m.inFlight - m.waiting }

// slots estimates the number of calls that the backend server works on at once.
func (m measurement) slots() float64 {
	return m.waiting + m.own()/max(m.ratio, 1)
}
