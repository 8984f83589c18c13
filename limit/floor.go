package limit

import "time"

// sharedClass collects the classes beyond Config.Classes.
const sharedClass = ^uint32(0)

// floor is the mean own latency of one class of calls without queueing.
type floor struct {
	seconds float64
	calls   int
}

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
