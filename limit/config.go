package limit

import "time"

// Config of a Limiter. All shares are fractions of one.
type Config struct {
	// Initial is the limit before anything was measured: the slots of a
	// small backend server, so that a cold one is not flooded.
	Initial int
	// Min is the least limit. One call in flight is what it takes to notice
	// that the backend server has recovered.
	Min int
	// Max bounds the limit, and so what a wrong measurement can do.
	Max int
	// Window is the shortest time over which the load is measured. A window
	// also spans WindowLatencies mean latencies and WindowCalls calls.
	Window time.Duration
	// WindowMax ends a window that sees too few calls, so that a slow
	// backend server is still judged.
	WindowMax time.Duration
	// WindowCalls is the number of calls that make a mean latency usable:
	// 60 calls with exponential latencies are known to about 13%.
	WindowCalls int
	// WindowLatencies is the least length of a window in mean latencies.
	WindowLatencies float64
	// Headroom times the square root of the measured concurrency is what
	// the limit stands above it: enough to find more slots, and about the
	// size of the measurement's own noise.
	Headroom float64
	// MaxGrowth is the factor by which the limit grows in one window at most.
	MaxGrowth float64
	// Tolerance is by how much the latency may exceed the floor. Noise is
	// added to it, over the square root of the calls in the window, so that
	// a few slow calls at a small backend server are not taken for a queue.
	Tolerance, Noise float64
	// Jump is the ratio of latency to floor from which the limit is not
	// trimmed but an experiment decides between a queue and a new floor.
	Jump float64
	// CutTo is the share of the calls in flight that an experiment leaves: the
	// difference must stand out from the noise of TestCalls calls.
	CutTo float64
	// Unqueued is the elasticity of the latency up to which no call queued
	// before an experiment, Queued that from which calls still queue after
	// it.
	Unqueued, Queued float64
	// TestCalls is the number of calls after a cut that decide.
	TestCalls int
	// RecheckAfter is how long the limit may be in use before the floor is
	// measured again with fewer calls in flight. It doubles up to
	// RecheckMax while the check finds nothing.
	RecheckAfter, RecheckMax time.Duration
	// LowUse is the share of the limit up to which calls in flight are held
	// to meet no queue, so that their latency is the floor. The limit may
	// stand too high by half after it has grown.
	LowUse float64
	// FloorCalls is the number of calls over which a floor is averaged.
	FloorCalls int
	// Classes bounds the number of classes with a floor of their own; the
	// rest share one.
	Classes int
	// RefusedShare is the share of refused calls that counts as overload, and
	// RefusedTo the share of the calls in flight without them that is left.
	RefusedShare, RefusedTo float64
	// HoldMin and HoldMax bound the time for which the limit does not grow
	// after the backend server refused calls; it doubles each time and is
	// halved by each growth that leads to no refusal.
	HoldMin, HoldMax time.Duration
}

// DefaultConfig suits backend servers of 5 to 500 slots and calls of 1 ms to
// 1 s.
func DefaultConfig() Config {
	return Config{
		Initial:         20,
		Min:             1,
		Max:             2000,
		Window:          100 * time.Millisecond,
		WindowMax:       time.Second,
		WindowCalls:     60,
		WindowLatencies: 2,
		Headroom:        0.7,
		MaxGrowth:       2,
		Tolerance:       0.15,
		Noise:           1.5,
		Jump:            1.6,
		CutTo:           0.7,
		Unqueued:        0.3,
		Queued:          0.8,
		TestCalls:       100,
		RecheckAfter:    2 * time.Second,
		RecheckMax:      16 * time.Second,
		LowUse:          0.5,
		FloorCalls:      200,
		Classes:         256,
		RefusedShare:    0.01,
		RefusedTo:       0.95,
		HoldMin:         500 * time.Millisecond,
		HoldMax:         4 * time.Second,
	}
}
