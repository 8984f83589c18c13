// Package retry bounds the attempts that the system makes beyond the first
// one of each call.
//
// A request enters with an allowance of extra attempts. The node that runs a
// call keeps the call's share in a Ledger: a child call takes a grant out of
// it, a reply returns what the callee did not use, and an attempt beyond the
// first spends one. No extra attempt is ever created, only handed on, so for
// any shape of the call tree:
//
//	attempts <= calls + allowance
//
// where the calls are those that callers and backend servers made. An extra
// attempt runs its callee again, which makes its own calls again; each has one
// first attempt. Against the call tree as declared this is
//
//	attempts <= calls declared x (1 + allowance)
//
// which grows with the size of the tree and not with a power of its depth.
//
// The Budget is a second bound, for each node: over all requests the extra
// attempts are a small share of the calls. It keeps many requests that each
// stay within their allowance from doubling the load of a service that fails.
package retry

import (
	"fmt"
	"time"
)

// Config of the node's budget and of its memory of requests.
type Config struct {
	// Ratio is the number of extra attempts earned by one call. At 0.1 a
	// service whose every call fails sees at most a tenth more load.
	Ratio float64
	// Burst is the largest number of extra attempts that can be saved up. It
	// also sets what counts as recent: the last Burst/Ratio calls. 10 covers
	// the calls in flight to one backend server that is killed.
	Burst float64
	// Nodes is for how many nodes Burst is meant; where there are more, each has
	// less. Zero leaves it as it is.
	Nodes int
	// MinPerSecond is earned without any call, so that a node with little
	// traffic can make an extra attempt too. At 0.1 a quiet node makes one in
	// ten seconds, which loads nobody.
	MinPerSecond float64
	// Window, if above zero, replaces the bucket: what the calls of the last
	// Window have earned and was not spent may be spent at once, and Burst
	// beyond it. A bucket that holds ten attempts loses what a calm time earns.
	Window time.Duration
	// Services bounds the services with a budget of their own; the rest share
	// one.
	Services int
	// MaxRequests bounds the requests remembered for their resends.
	// 16384 are 40 s of entries at 400 a second.
	MaxRequests int
	// RequestMemory is how long a request is remembered. A minute is longer
	// than callers go on resending one request.
	RequestMemory time.Duration
}

// DefaultConfig returns the settings that the defaults' reasons are given for.
func DefaultConfig() Config {
	return Config{
		Ratio: 0.1, Burst: 10, MinPerSecond: 0.1, Services: 1024,
		MaxRequests: 16384, RequestMemory: time.Minute,
	}
}

// Check names the first setting that is out of its range.
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
	if c.MaxRequests < 1 || c.RequestMemory < 0 {
		return fmt.Errorf("retry memory of %d requests for %v: want 1 or more and no negative time",
			c.MaxRequests, c.RequestMemory)
	}
	return nil
}
