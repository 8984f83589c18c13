package balancer

import (
	"slices"
	"time"
)

// evaluate judges all candidates by their peers: which are stragglers, what a
// usual limit is.
func (p *Picker) evaluate(now time.Time) {
	p.evaluatedAt = now
	p.limits = p.comparableLimits()
	p.median = p.medianLatency()
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

func (p *Picker) comparableLimits() limits {
	usual := p.medianOf(func(m *member) (float64, bool) { return m.limit, m.limit > 0 })
	if usual == 0 {
		usual = float64(p.cfg.DefaultLimit)
	}
	return limits{low: 1, high: usual * p.cfg.LimitSpread, unknown: usual}
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
		if m.latency() > p.bar(p.cfg.ReturnFactor) && now.Sub(m.leftSince) < p.cfg.MaxLeft {
			p.leftNow++
			continue
		}
		p.takeBack(now, m)
	}
	for p.leftNow > p.mayLeave() {
		p.takeBack(now, p.fastestLeft())
		p.leftNow--
	}
}

func (p *Picker) takeBack(now time.Time, m *member) {
	m.left = false
	m.samples = 0
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

// leave leaves the slowest stragglers, as many as the bound allows. A candidate
// in slow start is not judged: its share is small already, and it is slow
// because it is new.
func (p *Picker) leave(now time.Time) {
	for p.leftNow < p.mayLeave() {
		m := p.slowest(now)
		if m == nil || m.latency() <= p.bar(p.cfg.LeaveFactor) {
			return
		}
		m.left = true
		m.leftSince = now
		m.probedAt = now
		p.leftNow++
		p.counters.Leaves++
	}
}

func (p *Picker) slowest(now time.Time) *member {
	var worst *member
	for _, m := range p.active {
		if m.left || m.samples < p.cfg.MinSamples || now.Sub(m.rampFrom) < m.ramp {
			continue
		}
		if worst == nil || m.logLatency > worst.logLatency {
			worst = m
		}
	}
	return worst
}

// mayLeave bounds the stragglers left at one time: never all of a service.
func (p *Picker) mayLeave() int {
	return int(float64(len(p.active)) * p.cfg.LeaveShare)
}

// bar is the latency above which a candidate is a straggler.
func (p *Picker) bar(factor float64) float64 {
	return max(p.median*factor, p.median+float64(p.cfg.LeaveGap))
}
