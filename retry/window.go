package retry

import "time"

const (
	// windowIntervals is the number of intervals in a window. It sets the resolution: an
	// attempt counts for one interval too long, a call for one too short.
	windowIntervals = 20
	// historyIntervals covers a window, the one before it, and intervals that are partly in
	// either.
	historyIntervals = 2*windowIntervals + 1
)

// interval counts calls and extra attempts.
type interval struct{ calls, extra float64 }

// window counts calls and extra attempts over the last two window lengths. Extra attempts
// of any window are limited by the calls in it, in the window before it, or in the window
// that begins half a length earlier, whichever are most.
type window struct {
	length time.Duration // of an interval
	start  time.Time
	// current is the number of the current interval, stored at current%historyIntervals.
	current   int64
	intervals [historyIntervals]interval
}

func newWindow(span time.Duration, now time.Time) *window {
	return &window{length: span / windowIntervals, start: now}
}

// now returns the counts of the current interval and clears those that have
// expired. If the clock goes back, the latest interval stays current.
func (w *window) now(now time.Time) *interval {
	current := int64(now.Sub(w.start) / w.length)
	if current-w.current >= historyIntervals {
		w.intervals, w.current = [historyIntervals]interval{}, current
	}
	for ; w.current < current; w.current++ {
		w.intervals[(w.current+1)%historyIntervals] = interval{}
	}
	return &w.intervals[w.current%historyIntervals]
}

// available returns how many extra attempts may be made now without exceeding the limit of
// any window that contains the present, how many if none had been made before, and how many the
// calls of the current window have earned. Windows that end in the future are assumed to get no more calls.
func (w *window) available(ratio, slack float64) (remaining, unspent, total float64) {
	var calls, extra [historyIntervals + 1]float64 // index i: sum over ages i and older
	for age := historyIntervals - 1; age >= 0; age-- {
		s := interval{}
		if w.current >= int64(age) {
			s = w.intervals[(w.current-int64(age))%historyIntervals]
		}
		calls[age] = calls[age+1] + s.calls
		extra[age] = extra[age+1] + s.extra
	}
	// between sums the intervals of ages from (inclusive) to before (exclusive).
	between := func(sums *[historyIntervals + 1]float64, from, before int) float64 {
		from, before = min(max(from, 0), historyIntervals), min(max(before, 0), historyIntervals)
		return sums[from] - sums[before]
	}
	remaining = slack + ratio*between(&calls, 0, windowIntervals)
	unspent, total = remaining, remaining
	for ends := range windowIntervals { // intervals from now
		inside := between(&calls, -ends, windowIntervals-ends)
		// The latest interval of an earlier window may lie partly after that window.
		half := between(&calls, windowIntervals/2+1-ends, windowIntervals*3/2-ends)
		before := between(&calls, windowIntervals+1-ends, 2*windowIntervals-ends)
		bound := slack + ratio*max(inside, half, before)
		unspent = min(unspent, bound)
		remaining = min(remaining, bound-between(&extra, -ends, windowIntervals+1-ends))
	}
	return remaining, unspent, total
}
