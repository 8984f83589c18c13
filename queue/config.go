package queue

import "time"

// Config configures a Queue.
type Config struct {
	// MaxItems bounds the number of waiting items, and so their memory.
	MaxItems int
	// MinItems is the bound while the service rate is unknown, and the least bound for
	// slow backend servers: a few calls must be able to wait, or every short burst
	// would be shed.
	MinItems int
	// MaxWait bounds the queue by time: it holds at most what the measured service rate
	// serves in this time. A longer queue adds latency and no throughput.
	MaxWait time.Duration
	// OverloadAfter is how long the queue must have been non-empty to change its order
	// from oldest first to newest first. A burst has drained by then; under overload
	// the oldest items are about to expire.
	OverloadAfter time.Duration
	// WaitShare is the share of its spare time that an item may wait. The rest is a
	// margin for calls that take longer than Item.ExpectedRunTime.
	WaitShare float64
	// YieldShare is the share of its spare time for which an item yields to later
	// items with less spare time. Those are closer to the deadline of their request,
	// and the work spent on it is lost if they are late.
	YieldShare float64
	// RateSpan is the busy time over which the service rate is averaged.
	RateSpan time.Duration
	// RateCalls is the number of served items from which the service rate is known.
	RateCalls int
	// ImportanceShift is the number of low bits of a priority below the importance.
	ImportanceShift uint
}

// DefaultConfig returns settings that match the priorities of package admission.
func DefaultConfig() Config {
	return Config{
		MaxItems:        1024,
		MinItems:        16,
		MaxWait:         100 * time.Millisecond,
		OverloadAfter:   100 * time.Millisecond,
		WaitShare:       0.5,
		RateSpan:        time.Second,
		RateCalls:       16,
		ImportanceShift: 14,
	}
}
