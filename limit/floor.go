package limit

import "time"

// sharedClass collects the classes beyond Config.Classes.
const sharedClass = ^uint32(0)

// knownCalls is how many calls make the floor of a class known. Until then all
// its calls are averaged and none counts for the ratio. Of the calls that begin
// together the short ones end first, so a few would give too low a floor.
const knownCalls = 60

// floor is the mean own latency of one class of calls without queueing.
type floor struct {
	seconds float64
	calls   int
	// recent sums up the own latencies of the current window.
	recent      float64
	recentCalls float64
}

func (f *floor) known() bool { return f.calls >= knownCalls }

// mean of the current window, which must have calls of the class.
func (f *floor) mean() float64 { return f.recent / f.recentCalls }

// floors keeps one floor for each class, so that a change in the mix of cheap
// and costly calls is not taken for queueing.
type floors struct {
	of    map[uint32]*floor
	max   int
	calls int
}

func newFloors(cfg Config) floors {
	return floors{of: make(map[uint32]*floor), max: cfg.Classes, calls: cfg.FloorCalls}
}

// get returns the floor of a class. A new class starts at its first latency
// without the share that the present ratio puts down to queueing.
func (f *floors) get(class uint32, own, ratio float64) *floor {
	if fl, ok := f.of[class]; ok {
		return fl
	}
	if len(f.of) >= f.max {
		class = sharedClass
		if fl, ok := f.of[class]; ok {
			return fl
		}
	}
	fl := &floor{seconds: own / max(ratio, 1)}
	f.of[class] = fl
	return fl
}

// learn averages a latency that met no queue.
func (f *floors) learn(fl *floor, own float64) {
	if fl.calls < f.calls {
		fl.calls++
	}
	fl.seconds += (own - fl.seconds) / float64(fl.calls)
}

// restart begins a window.
func (f *floors) restart() {
	for _, fl := range f.of {
		fl.recent, fl.recentCalls = 0, 0
	}
}

// adopt sets the floors to the current window, in which no call queued. A
// class that it saw little of follows the ratio of all.
func (f *floors) adopt(ratio float64) {
	const prior = 20
	for _, fl := range f.of {
		fl.seconds = (fl.seconds*ratio*prior + fl.recent) / (prior + fl.recentCalls)
	}
}

// balance moves the floors of the classes against each other by a window in
// which calls may have queued: the ratio leaves their sum as it was. Without
// it a class that is only seen under load would keep a wrong floor, and a
// change in the mix would look like a queue.
func (f *floors) balance(ratio float64) {
	const gain, prior = 0.2, 50
	for _, fl := range f.of {
		if fl.recentCalls == 0 {
			continue
		}
		weight := gain * fl.recentCalls / (prior + fl.recentCalls)
		fl.seconds += weight * (fl.mean()/ratio - fl.seconds)
	}
}

// scale multiplies every floor: all classes are served by the same slots.
func (f *floors) scale(by float64) {
	for _, fl := range f.of {
		fl.seconds *= by
	}
}

func (f *floors) expect(class uint32) time.Duration {
	fl, ok := f.of[class]
	if !ok {
		fl, ok = f.of[sharedClass]
	}
	if !ok {
		return 0
	}
	return time.Duration(fl.seconds * float64(time.Second))
}
