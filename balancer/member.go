package balancer

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

const (
	// latencyWeight is the weight of a new sample in the moving average. The average is
	// geometric, so that one very slow call, or a mix of short and long operations,
	// doesn't move it far.
	latencyWeight = 1.0 / 16
	// minLatency is the least latency counted, to keep the logarithm finite.
	minLatency = time.Microsecond
)

// member is a candidate in use, or one that was removed while calls are in flight to it.
type member struct {
	Candidate
	active   bool
	local    bool
	inFlight int

	// limit and othersInFlight come from the node's latest load report: its concurrency
	// limit, and its calls in flight without those of this Picker.
	limit          float64
	othersInFlight float64
	reportedAt     time.Time
	errorRate      float64
	// work is how long the backend server itself usually works on a call, in nanoseconds,
	// and slowdown how many times as long it did at reportedAt; zero if unknown.
	work, slowdown float64
	refused        bool
	fullUntil      time.Time

	// reportWeight and share change slowly; refresh updates them at each evaluation,
	// since computing them at each Pick is expensive.
	reportWeight float64
	share        float64

	logLatency float64
	samples    int
	// slowStreak and fastStreak count consecutive latencies above the threshold for
	// stragglers and below the threshold for readmission.
	slowStreak int
	fastStreak int

	rampStart    time.Time
	rampDuration time.Duration

	straggler      bool
	stragglerSince time.Time
	probedAt       time.Time

	failures     int
	ejectedUntil time.Time
}

func (m *member) latency() float64 { return math.Exp(m.logLatency) }

// recordLatency adds a latency to the average. atLeast marks a call that ended without
// an answer, so that its latency is a lower bound; it only raises the average.
func (m *member) recordLatency(d time.Duration, atLeast bool) {
	sample := math.Log(float64(max(d, minLatency)))
	if atLeast && sample <= m.logLatency {
		return
	}
	weight := max(latencyWeight, 1/float64(m.samples+1))
	m.logLatency += weight * (sample - m.logLatency)
	m.samples++
}

// applyReport stores the load report that came with an answer.
func (m *member) applyReport(now time.Time, r Result) {
	if r.Limit <= 0 {
		return
	}
	m.limit = float64(r.Limit)
	m.othersInFlight = max(0, float64(r.InFlight-m.inFlight))
	m.errorRate = r.Faults
	m.work, m.slowdown = float64(r.Work), r.Slowdown
	m.reportedAt = now
	m.reportWeight = 1
}

// load estimates the calls in flight at the candidate as a fraction of its limit: the
// exact number of this Picker's calls plus the last report of others, weighted by age.
func (m *member) load(medianLimit float64) float64 {
	limit := m.limit
	if limit == 0 {
		limit = medianLimit
	}
	return (float64(m.inFlight) + m.othersInFlight*m.reportWeight) / limit
}

// refresh updates the fields that change with time.
func (m *member) refresh(now time.Time, cfg *Config, median float64) {
	reportWeight := 1 - float64(now.Sub(m.reportedAt))/float64(cfg.ReportTTL)
	m.reportWeight = min(max(reportWeight, 0), 1)
	m.refused = now.Before(m.fullUntil)
	m.share = m.shareAt(now, cfg.MinShare, median)
}

// shareAt returns the share of calls that the candidate gets, where a warm one gets 1.
// It grows with time, and more slowly while the latency is above the median.
func (m *member) shareAt(now time.Time, minShare, median float64) float64 {
	elapsed := now.Sub(m.rampStart)
	if elapsed >= m.rampDuration {
		return 1
	}
	grown := float64(max(elapsed, 0)) / float64(m.rampDuration)
	if median > 0 && m.samples > 0 {
		grown *= min(1, median/m.latency())
	}
	return max(minShare, grown)
}

func (m *member) startRamp(now time.Time, rampDuration time.Duration) {
	m.rampStart = now
	m.rampDuration = rampDuration
}

// full reports whether another call would be queued or refused.
func (m *member) full(now time.Time, load float64) bool {
	return load >= 1 || m.refused && now.Before(m.fullUntil)
}

// isEjected reports whether the candidate is not used because of a failure. When the
// ejection ends, one call at a time is sent until one succeeds, so that not all calls
// meet the same failure again.
func (m *member) isEjected(now time.Time) bool {
	if m.failures == 0 {
		return false
	}
	return now.Before(m.ejectedUntil) || m.inFlight > 0
}

// Candidate is a node that accepts calls for the service.
type Candidate struct {
	ID         wire.NodeID
	DataCentre string
	// Since is when its backend server was seen ready, for the slow start;
	// zero if it is not known to be new.
	Since time.Time
}
