package admission

import (
	"math/rand/v2"
	"time"
)

// recovery measures how long a level stays above zero.
type recovery struct {
	raised time.Time
	mean   time.Duration
}

// follow notes whether the level is above zero.
func (r *recovery) follow(now time.Time, above bool) {
	switch {
	case above && r.raised.IsZero():
		r.raised = now
	case !above && !r.raised.IsZero():
		r.add(now.Sub(r.raised))
		r.raised = time.Time{}
	}
}

func (r *recovery) add(took time.Duration) {
	const memory = 4
	if r.mean == 0 {
		r.mean = took
	}
	r.mean += (took - r.mean) / memory
}

// retryAfter is the time that recovery took before, less what has passed of it;
// beyond that, half as long again as it has already lasted. The jitter keeps
// refused callers from coming back together.
func (r *recovery) retryAfter(now time.Time, least, most time.Duration, rng *rand.Rand) time.Duration {
	lasted := time.Duration(0)
	if !r.raised.IsZero() {
		lasted = now.Sub(r.raised)
	}
	left := min(max(r.mean-lasted, lasted/2, least), most)
	return left/2 + time.Duration(rng.Int64N(int64(left)))
}
