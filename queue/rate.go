package queue

import "time"

// rate measures the service rate: how many items are served per second while items
// wait.
type rate struct {
	cfg        Config
	busySince  time.Time
	lastServed time.Time
	busy       time.Duration
	served     float64
}

// minWait is the least time for which the queue must have been non-empty: an item that
// passes through an idle queue tells nothing about the service rate.
const minWait = time.Millisecond

// start records that the queue becomes non-empty.
func (r *rate) start(now time.Time) {
	r.busySince = now
	r.lastServed = now
}

// recordServed records that an item is served.
func (r *rate) recordServed(now time.Time) {
	if now.Sub(r.busySince) < minWait {
		return
	}
	r.busy += now.Sub(r.lastServed)
	r.lastServed = now
	r.served++
	if r.busy > r.cfg.RateSpan {
		r.busy /= 2
		r.served /= 2
	}
}

// wait estimates how long it takes to serve n items, and returns zero while the rate is
// unknown. The time since the last item counts, so that a stopped backend server is
// detected before it serves again.
func (r *rate) wait(now time.Time, n int) time.Duration {
	if r.served < float64(r.cfg.RateCalls) {
		return 0
	}
	busy := r.busy + max(0, now.Sub(r.lastServed))
	return time.Duration(float64(busy) / r.served * float64(n))
}

// within returns the number of items served in a time span, and false if the rate is
// unknown.
func (r *rate) within(d time.Duration) (int, bool) {
	if r.served < float64(r.cfg.RateCalls) || r.busy <= 0 {
		return 0, false
	}
	return int(r.served / r.busy.Seconds() * d.Seconds()), true
}
