package admission

import "time"

// GateConfig of a Gate. Shares are fractions of one.
type GateConfig struct {
	// Interval is how often the level is set at most. It is short against the
	// time that a new level takes to reach callers' nodes through a chain.
	Interval time.Duration
	// Calls is the number of served calls that an interval holds before it
	// ends, unless it lasts for Stretch intervals: the counts of a small
	// backend server would be all chance.
	Calls   float64
	Stretch int
	// Queue times the square root of the limit is the number of calls that
	// should wait: what it takes to keep the slots busy through the chance
	// gaps between arrivals. More would only hold the slots of the callers.
	Queue float64
	// Settle is the number of intervals in which the queue is brought to its
	// target.
	Settle float64
	// Surplus is how much more the node itself admits than it tells callers'
	// nodes to send, so that a request admitted there on slightly old news
	// is not refused here after work was spent on it.
	Surplus float64
	// Probe is the factor by which more may be admitted from one interval to
	// the next while the limit is not in use.
	Probe float64
	// Fade is what an arrival counts for one interval later. The level follows the
	// mean of some three hundred milliseconds: taken from the last hundred, the
	// arrivals at one of many nodes are mostly chance.
	Fade float64
	// Memory is the half-life of the arrival rates of closed importances.
	Memory time.Duration
	// RetryMin and RetryMax bound the time to come back that is proposed.
	RetryMin, RetryMax time.Duration
}

// DefaultGateConfig is what the policy bench was tuned to.
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

// LevelsConfig of Levels.
type LevelsConfig struct {
	// Fresh is how long a learned level holds without being heard again.
	Fresh time.Duration
	// Decay is the time in which it then falls to zero.
	Decay time.Duration
	// Quantile of the nodes' levels that stands for a service. Below one
	// half, so that a straggler does not close its service.
	Quantile float64
	// Services bounds the number of services remembered, of which the graph
	// is meant to hold 200, and Nodes that of nodes for each.
	Services, Nodes int
	// Report bounds the number of levels passed on.
	Report int
	// RetryMin and RetryMax bound the time to come back that is proposed.
	RetryMin, RetryMax time.Duration
}

// DefaultLevelsConfig is what the policy bench was tuned to.
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
