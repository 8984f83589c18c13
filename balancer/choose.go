package balancer

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// class ranks the candidates of a Pick. Lower classes are preferred.
type class int

const (
	freeLocal class = iota
	freeRemote
	fullLocal
	fullRemote
	straggling
	ejected
	numClasses
)

// pool holds the candidates of one class during one Pick, with their shares and costs; a
// call goes to the one of lower cost.
type pool struct {
	members []*member
	shares  []float64
	costs   []float64
	total   float64
}

func newPool(size int) pool {
	return pool{
		members: make([]*member, 0, size),
		shares:  make([]float64, 0, size),
		costs:   make([]float64, 0, size),
	}
}

func (p *pool) reset() {
	p.members = p.members[:0]
	p.shares = p.shares[:0]
	p.costs = p.costs[:0]
	p.total = 0
}

func (p *pool) add(m *member, share, cost float64) {
	p.members = append(p.members, m)
	p.shares = append(p.shares, share)
	p.costs = append(p.costs, cost)
	p.total += share
}

// draw returns the index of a member chosen at random in proportion to its share.
// at is a uniform random number in [0, 1); the index skip is never returned (-1
// skips none).
func (p *pool) draw(at float64, skip int) int {
	total := p.total
	if skip >= 0 {
		total -= p.shares[skip]
	}
	at *= total
	last := -1
	for i, share := range p.shares {
		if i == skip {
			continue
		}
		last = i
		if at < share {
			return i
		}
		at -= share
	}
	return last
}

// choose takes the less loaded of two random candidates of the best class. Taking the
// least loaded of all would send the calls of all nodes to the same candidate until
// the next load report.
func (p *Picker) choose(now time.Time, exclude []wire.NodeID) *member {
	p.classify(now, exclude)
	free, ok := p.localOrRemote(freeLocal, freeRemote)
	if remote := &p.pools[freeRemote]; ok && free != remote && p.medianWork > 0 && len(remote.members) > 0 {
		return p.soonest(free, remote)
	}
	if ok {
		return p.betterOfTwo(free)
	}
	if full := p.mergeFull(); len(full.members) > 0 {
		return p.betterOfTwo(full)
	}
	if slow := &p.pools[straggling]; len(slow.members) > 0 {
		return p.betterOfTwo(slow)
	}
	return earliestEjectionEnd(p.pools[ejected].members)
}

// classify sorts the active candidates that are not excluded into the pools.
func (p *Picker) classify(now time.Time, exclude []wire.NodeID) {
	for i := range p.pools {
		p.pools[i].reset()
	}
	for _, m := range p.active {
		if len(exclude) > 0 && slices.Contains(exclude, m.ID) {
			continue
		}
		load := m.load(p.medianLimit)
		p.pools[m.class(now, load)].add(m, m.share, p.cost(now, m, load))
	}
}

func (m *member) class(now time.Time, load float64) class {
	switch {
	case m.isEjected(now):
		return ejected
	case m.straggler:
		return straggling
	}
	c := freeLocal
	if m.full(now, load) {
		c = fullLocal
	}
	if !m.local {
		c++
	}
	return c
}

// localOrRemote returns the pool to use, and false if both are empty. The local data
// centre is preferred. While all its candidates are in slow start, it gets no more
// calls than the sum of their shares; warm candidates elsewhere get the others.
func (p *Picker) localOrRemote(local, remote class) (*pool, bool) {
	here, there := &p.pools[local], &p.pools[remote]
	switch {
	case len(here.members) == 0:
		return there, len(there.members) > 0
	case len(there.members) == 0 || here.total >= 1 || here.total >= there.total:
		return here, true
	}
	if p.rng.Float64()*min(1, there.total) < here.total {
		return here, true
	}
	return there, true
}

// mergeFull returns the full candidates of all data centres in one pool. It handles an
// overloaded service whose backend servers are spread unevenly over the data centres:
// callers in a data centre with few of them would wait much longer than the delay to
// another data centre.
func (p *Picker) mergeFull() *pool {
	all, remote := &p.pools[fullLocal], &p.pools[fullRemote]
	penalty := p.cfg.RemotePenalty * max(p.medianWork, 1)
	for i, m := range remote.members {
		all.add(m, remote.shares[i], remote.costs[i]+penalty)
	}
	return all
}

func (p *Picker) betterOfTwo(from *pool) *member {
	m, _ := p.drawTwo(from)
	return m
}

// drawTwo returns the candidate of lower cost among two random ones, and its cost.
func (p *Picker) drawTwo(from *pool) (*member, float64) {
	if len(from.members) == 1 {
		return from.members[0], from.costs[0]
	}
	a := from.draw(p.rng.Float64(), -1)
	b := from.draw(p.rng.Float64(), a)
	if from.costs[b] < from.costs[a] {
		a = b
	}
	return from.members[a], from.costs[a]
}

// earliestEjectionEnd returns the candidate whose ejection ends first. When all
// candidates are ejected, trying one is better than rejecting every call.
func earliestEjectionEnd(members []*member) *member {
	var best *member
	for _, m := range members {
		if best == nil || m.ejectedUntil.Before(best.ejectedUntil) {
			best = m
		}
	}
	return best
}
