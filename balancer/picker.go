// Package balancer chooses the node that a call is sent to, among the
// candidates of one service. It knows them by its own calls: how many are in
// flight, how long they took, how they ended, and the load that came back with
// each answer.
package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Outcome says how a call ended for the choice of candidates.
type Outcome uint8

const (
	// Success: the backend server answered, whatever its answer was.
	Success Outcome = iota
	// Refused: the node had no room or could not serve; others may.
	Refused
	// Failed: the call was lost or could not be sent.
	Failed
	// Abandoned: the deadline passed or the caller went away first. The
	// latency is what the call took at least.
	Abandoned
	// Neutral: the answer says nothing about the node's load, like a refusal
	// for the content of the request.
	Neutral
)

// Result of one call.
type Result struct {
	Latency time.Duration
	Outcome Outcome
	// InFlight and Limit are the node's own measure as it came with the
	// reply; Limit is zero if there was none.
	InFlight int
	Limit    int
	// Faults is the share of the backend server's latest requests that it failed,
	// by the node beside it; it comes with Limit.
	Faults float64
}

// Picker chooses among the candidates of one service. It is not safe for
// concurrent use.
type Picker struct {
	cfg        Config
	self       wire.NodeID
	dataCentre string
	rng        *rand.Rand

	members map[wire.NodeID]*member
	// active are the members of the subset, the own data centre first.
	active []*member
	known  int

	median      float64
	usualLimit  float64
	usualFaults float64
	evaluatedAt time.Time
	leftNow     int
	sinceProbe  int

	pools    [classes]pool
	scratch  []float64
	counters Counters
}

// New returns a Picker for the node self in the given data centre.
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

// Pick chooses a candidate that is not excluded and counts a call in flight
// there until Done. False if there is none.
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
	p.sinceProbe++
	p.counters.Picks++
	if !m.local {
		p.counters.Remote++
	}
	return m.ID, true
}

// probe returns a straggler whose turn it is to show whether it recovered.
func (p *Picker) probe(now time.Time, exclude []wire.NodeID) *member {
	if p.leftNow == 0 || p.sinceProbe < p.cfg.ProbePicks {
		return nil
	}
	var due *member
	for _, m := range p.active {
		if !m.left || m.inFlight > 0 || m.resting(now) || slices.Contains(exclude, m.ID) {
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
	p.sinceProbe = 0
	p.counters.Probes++
	return due
}

// Done tells how a picked call ended.
func (p *Picker) Done(now time.Time, id wire.NodeID, r Result) {
	m := p.members[id]
	if m == nil || m.inFlight == 0 {
		return
	}
	m.inFlight--
	m.report(now, r)
	switch r.Outcome {
	case Success:
		m.failures = 0
		p.measure(m, r.Latency, false)
	case Refused:
		m.failures = 0
		m.refused = true
		m.fullUntil = now.Add(p.jitter(p.cfg.RefusedFor))
		p.counters.Refused++
	case Failed:
		p.eject(now, m)
	case Neutral:
		m.failures = 0
	case Abandoned:
		p.measure(m, r.Latency, true)
	}
	if !m.active && m.inFlight == 0 {
		delete(p.members, id)
	}
}

// Unreachable tells that a candidate gives no sign on its connection: it rests as
// after a failed call, before the calls that wait there have ended.
func (p *Picker) Unreachable(now time.Time, id wire.NodeID) {
	if m := p.members[id]; m != nil {
		p.eject(now, m)
	}
}

// eject rests a candidate after a failure, longer with each one in a row.
func (p *Picker) eject(now time.Time, m *member) {
	// Calls that were in flight together fail together: they count once.
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

// jitter returns between half and one and a half of d, so that the nodes that
// saw the same failure do not come back at the same moment.
func (p *Picker) jitter(d time.Duration) time.Duration {
	return d/2 + time.Duration(p.rng.Int64N(int64(d)+1))
}
