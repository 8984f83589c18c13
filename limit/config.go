package limit

import "time"

// Config configures a Limiter. All shares are fractions of one.
type Config struct {
	// Initial is the limit before anything is measured: low enough not to flood a
	// backend server that has just started.
	Initial int
	// Min is the least limit. One call in flight is enough to detect that the backend
	// server has recovered.
	Min int
	// Max bounds the limit in case of wrong measurements.
	Max int
	// Window is the least duration of a measurement window. A window also spans
	// WindowLatencies mean latencies and WindowCalls calls.
	Window time.Duration
	// WindowMax ends a window with fewer calls, so that a slow backend server is still
	// measured.
	WindowMax time.Duration
	// WindowCalls is the number of calls in a window that make its mean latency precise
	// enough: 60 calls with exponential latencies are known to about 13%.
	WindowCalls int
	// WindowLatencies is the least duration of a window as a multiple of the mean
	// latency.
	WindowLatencies float64
	// Headroom times the square root of the measured concurrency is how far the limit
	// stands above it: enough to find more slots, and about the noise of the
	// measurement.
	Headroom float64
	// MaxGrowth is the greatest factor by which the limit grows in one window.
	MaxGrowth float64
	// Tolerance is the share by which the latency may exceed the floor. Noise divided
	// by the square root of the calls in the window is added to it, so that a few slow
	// calls at a small backend server are not taken for queueing.
	Tolerance, Noise float64
	// ExperimentRatio is the ratio of latency to floor above which an experiment decides between
	// queueing and a new floor. Below it the limit is reduced directly.
	ExperimentRatio float64
	// ExperimentShare is the share of the calls in flight that remains in an experiment. The cut
	// must be large enough for its effect to exceed the noise of TestCalls calls.
	ExperimentShare float64
	// UnqueuedElasticity is the elasticity of the latency below which no call queued before the
	// experiment. QueuedElasticity is the elasticity from which calls still queue after it.
	UnqueuedElasticity, QueuedElasticity float64
	// TestCalls is the number of calls measured after the cut of an experiment.
	TestCalls int
	// RecheckAfter is how long the limit may be in use before an experiment checks the
	// floor again. The time doubles up to RecheckMax while the floor proves right.
	RecheckAfter, RecheckMax time.Duration
	// UnqueuedUse is the share of the limit up to which calls in flight are assumed not to
	// queue, so that their latency updates the floor. It leaves a margin for a limit
	// that has grown too high.
	UnqueuedUse float64
	// FloorCalls is the number of calls over which a floor is averaged.
	FloorCalls int
	// Classes bounds the number of classes with their own floor. All others share one.
	Classes int
	// RefusedShare is the share of refused calls that counts as overload. RefusalCutShare is
	// the new limit as a share of the calls in flight that were not refused.
	RefusedShare, RefusalCutShare float64
	// HoldMin and HoldMax bound the time in which the limit does not grow after the
	// backend server refused calls. The time doubles with each overload, and decreases
	// with each growth.
	HoldMin, HoldMax time.Duration
}

// DefaultConfig returns settings for backend servers of 5 to 500 slots and calls that
// take one millisecond to one second.
func DefaultConfig() Config {
	return Config{
		Initial:            20,
		Min:                1,
		Max:                2000,
		Window:             100 * time.Millisecond,
		WindowMax:          time.Second,
		WindowCalls:        60,
		WindowLatencies:    2,
		Headroom:           0.7,
		MaxGrowth:          2,
		Tolerance:          0.15,
		Noise:              1.5,
		ExperimentRatio:    1.6,
		ExperimentShare:    0.7,
		UnqueuedElasticity: 0.3,
		QueuedElasticity:   0.8,
		TestCalls:          100,
		RecheckAfter:       2 * time.Second,
		RecheckMax:         16 * time.Second,
		UnqueuedUse:        0.5,
		FloorCalls:         200,
		Classes:            256,
		RefusedShare:       0.01,
		RefusalCutShare:    0.95,
		HoldMin:            500 * time.Millisecond,
		HoldMax:            4 * time.Second,
	}
}
