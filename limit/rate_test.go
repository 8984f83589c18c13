package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a bucket that fills while nothing starts, or that a lower limit leaves full.
func TestRateHoldsFewTokens(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &Rate{}
	take := func() (n int) {
		for r.Ready(now) && n < 1000 {
			r.Started(now)
			n++
		}
		return n
	}
	is.Equal(take(), 1000) // no limit is named
	r.Learn(now, Statement{Named: true, PerSecond: 100})
	is.Equal(take(), 0)
	now = now.Add(time.Hour)
	is.Equal(take(), maxBurst)
	now = now.Add(time.Hour)
	r.Learn(now, Statement{Named: true, PerSecond: 4, RequestStarted: now})
	is.Equal(take(), 2)
	is.Equal(r.Wait(now, 2), 500*time.Millisecond)
	now = now.Add(time.Hour)
	r.Learn(now, Statement{RequestStarted: now})
	is.Equal(take(), 1000)
}

// Guards against a peer's older limit that replaces what the backend server has said to this
// process.
func TestLimitOfPeersIsProvisional(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &Rate{}
	limit := func() float64 {
		perSecond, named := r.Limit()
		is.True(named)
		return perSecond
	}
	r.LearnFromPeer(now, 10)
	r.LearnFromPeer(now, 50)
	is.Equal(limit(), 10.0)
	r.LearnFromPeer(now, 5)
	is.Equal(limit(), 5.0)
	now = now.Add(time.Second)
	r.Learn(now, Statement{Named: true, PerSecond: 50, RequestStarted: now})
	r.LearnFromPeer(now, 5)
	is.Equal(limit(), 50.0)
	is.Equal(r.Changes(), 3)
}

// Guards against a rate of starts that counts those of long ago.
func TestStartsPerSecond(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	r := &Rate{}
	for range 200 {
		now = now.Add(50 * time.Millisecond)
		r.Started(now)
	}
	rate := r.Dump(now).StartsPerSecond
	is.True(rate > 17 && rate < 21)
	is.Equal(r.Dump(now.Add(time.Minute)).StartsPerSecond, 0.0)
}
