package balancer

import (
	"slices"
	"time"
)

// evaluate recomputes the medians and decides which candidates are stragglers.
func (p *Picker) evaluate(now time.Time) {
	p.evaluatedAt = now
	p.medianLimit = p.computeMedianLimit()
	p.medianLatency = p.computeMedianLatency()
	p.medianWork = p.medianOf(func(m *member) (float64, bool) { return m.work, m.work > 0 })
	p.medianErrorRate = p.medianOf(func(m *member) (float64, bool) { return m.errorRate, m.limit > 0 })
	p.recover(now)
	p.markStragglers(now)
	for _, m := range p.active {
		m.refresh(now, &p.cfg, p.medianLatency)
	}
}

func (p *Picker) computeMedianLatency() float64 {
	return p.medianOf(func(m *member) (float64, bool) {
		return m.latency(), m.samples >= p.cfg.MinSamples
	})
}

func (p *Picker) computeMedianLimit() float64 {
	usual := p.medianOf(func(m *member) (float64, bool) { return m.limit, m.limit > 0 })
	if usual == 0 {
		return float64(p.cfg.DefaultLimit)
	}
	return usual
}

// medianOf returns the lower median of the values for which value returns true, zero
// if there are none.
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

// recover readmits stragglers that have recovered, or that have been
// stragglers for so long that the measurement is out of date.
func (p *Picker) recover(now time.Time) {
	p.stragglers = 0
	for _, m := range p.active {
		if !m.straggler {
			continue
		}
		if p.hasRecovered(m) || now.Sub(m.stragglerSince) >= p.cfg.MaxStragglerTime {
			p.readmit(now, m)
			continue
		}
		p.stragglers++
	}
	for p.stragglers > p.maxStragglers() {
		p.readmit(now, p.fastestStraggler())
		p.stragglers--
	}
}

// hasRecovered reports whether the probes of a straggler were fast and its backend
// server's failure rate is close to the median.
func (p *Picker) hasRecovered(m *member) bool {
	return m.fastStreak >= p.cfg.FastStreak && m.errorRate <= p.medianErrorRate+p.cfg.ReadmitErrorRate
}

func (p *Picker) readmit(now time.Time, m *member) {
	m.straggler = false
	m.samples = 0
	m.slowStreak = 0
	m.startRamp(now, p.cfg.ReadmitRamp)
	p.counters.Readmitted++
}

func (p *Picker) fastestStraggler() *member {
	var best *member
	for _, m := range p.active {
		if m.straggler && (best == nil || m.logLatency < best.logLatency) {
			best = m
		}
	}
	return best
}

// markStragglers marks the worst candidates as stragglers, up to maxStragglers.
func (p *Picker) markStragglers(now time.Time) {
	for p.stragglers < p.maxStragglers() {
		m := p.worst(now)
		if m == nil {
			return
		}
		m.straggler = true
		m.fastStreak = 0
		m.stragglerSince = now
		m.probedAt = now
		p.stragglers++
		p.counters.Stragglers++
	}
}

// worst returns the candidate to mark next, or nil: one that fails before one
// that is slow. The latency of a candidate in slow start is not judged, since a new
// candidate is expected to be slow and its share is small.
func (p *Picker) worst(now time.Time) *member {
	var worst *member
	for _, m := range p.active {
		if m.straggler {
			continue
		}
		if p.failsTooOften(m) {
			return m
		}
		if now.Sub(m.rampStart) < m.rampDuration || !p.isSlow(m) {
			continue
		}
		if worst == nil || m.logLatency > worst.logLatency {
			worst = m
		}
	}
	return worst
}

// failsTooOften reports whether the backend server's failure rate is well above the
// median.
func (p *Picker) failsTooOften(m *member) bool {
	return m.errorRate > p.medianErrorRate+p.cfg.StragglerErrorRate
}

func (p *Picker) isSlow(m *member) bool {
	if m.slowStreak >= p.cfg.SlowStreak {
		return true
	}
	return m.samples >= p.cfg.MinSamples && m.latency() > p.latencyThreshold(p.cfg.StragglerFactor)
}

// maxStragglers returns the maximum number of stragglers at one time.
func (p *Picker) maxStragglers() int {
	return int(float64(len(p.active)) * p.cfg.MaxStragglerShare)
}

// recordLatency adds a latency to the candidate's average and updates its streaks.
// atLeast marks a latency that is a lower bound.
func (p *Picker) recordLatency(m *member, d time.Duration, atLeast bool) {
	m.recordLatency(d, atLeast)
	latency := float64(d)
	switch {
	case p.medianLatency == 0:
	case latency > p.latencyThreshold(p.cfg.SlowRunFactor):
		m.slowStreak++
		m.fastStreak = 0
	case atLeast:
	case latency <= p.latencyThreshold(p.cfg.ReadmitFactor):
		m.fastStreak++
		m.slowStreak = 0
	default:
		m.slowStreak, m.fastStreak = 0, 0
	}
}

// latencyThreshold returns the median latency times factor, but at least StragglerMinGap more
// than the median.
func (p *Picker) latencyThreshold(factor float64) float64 {
	return max(p.medianLatency*factor, p.medianLatency+float64(p.cfg.StragglerMinGap))
}
