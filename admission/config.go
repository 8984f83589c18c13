package admission

import "time"

// GateConfig configures a Gate. Shares are fractions of one.
type GateConfig struct {
	// Interval is the least time between two updates of the level. It is shorter than
	// the time that a new level takes to reach the entry nodes through a chain of
	// services.
	Interval time.Duration
	// MinCalls is the number of served calls after which an interval may end; otherwise it
	// ends after MaxIntervals intervals. With fewer calls the counts of a small backend
	// server are mostly chance.
	MinCalls     float64
	MaxIntervals int
	// Queue times the square root of the limit is the target queue length: enough to
	// keep the slots busy through random gaps between arrivals. A longer queue only
	// delays callers.
	Queue float64
	// SettleIntervals is the number of intervals in which the queue is brought to its target
	// length.
	SettleIntervals float64
	// OwnSurplus is the extra share of calls that the node itself admits beyond the
	// published level, so that a request that its entry node admitted by a slightly old
	// level is not refused here after work was spent on it.
	OwnSurplus float64
	// MaxProbeGrowth bounds the growth of the admitted rate from one interval to the next while
	// the limit is not in use.
	MaxProbeGrowth float64
	// ArrivalDecay is the weight that an arrival keeps after one interval. It averages over
	// several intervals, since the arrivals of one interval at one of many nodes are
	// mostly chance.
	ArrivalDecay float64
	// ClosedHalfLife is the half-life of the estimated arrival rate of an importance of which
	// nothing is admitted.
	ClosedHalfLife time.Duration
	// RetryMin and RetryMax bound the Retry-After time proposed to callers.
	RetryMin, RetryMax time.Duration
}

// DefaultGateConfig returns the settings of a node on the platform.
func DefaultGateConfig() GateConfig {
	return GateConfig{
		Interval:        50 * time.Millisecond,
		MinCalls:        15,
		MaxIntervals:    4,
		Queue:           1,
		SettleIntervals: 6,
		OwnSurplus:      0.15,
		MaxProbeGrowth:  2,
		ArrivalDecay:    0.85,
		ClosedHalfLife:  time.Second,
		RetryMin:        200 * time.Millisecond,
		RetryMax:        10 * time.Second,
	}
}

// LevelsConfig configures Levels.
type LevelsConfig struct {
	// TTL is how long a reported level stays in force without another report.
	TTL time.Duration
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
		TTL:      500 * time.Millisecond,
		Decay:    500 * time.Millisecond,
		Quantile: 0.5,
		Services: 256,
		Nodes:    32,
		Report:   16,
		RetryMin: 200 * time.Millisecond,
		RetryMax: 10 * time.Second,
	}
}
