package queue

import "time"

// Config of a Queue.
type Config struct {
	// MaxItems bounds the memory that waiting calls take.
	MaxItems int
	// MinItems is the bound before the service rate is known and for slow
	// backend servers: a few calls must be able to wait, or every short
	// burst would be shed.
	MinItems int
	// MaxWait bounds the queue by time: it holds at most what the measured
	// service rate serves in this time. A longer queue only makes answers
	// later, not more.
	MaxWait time.Duration
	// OverloadAfter is how long the queue must have been non-empty for its
	// order to change from oldest first to newest first. A burst is gone
	// sooner; under overload the oldest items are the ones whose callers
	// are about to give up.
	OverloadAfter time.Duration
	// WaitShare is the share of its spare time that an item may wait. One that
	// is served with only the usual service time left fails half the time,
	// after the work was done.
	WaitShare float64
	// SoonerShare of its spare time is how long an item lets later ones go first
	// that have less: those are nearer to the end of their request, and what was
	// done for it is lost if they come too late.
	SoonerShare float64
	// RateSpan is the busy time over which the service rate is averaged.
	RateSpan time.Duration
	// RateCalls is the number of served items that make the rate known.
	RateCalls int
	// ImportanceShift is the number of low bits of a priority that do not
	// belong to the importance.
	ImportanceShift uint
}

// DefaultConfig matches package admission's priorities.
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
