package balancer

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// class orders the candidates by how willingly they are used.
type class int

const (
	freeLocal class = iota
	freeRemote
	fullLocal
	fullRemote
	straggling
	ejected
	classes
)

// pool is the candidates of one class at one Pick, with their shares.
type pool struct {
	members []*member
	shares  []float64
	loads   []float64
	total   float64
}

func newPool(size int) pool {
	return pool{
		members: make([]*member, 0, size),
		shares:  make([]float64, 0, size),
		loads:   make([]float64, 0, size),
	}
}

func (p *pool) reset() {
	p.members = p.members[:0]
	p.shares = p.shares[:0]
	p.loads = p.loads[:0]
	p.total = 0
}

func (p *pool) add(m *member, share, load float64) {
	p.members = append(p.members, m)
	p.shares = append(p.shares, share)
	p.loads = append(p.loads, load)
	p.total += share
}

// draw returns a random place by share; skip is left out (-1 for none).
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

// choose takes the better of two random candidates of the best class. The
// least loaded of all would be the same one for every node until the next
// report arrives, and all would send to it.
func (p *Picker) choose(now time.Time, exclude []wire.NodeID) *member {
	p.classify(now, exclude)
	free, ok := p.dataCentreOf(freeLocal, freeRemote)
	if ok {
		return p.betterOfTwo(free)
	}
	if full := p.allFull(); len(full.members) > 0 {
		return p.betterOfTwo(full)
	}
	if slow := &p.pools[straggling]; len(slow.members) > 0 {
		return p.betterOfTwo(slow)
	}
	return earliest(p.pools[ejected].members)
}

// classify sorts the candidates into the pools.
func (p *Picker) classify(now time.Time, exclude []wire.NodeID) {
	for i := range p.pools {
		p.pools[i].reset()
	}
	for _, m := range p.active {
		if len(exclude) > 0 && slices.Contains(exclude, m.ID) {
			continue
		}
		load := m.load(p.usualLimit)
		p.pools[m.class(now, load)].add(m, m.share, load)
	}
}

func (m *member) class(now time.Time, load float64) class {
	switch {
	case m.resting(now):
		return ejected
	case m.left:
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

// dataCentreOf chooses between the own data centre and the others. The own one
// is preferred; while all that it has is starting up, it gets no more calls
// than the share of its candidates, and warm ones elsewhere the rest.
func (p *Picker) dataCentreOf(local, remote class) (*pool, bool) {
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

// allFull joins the full candidates of all data centres. The load that it answers: a
// service is short, and its backend servers are spread unevenly over the data
// centres. Kept to their own one, callers beside few backend servers wait there for
// hundreds of milliseconds while others elsewhere have shorter queues; another data
// centre costs a millisecond.
func (p *Picker) allFull() *pool {
	all, remote := &p.pools[fullLocal], &p.pools[fullRemote]
	for i, m := range remote.members {
		all.add(m, remote.shares[i], remote.loads[i]+p.cfg.RemoteLoad)
	}
	return all
}

func (p *Picker) betterOfTwo(from *pool) *member {
	if len(from.members) == 1 {
		return from.members[0]
	}
	a := from.draw(p.rng.Float64(), -1)
	b := from.draw(p.rng.Float64(), a)
	if from.loads[b] < from.loads[a] {
		return from.members[b]
	}
	return from.members[a]
}

// earliest returns the ejected candidate whose rest ends first: when every one
// failed, trying one is better than refusing everything.
func earliest(members []*member) *member {
	var best *member
	for _, m := range members {
		if best == nil || m.ejectedUntil.Before(best.ejectedUntil) {
			best = m
		}
	}
	return best
}
