// Package retry limits the attempts that the system makes beyond the first attempt of each
// call.
//
// A request enters with an allowance of extra attempts. The node that runs a call keeps
// the call's part of it in a Ledger: a child call takes a Grant from it, a reply returns
// the attempts that the callee did not use, and each retry spends one. Extra attempts are
// passed on, never created, so for any call tree:
//
//	attempts <= calls + allowance
//
// where calls counts the calls made by callers and backend servers. A retry runs its
// callee again, which makes its own calls again. For the declared call tree this means
//
//	attempts <= declared calls x (1 + allowance)
//
// so retries grow linearly with the size of the tree, not exponentially with its depth.
//
// The Budget of each node is a second limit: over all requests, extra attempts are a small
// share of the calls. It keeps many requests, each within its allowance, from overloading a
// failing service.
package retry

import (
	"fmt"
	"time"
)

// Config configures the budgets and the memory of requests of a node.
type Config struct {
	// Ratio is the number of extra attempts that each call earns. It limits the load that
	// retries add to a failing service: at 0.1 to a tenth.
	Ratio float64
	// Burst is the maximum number of saved extra attempts. With Window it is the number
	// allowed beyond those that the calls have earned. 10 cover the calls in flight to one
	// backend server that is killed.
	Burst float64
	// FullBurstNodes is the number of nodes up to which each has the full Burst; beyond it the
	// burst of each node shrinks in proportion. Zero disables the scaling.
	FullBurstNodes int
	// MinPerSecond is the number of extra attempts earned per second without any call,
	// so that a node with little traffic can retry too: at 0.1 once in ten seconds.
	MinPerSecond float64
	// Window, if above zero, replaces the token bucket by a sliding window: the extra
	// attempts earned by the calls of the last Window can be spent at any time in it,
	// plus Burst. A bucket would discard those beyond Burst.
	Window time.Duration
	// ScarceShare is the share of a window's extra attempts below which those of low priority
	// are rejected. The rest goes to any request.
	ScarceShare float64
	// PaceTime is the time over which the remaining extra attempts of a window are spread: while
	// they are spent faster, those of low priority are rejected. Zero spends them at any rate.
	PaceTime time.Duration
	// ChargeFactor is how many times the extra attempts of a window may be spent before calls of
	// repeated runs are rejected, too. Rejecting them wastes the work of their runs.
	ChargeFactor float64
	// MaxServiceBudgets is the maximum number of services with their own budget; the others share
	// one.
	MaxServiceBudgets int
	// MaxRequests is the maximum number of requests remembered to recognise resends. 16384
	// are 40 s of entries at 400 a second.
	MaxRequests int
	// RequestMemory is how long a request is remembered. It should exceed the time for
	// which callers resend a request.
	RequestMemory time.Duration
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Ratio: 0.1, Burst: 10, MinPerSecond: 0.1, ScarceShare: 0.3, PaceTime: 4 * time.Second, ChargeFactor: 1.08, MaxServiceBudgets: 1024,
		MaxRequests: 16384, RequestMemory: time.Minute,
	}
}

// Check returns an error for the first setting that is out of range.
func (c Config) Check() error {
	if c.Ratio < 0 || c.Ratio > 1 {
		return fmt.Errorf("retry ratio %v: want 0 to 1", c.Ratio)
	}
	if c.Burst < 0 {
		return fmt.Errorf("retry burst %v: want 0 or more", c.Burst)
	}
	if c.MinPerSecond < 0 {
		return fmt.Errorf("retry minimum per second %v: want 0 or more", c.MinPerSecond)
	}
	if c.ScarceShare < 0 || c.ScarceShare > 1 {
		return fmt.Errorf("retry scarce share %v: want 0 to 1", c.ScarceShare)
	}
	if c.PaceTime < 0 {
		return fmt.Errorf("retry pace time %v: want 0 or more", c.PaceTime)
	}
	if c.ChargeFactor < 1 {
		return fmt.Errorf("retry charge factor %v: want 1 or more", c.ChargeFactor)
	}
	if c.MaxRequests < 1 || c.RequestMemory < 0 {
		return fmt.Errorf("retry memory of %d requests for %v: want 1 or more and no negative time",
			c.MaxRequests, c.RequestMemory)
	}
	return nil
}
