package poison

import "time"

// bucket is a token bucket driven by injected time.
type bucket struct {
	rate  float64
	burst float64
	spent float64
	last  time.Time
}

func (b *bucket) take(now time.Time) bool {
	if elapsed := now.Sub(b.last); elapsed > 0 {
		b.spent = max(0, b.spent-elapsed.Seconds()*b.rate)
		b.last = now
	}
	if b.spent+1 > b.burst {
		return false
	}
	b.spent++
	return true
}
