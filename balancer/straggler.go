package balancer

import (
	"slices"
	"time"
)

// evaluate judges all candidates by their peers: which are stragglers, what a
// usual limit is.
func (p *Picker) evaluate(now time.Time) {
	p.evaluatedAt = now
	p.usualLimit = p.medianLimit()
	p.median = p.medianLatency()
	p.usualFaults = p.medianOf(func(m *member) (float64, bool) { return m.faults, m.limit > 0 })
	p.recover(now)
	p.leave(now)
	for _, m := range p.active {
		m.age(now, &p.cfg, p.median)
	}
}

func (p *Picker) medianLatency() float64 {
	return p.medianOf(func(m *member) (float64, bool) {
		return m.latency(), m.samples >= p.cfg.MinSamples
	})
}

func (p *Picker) medianLimit() float64 {
	usual := p.medianOf(func(m *member) (float64, bool) { return m.limit, m.limit > 0 })
	if usual == 0 {
		return float64(p.cfg.DefaultLimit)
	}
	return usual
}

// medianOf returns the lower median of what value gives for the candidates,
// zero if it gives nothing.
func (p *Picker) medianOf(value func(*member) (float64, bool)) float64 {
	p.scratch = p.scratch[:0]
	for _, m := range p.active {
		if v, ok := value(m); ok {
			p.scratch = append(p.scratch, v)
		}
	}
	if len(p.scratch) == 0 {
		return 0
	}
	slices.Sort(p.scratch)
	return p.scratch[(len(p.scratch)-1)/2]
}

// recover takes stragglers back whose probes are fast again, or that were left
// for so long that the judgement is out of date.
func (p *Picker) recover(now time.Time) {
	p.leftNow = 0
	for _, m := range p.active {
		if !m.left {
			continue
		}
		if p.mayReturn(m) || now.Sub(m.leftSince) >= p.cfg.MaxLeft {
			p.takeBack(now, m)
			continue
		}
		p.leftNow++
	}
	for p.leftNow > p.mayLeave() {
		p.takeBack(now, p.fastestLeft())
		p.leftNow--
	}
}

// mayReturn reports whether the probes of a straggler were fast and its backend
// server fails no more than others.
func (p *Picker) mayReturn(m *member) bool {
	return m.fastRun >= p.cfg.FastRun && m.faults <= p.usualFaults+p.cfg.ReturnFaults
}

func (p *Picker) takeBack(now time.Time, m *member) {
	m.left = false
	m.samples = 0
	m.slowRun = 0
	m.startRamp(now, p.cfg.ReturnRamp)
	p.counters.Returns++
}

func (p *Picker) fastestLeft() *member {
	var best *member
	for _, m := range p.active {
		if m.left && (best == nil || m.logLatency < best.logLatency) {
			best = m
		}
	}
	return best
}

// leave leaves the worst stragglers, as many as the bound allows. The
// latency of a candidate in slow start is not judged: its share is small already, and
// it is slow because it is new.
func (p *Picker) leave(now time.Time) {
	for p.leftNow < p.mayLeave() {
		m := p.worst(now)
		if m == nil {
			return
		}
		m.left = true
		m.fastRun = 0
		m.leftSince = now
		m.probedAt = now
		p.leftNow++
		p.counters.Leaves++
	}
}

// worst returns the candidate to leave next: one that fails before one that is slow.
func (p *Picker) worst(now time.Time) *member {
	var worst *member
	for _, m := range p.active {
		if m.left {
			continue
		}
		if p.fails(m) {
			return m
		}
		if now.Sub(m.rampFrom) < m.ramp || !p.straggles(m) {
			continue
		}
		if worst == nil || m.logLatency > worst.logLatency {
			worst = m
		}
	}
	return worst
}

// fails reports whether a candidate's backend server fails more than others.
func (p *Picker) fails(m *member) bool {
	return m.faults > p.usualFaults+p.cfg.LeaveFaults
}

func (p *Picker) straggles(m *member) bool {
	if m.slowRun >= p.cfg.SlowRun {
		return true
	}
	return m.samples >= p.cfg.MinSamples && m.latency() > p.bar(p.cfg.LeaveFactor)
}

// mayLeave bounds the stragglers left at one time: never all of a service.
func (p *Picker) mayLeave() int {
	return int(float64(len(p.active)) * p.cfg.LeaveShare)
}

// measure takes a latency in; atLeast says that the call ended without an
// answer and would have taken longer.
func (p *Picker) measure(m *member, d time.Duration, atLeast bool) {
	m.measure(d, atLeast)
	latency := float64(d)
	switch {
	case p.median == 0:
	case latency > p.bar(p.cfg.SlowRunFactor):
		m.slowRun++
		m.fastRun = 0
	case atLeast:
	case latency <= p.bar(p.cfg.ReturnFactor):
		m.fastRun++
		m.slowRun = 0
	default:
		m.slowRun, m.fastRun = 0, 0
	}
}

// bar is the latency above which a candidate is a straggler.
func (p *Picker) bar(factor float64) float64 {
	return max(p.median*factor, p.median+float64(p.cfg.LeaveGap))
}
