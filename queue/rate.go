package queue

import "time"

// rate measures how many items are served per second while items wait.
type rate struct {
	cfg    Config
	since  time.Time
	last   time.Time
	busy   time.Duration
	served float64
}

// minWait is the least time for which the queue must have been non-empty: an
// item that passes through an idle queue says nothing about the service rate.
const minWait = time.Millisecond

// start notes that the queue becomes non-empty.
func (r *rate) start(now time.Time) {
	r.since = now
	r.last = now
}

func (r *rate) serve(now time.Time) {
	if now.Sub(r.since) < minWait {
		return
	}
	r.busy += now.Sub(r.last)
	r.last = now
	r.served++
	if r.busy > r.cfg.RateSpan {
		r.busy /= 2
		r.served /= 2
	}
}

// wait estimates how long n items take; zero while the rate is unknown. The
// time since the last item counts too, so that a backend server that has
// stopped is noticed before it serves again.
func (r *rate) wait(now time.Time, n int) time.Duration {
	if r.served < float64(r.cfg.RateCalls) {
		return 0
	}
	busy := r.busy + max(0, now.Sub(r.last))
	return time.Duration(float64(busy) / r.served * float64(n))
}

// within is the number of items served in a time; false if unknown.
func (r *rate) within(d time.Duration) (int, bool) {
	if r.served < float64(r.cfg.RateCalls) || r.busy <= 0 {
		return 0, false
	}
	return int(r.served / r.busy.Seconds() * d.Seconds()), true
}
