package admission

import "time"

// GateConfig configures a Gate. Shares are fractions of one.
type GateConfig struct {
	// Interval is the least time between two updates of the level. It is shorter than
	// the time that a new level takes to reach the entry nodes through a chain of
	// services.
	Interval time.Duration
	// Calls is the number of served calls after which an interval may end; otherwise it
	// ends after Stretch intervals. With fewer calls the counts of a small backend
	// server are mostly chance.
	Calls   float64
	Stretch int
	// Queue times the square root of the limit is the target queue length: enough to
	// keep the slots busy through random gaps between arrivals. A longer queue only
	// delays callers.
	Queue float64
	// Settle is the number of intervals in which the queue is brought to its target
	// length.
	Settle float64
	// Surplus is the extra share of calls that the node itself admits beyond the
	// published level, so that a request that its entry node admitted by a slightly old
	// level is not refused here after work was spent on it.
	Surplus float64
	// Probe bounds the growth of the admitted rate from one interval to the next while
	// the limit is not in use.
	Probe float64
	// Fade is the weight that an arrival keeps after one interval. It averages over
	// several intervals, since the arrivals of one interval at one of many nodes are
	// mostly chance.
	Fade float64
	// Memory is the half-life of the estimated arrival rate of an importance of which
	// nothing is admitted.
	Memory time.Duration
	// RetryMin and RetryMax bound the Retry-After time proposed to callers.
	RetryMin, RetryMax time.Duration
}

// DefaultGateConfig returns the settings of a node on the platform.
func DefaultGateConfig() GateConfig {
	return GateConfig{
		Interval: 50 * time.Millisecond,
		Calls:    15,
		Stretch:  4,
		Queue:    1,
		Settle:   6,
		Surplus:  0.15,
		Probe:    2,
		Fade:     0.85,
		Memory:   time.Second,
		RetryMin: 200 * time.Millisecond,
		RetryMax: 10 * time.Second,
	}
}

// LevelsConfig configures Levels.
type LevelsConfig struct {
	// Fresh is how long a reported level stays in force without another report.
	Fresh time.Duration
	// Decay is the time in which the level then falls to zero.
	Decay time.Duration
	// Quantile of the levels of a service's nodes that is taken as the level of the
	// service. At one half or below, so that a slow node does not close its service.
	Quantile float64
	// Services bounds the number of services remembered, and Nodes the number of nodes
	// remembered for each.
	Services, Nodes int
	// Report bounds the number of levels that a reply carries.
	Report int
	// RetryMin and RetryMax bound the Retry-After time proposed to callers.
	RetryMin, RetryMax time.Duration
}

// DefaultLevelsConfig returns the settings of a node on the platform.
func DefaultLevelsConfig() LevelsConfig {
	return LevelsConfig{
		Fresh:    500 * time.Millisecond,
		Decay:    500 * time.Millisecond,
		Quantile: 0.5,
		Services: 256,
		Nodes:    32,
		Report:   16,
		RetryMin: 200 * time.Millisecond,
		RetryMax: 10 * time.Second,
	}
}
