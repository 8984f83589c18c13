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
	// credit is the sum of the floors of the finished calls.
	credit float64
	// useful is the sum of the latencies of the successful calls.
	useful float64
	// finished counts successes and refusals, refused only the latter.
	finished, refused int
}

// measure is the result of one window.
type measure struct {
	// inFlight is the mean number of calls in flight.
	inFlight float64
	// waiting is the mean number of those that waited for others.
	waiting float64
	// ratio is own latency to floor, by Little's law: calls in flight over
	// floor times rate. It needs no call to finish late to show that calls
	// are slow, and one stuck call weighs as one.
	ratio float64
	// succeeding is the mean number of calls in flight that succeeded.
	succeeding float64
	refused    float64
	inUse      bool
	latency    time.Duration
}

const inUseShare = 0.3

func (w *window) measure(now time.Time) (measure, bool) {
	span := now.Sub(w.start).Seconds()
	if span <= 0 || w.finished == 0 || w.credit <= 0 {
		return measure{}, false
	}
	m := measure{
		inFlight:   w.total / span,
		waiting:    (w.total - w.own) / span,
		ratio:      w.own / w.credit,
		succeeding: w.useful / span,
		refused:    float64(w.refused) / float64(w.finished),
		inUse:      w.full/span >= inUseShare,
		latency:    time.Duration(w.total / float64(w.finished) * float64(time.Second)),
	}
	return m, true
}

// slots estimates how many calls the backend server works on at once.
func (m measure) slots() float64 {
	return m.waiting + (m.inFlight-m.waiting)/max(m.ratio, 1)
}
