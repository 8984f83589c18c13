package balancer

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// Update sets the candidates to the ready nodes of the service. Known candidates keep
// their state, unless Since is later than before.
func (p *Picker) Update(now time.Time, candidates []Candidate) {
	p.knownCandidates = len(candidates)
	for _, m := range p.active {
		m.active = false
	}
	p.active = p.active[:0]
	for _, c := range p.subset(candidates) {
		p.active = append(p.active, p.activate(now, c))
	}
	for id, m := range p.members {
		if !m.active && m.inFlight == 0 {
			delete(p.members, id)
		}
	}
	p.evaluate(now)
}

// activate returns the member for a candidate and marks it as in use.
func (p *Picker) activate(now time.Time, c Candidate) *member {
	m := p.members[c.ID]
	if m == nil {
		m = &member{}
		p.members[c.ID] = m
	} else if c.Since.After(m.Since) {
		*m = member{inFlight: m.inFlight}
	}
	m.Candidate = c
	m.active = true
	m.local = c.DataCentre == p.dataCentre
	if m.rampDuration == 0 {
		m.startRamp(c.Since, p.cfg.SlowStart)
	}
	return m
}

// subset selects the candidates in use by rendezvous hashing with the id of this node:
// a change of the candidates affects the subsets of few nodes, and over all nodes the
// subsets are spread evenly.
func (p *Picker) subset(candidates []Candidate) []Candidate {
	local := p.ranked(candidates, true)
	remote := p.ranked(candidates, false)
	forRemote := min(p.cfg.SubsetRemote, len(remote))
	forLocal := min(p.cfg.Subset-forRemote, len(local))
	forRemote = min(p.cfg.Subset-forLocal, len(remote))
	return append(local[:forLocal], remote[:forRemote]...)
}

// ranked returns the candidates of the local data centre, or those of all others,
// highest hash first.
func (p *Picker) ranked(candidates []Candidate, local bool) []Candidate {
	type entry struct {
		Candidate
		rank uint64
	}
	var entries []entry
	for _, c := range candidates {
		if (c.DataCentre == p.dataCentre) == local {
			entries = append(entries, entry{c, p.rank(c.ID)})
		}
	}
	slices.SortFunc(entries, func(a, b entry) int {
		return cmp.Or(cmp.Compare(b.rank, a.rank), slices.Compare(a.ID[:], b.ID[:]))
	})
	ranked := make([]Candidate, len(entries))
	for i, e := range entries {
		ranked[i] = e.Candidate
	}
	return ranked
}

func (p *Picker) rank(id wire.NodeID) uint64 {
	var b [2 * len(id)]byte
	copy(b[:], p.self[:])
	copy(b[len(id):], id[:])
	return xxhash.Sum64(b[:])
}
