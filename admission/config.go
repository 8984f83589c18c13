package admission

import "time"

// GateConfig of a Gate. Shares are fractions of one.
type GateConfig struct {
	// Interval is how often the level is set. It holds some dozens of calls
	// at a small backend server and is short against a caller's patience.
	Interval time.Duration
	// TargetWait is the mean wait in the queue from which the node counts
	// as overloaded: enough to keep every slot busy, little beside a
	// call's latency.
	TargetWait time.Duration
	// ShedShare is the share of arrivals shed by the queue that counts as
	// overload.
	ShedShare float64
	// Surplus is how much more than was served is admitted by the node
	// itself. Callers' nodes are told a stricter level (see Reserve), so
	// that a request admitted there on slightly old news is not refused
	// here after work was spent on it.
	Surplus float64
	// Reserve is how much less than was served the callers' nodes are told
	// to send while the queue is too long.
	Reserve float64
	// Probe is how much more the level admits per interval while the queue
	// is short.
	Probe float64
	// Memory is the half-life of the arrival rates of closed importances.
	Memory time.Duration
}

// DefaultGateConfig is what the policy bench was tuned to.
func DefaultGateConfig() GateConfig {
	return GateConfig{
		Interval:   100 * time.Millisecond,
		TargetWait: 20 * time.Millisecond,
		ShedShare:  0.02,
		Surplus:    0.1,
		Reserve:    0.05,
		Probe:      0.05,
		Memory:     time.Second,
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
	// Nodes bounds the number of nodes remembered for each service.
	Nodes int
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
		Nodes:    32,
		Report:   16,
		RetryMin: 200 * time.Millisecond,
		RetryMax: 10 * time.Second,
	}
}
