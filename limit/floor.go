package limit

import "time"

// sharedClass stands for all classes beyond Config.Classes.
const sharedClass = ^uint32(0)

// knownCalls is the number of calls after which the floor of a class is known. Until
// then its calls don't count for the ratio: of calls that begin together the short ones
// end first, so a few calls would give too low a floor.
const knownCalls = 60

// floor is the mean own latency of one class of calls without queueing. The own latency
// is the time at the backend server itself, without downstream calls.
type floor struct {
	seconds float64
	calls   int
	// recent is the sum of the own latencies in the current window, in seconds.
	recent      float64
	recentCalls float64
}

func (f *floor) known() bool { return f.calls >= knownCalls }

// mean returns the mean own latency in the current window, which must have calls of the
// class.
func (f *floor) mean() float64 { return f.recent / f.recentCalls }

// floors holds one floor for each class, so that a change in the mix of cheap and
// costly calls is not taken for queueing.
type floors struct {
	byClass map[uint32]*floor
	max     int
	calls   int
}

func newFloors(cfg Config) floors {
	return floors{byClass: make(map[uint32]*floor), max: cfg.Classes, calls: cfg.FloorCalls}
}

// get returns the floor of a class. A new class starts at the own latency of its first
// call, corrected for queueing by the present ratio.
func (f *floors) get(class uint32, own, ratio float64) *floor {
	if fl, ok := f.byClass[class]; ok {
		return fl
	}
	if len(f.byClass) >= f.max {
		class = sharedClass
		if fl, ok := f.byClass[class]; ok {
			return fl
		}
	}
	fl := &floor{seconds: own / max(ratio, 1)}
	f.byClass[class] = fl
	return fl
}

// update averages the own latency of a call that did not queue into a floor.
func (f *floors) update(fl *floor, own float64) {
	if fl.calls < f.calls {
		fl.calls++
	}
	fl.seconds += (own - fl.seconds) / float64(fl.calls)
}

// startWindow resets the sums of the current window.
func (f *floors) startWindow() {
	for _, fl := range f.byClass {
		fl.recent, fl.recentCalls = 0, 0
	}
}

// adopt sets the floors from the current window, in which no call queued. A class with
// few calls follows the ratio of all calls.
func (f *floors) adopt(ratio float64) {
	const prior = 20
	for _, fl := range f.byClass {
		fl.seconds = (fl.seconds*ratio*prior + fl.recent) / (prior + fl.recentCalls)
	}
}

// balance adjusts the floors relative to each other by a window in which calls may have
// queued; dividing by the ratio keeps their weighted sum. Without it a class that is
// only seen under load would keep a wrong floor, and a change in the mix would look
// like queueing.
func (f *floors) balance(ratio float64) {
	const gain, prior = 0.2, 50
	for _, fl := range f.byClass {
		if fl.recentCalls == 0 {
			continue
		}
		weight := gain * fl.recentCalls / (prior + fl.recentCalls)
		fl.seconds += weight * (fl.mean()/ratio - fl.seconds)
	}
}

// scale multiplies every floor, as all classes use the same slots.
func (f *floors) scale(by float64) {
	for _, fl := range f.byClass {
		fl.seconds *= by
	}
}

// expect returns the floor of a class, and zero if it has none.
func (f *floors) expect(class uint32) time.Duration {
	fl, ok := f.byClass[class]
	if !ok {
		fl, ok = f.byClass[sharedClass]
	}
	if !ok {
		return 0
	}
	return time.Duration(fl.seconds * float64(time.Second))
}
