package poison

import "time"

// bucket is a token bucket. The caller passes the current time.
type bucket struct {
	rate  float64 // tokens per second
	burst float64 // capacity in tokens
	spent float64 // tokens in use
	last  time.Time
}

// allow takes one token and reports whether there was one.
func (b *bucket) allow(now time.Time) bool {
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
