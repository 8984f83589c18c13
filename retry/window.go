package retry

import "time"

const (
	// windowSlots is the number of parts in which a window is counted: an
	// attempt counts for a twentieth longer than the window, a call as much
	// shorter.
	windowSlots = 20
	// history covers a window, the one before it, and the slots that are only
	// partly in them.
	history = 2*windowSlots + 1
)

// slot counts the calls and the extra attempts of a part of a window.
type slot struct{ calls, extra float64 }

// window counts calls and extra attempts of the last two windows. Whoever bounds
// the extra attempts compares those of any window with the calls in it, in the one
// before it, or in the one half a window before it, whichever are most.
type window struct {
	length time.Duration // of a slot
	start  time.Time
	// at is the number of the current slot, which lies at at%history.
	at    int64
	slots [history]slot
}

func newWindow(span time.Duration, now time.Time) *window {
	return &window{length: span / windowSlots, start: now}
}

// now returns the current slot. A clock that went back adds to the latest one.
func (w *window) now(now time.Time) *slot {
	at := int64(now.Sub(w.start) / w.length)
	if at-w.at >= history {
		w.slots, w.at = [history]slot{}, at
	}
	for ; w.at < at; w.at++ {
		w.slots[(w.at+1)%history] = slot{}
	}
	return &w.slots[w.at%history]
}

// room returns how many extra attempts may be made now so that no window that
// holds the present has too many, and how many there were with none made yet. The
// windows that end later count as if no other call came.
func (w *window) room(ratio, slack float64) (left, all float64) {
	var calls, extra [history + 1]float64 // before the slot of that age and all older
	for age := history - 1; age >= 0; age-- {
		s := slot{}
		if w.at >= int64(age) {
			s = w.slots[(w.at-int64(age))%history]
		}
		calls[age] = calls[age+1] + s.calls
		extra[age] = extra[age+1] + s.extra
	}
	// between sums up the slots of ages from (inclusive) to before (exclusive).
	between := func(sums *[history + 1]float64, from, before int) float64 {
		from, before = min(max(from, 0), history), min(max(before, 0), history)
		return sums[from] - sums[before]
	}
	left = slack + ratio*between(&calls, 0, windowSlots)
	all = left
	for ends := range windowSlots { // slots from now
		inside := between(&calls, -ends, windowSlots-ends)
		// The latest slot of an earlier window may lie partly after it.
		half := between(&calls, windowSlots/2+1-ends, windowSlots*3/2-ends)
		before := between(&calls, windowSlots+1-ends, 2*windowSlots-ends)
		bound := slack + ratio*max(inside, half, before)
		left = min(left, bound-between(&extra, -ends, windowSlots+1-ends))
	}
	return left, all
}
