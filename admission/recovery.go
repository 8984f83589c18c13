package admission

import (
	"math/rand/v2"
	"time"
)

// recovery measures how long overload lasts, that is, how long a level stays above
// zero.
type recovery struct {
	// overloadedSince is zero while the level is zero.
	overloadedSince time.Time
	// mean is the moving average of earlier overloads.
	mean time.Duration
}

// update records whether the level is above zero.
func (r *recovery) update(now time.Time, overloaded bool) {
	switch {
	case overloaded && r.overloadedSince.IsZero():
		r.overloadedSince = now
	case !overloaded && !r.overloadedSince.IsZero():
		r.add(now.Sub(r.overloadedSince))
		r.overloadedSince = time.Time{}
	}
}

func (r *recovery) add(duration time.Duration) {
	const smoothing = 4
	if r.mean == 0 {
		r.mean = duration
	}
	r.mean += (duration - r.mean) / smoothing
}

// retryAfter returns the mean duration of earlier overloads less the time elapsed in
// this one, or half of the elapsed time if that is more. Jitter keeps refused callers
// from retrying together.
func (r *recovery) retryAfter(now time.Time, minDelay, maxDelay time.Duration, rng *rand.Rand) time.Duration {
	elapsed := time.Duration(0)
	if !r.overloadedSince.IsZero() {
		elapsed = now.Sub(r.overloadedSince)
	}
	remaining := min(max(r.mean-elapsed, elapsed/2, minDelay), maxDelay)
	return remaining/2 + time.Duration(rng.Int64N(int64(remaining)))
}
