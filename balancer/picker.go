// Package balancer chooses the node that receives a call, among the candidates of one
// service. It relies on this node's own calls: how many are in flight, their latency
// and outcome, and the load reported with each answer.
package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Outcome is the result of a call as far as it matters for the choice of candidates.
type Outcome uint8

const (
	// Success: the backend server answered, even with an error.
	Success Outcome = iota
	// Refused: the node was at capacity or could not serve; other nodes may.
	Refused
	// Failed: the call was lost or could not be sent.
	Failed
	// Abandoned: the deadline passed or the caller cancelled before the answer. The
	// latency is a lower bound.
	Abandoned
	// Neutral: the answer says nothing about the node's load, for example a refusal
	// because of the content of the request.
	Neutral
)

// Result describes a finished call.
type Result struct {
	Latency time.Duration
	Outcome Outcome
	// InFlight and Limit are the load report that came with the reply; Limit is zero
	// if there was none.
	InFlight int
	Limit    int
	// Faults is the failure rate of the backend server's recent requests, from 0 to
	// 1, as measured by its node. It is valid only if Limit is set.
	Faults float64
	// Work is how long the backend server itself usually works on a call, and Slowdown
	// how many times as long at present; zero if the reply does not tell.
	Work     time.Duration
	Slowdown float64
}

// Picker chooses among the candidates of one service. It is not safe for
// concurrent use.
type Picker struct {
	cfg        Config
	self       wire.NodeID
	dataCentre string
	rng        *rand.Rand

	members map[wire.NodeID]*member
	// active are the members in use, those of the local data centre first.
	active          []*member
	knownCandidates int

	medianLatency   float64
	medianLimit     float64
	medianErrorRate float64
	// medianWork is zero if no member has told how long it works on a call.
	medianWork      float64
	evaluatedAt     time.Time
	stragglers      int
	picksSinceProbe int

	pools    [numClasses]pool
	scratch  []float64
	counters Counters
}

// New returns a Picker for the node self in the given data centre. src makes the random
// choices reproducible.
func New(cfg Config, self wire.NodeID, dataCentre string, src rand.Source) *Picker {
	p := &Picker{
		cfg:        cfg,
		self:       self,
		dataCentre: dataCentre,
		rng:        rand.New(src),
		members:    make(map[wire.NodeID]*member),
		scratch:    make([]float64, 0, cfg.Subset),
	}
	for i := range p.pools {
		p.pools[i] = newPool(cfg.Subset)
	}
	p.evaluate(time.Time{})
	return p
}

// Pick returns a candidate that is not excluded and counts a call in flight there until
// Done. It returns false if there is no such candidate.
func (p *Picker) Pick(now time.Time, exclude []wire.NodeID) (wire.NodeID, bool) {
	if now.Sub(p.evaluatedAt) >= p.cfg.EvaluateEvery {
		p.evaluate(now)
	}
	m := p.probe(now, exclude)
	if m == nil {
		m = p.choose(now, exclude)
	}
	if m == nil {
		p.counters.NoCandidate++
		return wire.NodeID{}, false
	}
	m.inFlight++
	p.picksSinceProbe++
	p.counters.Picks++
	if !m.local {
		p.counters.Remote++
	}
	return m.ID, true
}

// probe returns the straggler that is due for a probe, or nil.
func (p *Picker) probe(now time.Time, exclude []wire.NodeID) *member {
	if p.stragglers == 0 || p.picksSinceProbe < p.cfg.ProbePicks {
		return nil
	}
	var due *member
	for _, m := range p.active {
		if !m.straggler || m.inFlight > 0 || m.isEjected(now) || slices.Contains(exclude, m.ID) {
			continue
		}
		if now.Sub(m.probedAt) < p.cfg.ProbeEvery {
			continue
		}
		if due == nil || m.probedAt.Before(due.probedAt) {
			due = m
		}
	}
	if due == nil {
		return nil
	}
	due.probedAt = now
	p.picksSinceProbe = 0
	p.counters.Probes++
	return due
}

// Done records the result of a call to a picked candidate.
func (p *Picker) Done(now time.Time, id wire.NodeID, r Result) {
	m := p.members[id]
	if m == nil || m.inFlight == 0 {
		return
	}
	m.inFlight--
	m.applyReport(now, r)
	switch r.Outcome {
	case Success:
		m.failures = 0
		p.recordLatency(m, r.Latency, false)
	case Refused:
		m.failures = 0
		m.refused = true
		m.fullUntil = now.Add(p.jitter(p.cfg.RefusalBackoff))
		p.counters.Refused++
	case Failed:
		p.eject(now, m)
	case Neutral:
		m.failures = 0
	case Abandoned:
		p.recordLatency(m, r.Latency, true)
	}
	if !m.active && m.inFlight == 0 {
		delete(p.members, id)
	}
}

// Unreachable ejects a candidate whose connection has gone silent, before the calls
// that wait there have failed.
func (p *Picker) Unreachable(now time.Time, id wire.NodeID) {
	if m := p.members[id]; m != nil {
		p.eject(now, m)
	}
}

// eject stops the use of a candidate for a time that doubles with each consecutive
// failure.
func (p *Picker) eject(now time.Time, m *member) {
	// Calls in flight to a failed candidate fail together and count as one failure.
	if now.Before(m.ejectedUntil) {
		return
	}
	rest := p.cfg.EjectBase << min(m.failures, maxDoublings)
	m.failures++
	m.ejectedUntil = now.Add(p.jitter(min(rest, p.cfg.EjectMax)))
	p.counters.Ejections++
}

// maxDoublings keeps the shift in eject from overflowing.
const maxDoublings = 10

// jitter returns a random duration from d/2 to 3d/2, so that the nodes that saw the same
// failure don't all retry at the same moment.
func (p *Picker) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Int64N(int64(d)+1))
}
