package balancer

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

const (
	// latencyWeight of a new sample. Latencies are averaged as logarithms:
	// one call of a thousand times the usual length moves the average by a
	// factor of 1.5 only, and a mix of short and long operations does not
	// make it jump between the two as a median of few samples would.
	latencyWeight = 1.0 / 16
	// minLatency keeps the logarithm finite.
	minLatency = time.Microsecond
)

// member is a candidate in use, or one no longer in use that calls are still
// in flight to.
type member struct {
	Candidate
	active   bool
	local    bool
	inFlight int

	// limit and others are what the node reported: its limit, and its load
	// without the calls of this Picker.
	limit      float64
	others     float64
	reportedAt time.Time
	faults     float64
	refused    bool
	fullUntil  time.Time

	// fresh and share are brought up to date at each evaluation: they change
	// over seconds, and times are dear to compute with at each Pick.
	fresh float64
	share float64

	logLatency float64
	samples    int
	// slowRun and fastRun count the latest latencies in a row above the bar
	// for leaving and below the one for returning.
	slowRun int
	fastRun int

	rampFrom time.Time
	ramp     time.Duration

	left      bool
	leftSince time.Time
	probedAt  time.Time

	failures     int
	ejectedUntil time.Time
}

func (m *member) latency() float64 { return math.Exp(m.logLatency) }

// measure takes a latency in; atLeast says that the call ended without an
// answer and would have taken longer.
func (m *member) measure(d time.Duration, atLeast bool) {
	sample := math.Log(float64(max(d, minLatency)))
	if atLeast && sample <= m.logLatency {
		return
	}
	weight := max(latencyWeight, 1/float64(m.samples+1))
	m.logLatency += weight * (sample - m.logLatency)
	m.samples++
}

// report takes in the load that the node gave with its answer.
func (m *member) report(now time.Time, r Result) {
	if r.Limit <= 0 {
		return
	}
	m.limit = float64(r.Limit)
	m.others = max(0, float64(r.InFlight-m.inFlight))
	m.faults = r.Faults
	m.reportedAt = now
	m.fresh = 1
}

// load estimates the calls in flight at the candidate relative to its limit:
// the own ones exactly, the others as last reported and fading.
func (m *member) load(usualLimit float64) float64 {
	limit := m.limit
	if limit == 0 {
		limit = usualLimit
	}
	return (float64(m.inFlight) + m.others*m.fresh) / limit
}

// age brings up to date what changes with time.
func (m *member) age(now time.Time, cfg *Config, median float64) {
	fresh := 1 - float64(now.Sub(m.reportedAt))/float64(cfg.ReportFor)
	m.fresh = min(max(fresh, 0), 1)
	m.refused = now.Before(m.fullUntil)
	m.share = m.shareAt(now, cfg.MinShare, median)
}

// shareAt is the part of a warm candidate's calls that this one gets: it grows
// with time, and more slowly while its latency is above the median.
func (m *member) shareAt(now time.Time, minShare, median float64) float64 {
	elapsed := now.Sub(m.rampFrom)
	if elapsed >= m.ramp {
		return 1
	}
	grown := float64(max(elapsed, 0)) / float64(m.ramp)
	if median > 0 && m.samples > 0 {
		grown *= min(1, median/m.latency())
	}
	return max(minShare, grown)
}

func (m *member) startRamp(now time.Time, ramp time.Duration) {
	m.rampFrom = now
	m.ramp = ramp
}

// full reports whether another call would only wait or be refused.
func (m *member) full(now time.Time, load float64) bool {
	return load >= 1 || m.refused && now.Before(m.fullUntil)
}

// resting reports whether the candidate must not be used after a failure.
// When that time is over one call at a time goes there until one succeeds, so
// that not all callers run into the same failure again.
func (m *member) resting(now time.Time) bool {
	if m.failures == 0 {
		return false
	}
	return now.Before(m.ejectedUntil) || m.inFlight > 0
}

// Candidate is one node that may take calls for the service.
type Candidate struct {
	ID         wire.NodeID
	DataCentre string
	// Since is when its backend server was seen ready, for the slow start;
	// zero if it is not known to be new.
	Since time.Time
}
