package poison

import (
	"slices"
	"time"
)

// Receive takes a notice of a peer and returns what is to be passed on to a
// few other peers, not to all: with n nodes that would be n squared messages.
// Only what was news here is passed on, so that gossip ends.
func (g *Guard) Receive(now time.Time, n Notice) []Notice {
	if !n.valid(&g.cfg) {
		g.counters.Invalid++
		return nil
	}
	var forward []Notice
	for _, fp := range n.Fingerprints {
		if e := g.learn(now, fp, &n); e != nil {
			forward = g.merge(now, forward, e)
		}
	}
	if n.Hops >= g.cfg.MaxHops {
		return nil
	}
	for i := range forward {
		forward[i].Hops = n.Hops + 1
	}
	return forward
}

// learn applies a notice to one fingerprint and returns its entry if that
// changed.
func (g *Guard) learn(now time.Time, fp uint64, n *Notice) *entry {
	e := g.table.get(now, fp)
	if e != nil && !e.yields(n.State, n.Generation) {
		return g.learnCrashed(e, n)
	}
	if !g.believe(now, n.State) {
		g.counters.Limited++
		return nil
	}
	if e == nil {
		e = g.insertLearned(now, fp)
	}
	if e == nil {
		g.counters.Limited++
		return nil
	}
	if n.Generation > e.generation {
		e.crashed = nil
	}
	e.addCrashed(n.Crashed...)
	e.origin = n.Origin
	g.table.set(e, n.State, n.Generation, now.Add(min(n.TTL, g.life(n.State))))
	g.counters.Learned++
	return e
}

// learnCrashed adds the nodes of another crash to a suspect.
func (g *Guard) learnCrashed(e *entry, n *Notice) *entry {
	same := e.state == Suspect && n.State == Suspect && e.generation == n.Generation
	if !same || !e.addCrashed(n.Crashed...) {
		return nil
	}
	return e
}

// believe bounds what forged notices can do. Clearing costs nothing when it is
// wrong but one more crash, and a flood of it is bounded like suspects.
func (g *Guard) believe(now time.Time, s State) bool {
	if s != Convicted {
		return g.suspects.take(now)
	}
	return g.table.convicted < g.cfg.MaxConvicted && g.convicts.take(now)
}

// insertLearned never evicts: a flood of forged notices must not push out what
// is known from real crashes.
func (g *Guard) insertLearned(now time.Time, fp uint64) *entry {
	g.table.sweep(now)
	if len(g.table.entries) >= g.cfg.MaxEntries {
		return nil
	}
	return g.table.add(fp)
}

func (g *Guard) life(s State) time.Duration {
	if s == Convicted {
		return g.cfg.ConvictFor
	}
	return g.cfg.SuspectFor
}

// Gossip returns up to limit fingerprints for one peer, those repeated longest
// ago first. Sent now and then to a random peer, it repairs notices that were
// lost and teaches nodes that started later. It is not passed on at once.
func (g *Guard) Gossip(now time.Time, limit int) []Notice {
	var notices []Notice
	for range min(limit, g.table.order.Len()) {
		el := g.table.order.Front()
		e := el.Value.(*entry)
		g.table.order.MoveToBack(el)
		if e.until.Sub(now) >= g.cfg.MinTTL {
			notices = g.merge(now, notices, e)
		}
	}
	for i := range notices {
		notices[i].Hops = g.cfg.MaxHops
	}
	return notices
}

// About returns what is known of one fingerprint. A node sends it along with a
// suspect, and to a sender that did not know of the suspicion; if what the two
// know differs, the later state holds at both after that.
func (g *Guard) About(now time.Time, fp uint64) []Notice {
	e := g.table.get(now, fp)
	if e == nil {
		return nil
	}
	return []Notice{g.notice(now, e)}
}

func (g *Guard) notice(now time.Time, e *entry) Notice {
	return Notice{
		Origin:       e.origin,
		State:        e.state,
		Generation:   e.generation,
		Crashed:      slices.Clip(e.crashed),
		Fingerprints: []uint64{e.fp},
		TTL:          e.until.Sub(now),
	}
}

// merge adds an entry to the last notice if that says the same: the suspects
// of one crash travel together.
func (g *Guard) merge(now time.Time, notices []Notice, e *entry) []Notice {
	if len(notices) > 0 {
		last := &notices[len(notices)-1]
		if last.holds(now, e) && len(last.Fingerprints) < g.cfg.MaxPerCrash {
			last.Fingerprints = append(last.Fingerprints, e.fp)
			return notices
		}
	}
	return append(notices, g.notice(now, e))
}

func (n *Notice) holds(now time.Time, e *entry) bool {
	return n.State == e.state &&
		n.Generation == e.generation &&
		n.Origin == e.origin &&
		n.TTL == e.until.Sub(now) &&
		slices.Equal(n.Crashed, e.crashed)
}
