package limit

import (
	"math"
	"time"
)

// Rate holds the rate limit that a backend server names, and paces the starts of requests
// by it with a token bucket. It is not safe for concurrent use.
//
// It answers a backend server that is in need while it has free slots: a limit on the
// requests in flight does not bound how many of them start in a second. The bucket is
// small, so that any few seconds see hardly more starts than the limit allows, and holds
// some tokens, so that starts that come late by a tick are made up for.
type Rate struct {
	named     bool
	perSecond float64
	// since is when the backend server first named a limit without interruption, and
	// namedAt is when the latest answer that named one arrived.
	since, namedAt time.Time
	// answered is set once an answer of the backend server has arrived.
	answered bool
	// changes counts the changes of the limit.
	changes  int
	tokens   float64
	filledAt time.Time
	starts   startMeter
}

const (
	// rateBurst is the content of a full bucket as a time at the limit, in addition to one
	// token.
	rateBurst = 250 * time.Millisecond
	// maxBurst is the largest content of a full bucket in requests: a limit can fall to nothing
	// right after they have started. With those of the time until the node learns of that it
	// stays within the 5 requests that a backend server tolerates beyond its limit.
	maxBurst = 4
	// minPerSecond is the lowest rate of starts. The end of a limit shows only in the
	// answer to a request.
	minPerSecond = 0.25
)

// Statement is what one answer of the backend server says about its rate limit.
type Statement struct {
	// Named says that the answer names a limit of PerSecond requests a second.
	Named     bool
	PerSecond float64
	// RequestStarted is when the request of the answer was handed over.
	RequestStarted time.Time
}

// Learn applies the statement of an answer that arrives now.
//
// Answers can overtake each other. Only an answer to a request that started after the
// latest statement of a limit is known to be newer, so only such an answer raises or ends
// the limit. A lower limit applies at once.
func (r *Rate) Learn(now time.Time, s Statement) {
	r.answered = true
	newer := s.RequestStarted.After(r.namedAt)
	switch {
	case s.Named && (!r.named || newer || s.PerSecond < r.perSecond):
		r.set(now, s.PerSecond)
	case !s.Named && r.named && newer:
		r.named = false
		r.changes++
	}
}

// LearnFromPeer applies a limit that the backend server named in an answer to an earlier
// process of this node. Answers to this process take precedence.
func (r *Rate) LearnFromPeer(now time.Time, perSecond float64) {
	if r.answered || r.named && perSecond >= r.perSecond {
		return
	}
	r.set(now, perSecond)
}

func (r *Rate) set(now time.Time, perSecond float64) {
	if !r.named || perSecond != r.perSecond {
		r.changes++
	}
	r.fill(now)
	if !r.named {
		r.since, r.tokens, r.filledAt = now, 0, now
	}
	r.named, r.perSecond, r.namedAt = true, perSecond, now
	r.tokens = min(r.tokens, r.burst())
}

// Reset forgets the limit, since another backend incarnation is in use.
func (r *Rate) Reset() {
	changes := r.changes
	if r.named {
		changes++
	}
	*r = Rate{changes: changes}
}

// Limit returns the limit in requests a second, and false if none is named.
func (r *Rate) Limit() (perSecond float64, named bool) { return r.perSecond, r.named }

// Changes returns how often the limit has changed.
func (r *Rate) Changes() int { return r.changes }

// Ready reports whether a request may start now.
func (r *Rate) Ready(now time.Time) bool {
	r.fill(now)
	return !r.named || r.tokens >= 1
}

// Started records the start of a request.
func (r *Rate) Started(now time.Time) {
	r.starts.add(now)
	if r.named {
		r.fill(now)
		r.tokens--
	}
}

// Wait returns the time until n more requests may have started.
func (r *Rate) Wait(now time.Time, n int) time.Duration {
	r.fill(now)
	if missing := float64(n) - r.tokens; r.named && missing > 0 {
		return time.Duration(missing / r.pace() * float64(time.Second))
	}
	return 0
}

// Within returns the number of requests that may start in a time span, and false if no
// limit is named.
func (r *Rate) Within(d time.Duration) (n float64, named bool) {
	return r.pace() * d.Seconds(), r.named
}

// fill adds the tokens of the time since the last call.
func (r *Rate) fill(now time.Time) {
	elapsed := now.Sub(r.filledAt)
	if !r.named || elapsed <= 0 {
		return
	}
	r.filledAt = now
	r.tokens = min(r.tokens+elapsed.Seconds()*r.pace(), r.burst())
}

func (r *Rate) pace() float64 { return max(r.perSecond, minPerSecond) }

func (r *Rate) burst() float64 { return min(maxBurst, 1+r.pace()*rateBurst.Seconds()) }

// RateState is the diagnostic state of a Rate.
type RateState struct {
	Named     bool    `json:"named"`
	PerSecond float64 `json:"per_second,omitempty"`
	// Since is when the backend server first named a limit without interruption.
	Since time.Time `json:"since,omitzero"`
	// StartsPerSecond is the mean rate of starts over the last few seconds.
	StartsPerSecond float64 `json:"starts_per_second"`
}

// Dump returns the state for diagnostics.
func (r *Rate) Dump(now time.Time) RateState {
	s := RateState{Named: r.named, StartsPerSecond: math.Round(10*r.starts.perSecond(now)) / 10}
	if r.named {
		s.PerSecond, s.Since = r.perSecond, r.since
	}
	return s
}

// The span of startMeter and its resolution.
const (
	meterBuckets = 8
	meterBucket  = 500 * time.Millisecond
)

// startMeter counts the starts of the last few seconds.
type startMeter struct {
	counts [meterBuckets]int
	origin time.Time
	latest int64 // index of the newest bucket since origin
}

func (m *startMeter) advance(now time.Time) {
	if m.origin.IsZero() {
		m.origin = now
	}
	index := int64(now.Sub(m.origin) / meterBucket)
	for m.latest < index {
		m.latest = max(m.latest+1, index-meterBuckets+1)
		m.counts[m.latest%meterBuckets] = 0
	}
}

func (m *startMeter) add(now time.Time) {
	m.advance(now)
	m.counts[m.latest%meterBuckets]++
}

func (m *startMeter) perSecond(now time.Time) float64 {
	m.advance(now)
	sum := 0
	for _, n := range m.counts {
		sum += n
	}
	return float64(sum) / (meterBuckets * meterBucket).Seconds()
}
