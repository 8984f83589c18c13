package poison

import (
	"slices"
	"time"
)

// Receive applies a notice from a peer and returns the notices to forward to a few
// other peers; forwarding to all would cost n squared messages for n nodes. Only
// fingerprints whose entry changed are forwarded, so that gossip ends.
func (g *Guard) Receive(now time.Time, n Notice) []Notice {
	if !n.valid(&g.cfg) {
		g.counters.Invalid++
		return nil
	}
	var forward []Notice
	for _, fp := range n.Fingerprints {
		if e := g.applyNotice(now, fp, &n); e != nil {
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

// applyNotice applies a notice to one fingerprint and returns its entry if the entry
// changed.
func (g *Guard) applyNotice(now time.Time, fp uint64, n *Notice) *entry {
	e := g.table.get(now, fp)
	if e != nil && !e.overriddenBy(n.State, n.Generation) {
		return g.mergeCrashed(e, n)
	}
	if !g.allowFromPeer(now, n.State) {
		g.dropNotice(fp, n)
		return nil
	}
	if e == nil {
		e = g.insertFromPeer(now, fp)
	}
	if e == nil {
		g.dropNotice(fp, n)
		return nil
	}
	if n.Generation > e.generation {
		e.crashed = nil
	}
	e.addCrashed(n.Crashed...)
	e.origin = n.Origin
	g.table.set(e, n.State, n.Generation, now.Add(min(n.TTL, g.maxTTL(n.State))))
	g.counters.FromPeers++
	g.noteChange(e, eventOf(n.State))
	return e
}

func (g *Guard) dropNotice(fp uint64, n *Notice) {
	g.counters.Limited++
	g.addChange(Change{Fingerprint: fp, Event: NoticeDroppedEvent, Origin: n.Origin, Crashed: len(n.Crashed)})
}

// mergeCrashed adds the crashed nodes of a notice to the entry of the same suspect
// and returns the entry if it changed.
func (g *Guard) mergeCrashed(e *entry, n *Notice) *entry {
	same := e.state == Suspect && n.State == Suspect && e.generation == n.Generation
	if !same || !e.addCrashed(n.Crashed...) {
		return nil
	}
	return e
}

// allowFromPeer reports whether a claim from a peer is within the rate limits, which
// bound the damage of forged notices. Forged clearings can cause one more crash each. They have a
// rate of their own, since most suspects are cleared soon.
func (g *Guard) allowFromPeer(now time.Time, s State) bool {
	switch s {
	case Suspect:
		return g.suspectRate.allow(now)
	case Cleared:
		return g.clearRate.allow(now)
	default:
		return g.table.quarantined < g.cfg.MaxQuarantined && g.quarantineRate.allow(now)
	}
}

// insertFromPeer adds an entry for a notice from a peer, or returns nil if the table
// is full. It evicts cleared fingerprints alone, so that a flood of forged notices can't displace
// suspects.
func (g *Guard) insertFromPeer(now time.Time, fp uint64) *entry {
	g.table.sweep(now)
	if len(g.table.entries) >= g.cfg.MaxEntries && !g.table.evict(func(s State) bool { return s == Cleared }) {
		return nil
	}
	return g.table.add(fp)
}

func (g *Guard) maxTTL(s State) time.Duration {
	if s == Quarantined {
		return g.cfg.QuarantineFor
	}
	return g.cfg.SuspectFor
}

// NoticesToGossip returns notices with up to limit fingerprints for one peer, the least
// recently sent ones first. Sent periodically to a random peer, they replace lost
// notices and update nodes that started later. Receivers don't forward them.
func (g *Guard) NoticesToGossip(now time.Time, limit int) []Notice {
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

// AllNotices returns notices with all fingerprints, quarantined ones first, for a node that has
// just started. It doesn't forward them.
func (g *Guard) AllNotices(now time.Time) []Notice {
	var quarantined, others []Notice
	for el := g.table.order.Front(); el != nil; el = el.Next() {
		e := el.Value.(*entry)
		switch {
		case e.until.Sub(now) < g.cfg.MinTTL:
		case e.state == Quarantined:
			quarantined = g.merge(now, quarantined, e)
		default:
			others = g.merge(now, others, e)
		}
	}
	notices := append(quarantined, others...)
	for i := range notices {
		notices[i].Hops = g.cfg.MaxHops
	}
	return notices
}

// NoticeFor returns a notice with the state of one fingerprint, or nothing. A node
// sends it ahead of a suspect, and to a sender that did not know of the suspicion.
// After the exchange both nodes have the later of their states.
func (g *Guard) NoticeFor(now time.Time, fp uint64) []Notice {
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

// merge adds an entry to the last notice if that has the same content, and else
// appends a notice: the suspects of one crash share a notice.
func (g *Guard) merge(now time.Time, notices []Notice, e *entry) []Notice {
	if len(notices) > 0 {
		last := &notices[len(notices)-1]
		if last.matches(now, e) && len(last.Fingerprints) < g.cfg.MaxPerCrash {
			last.Fingerprints = append(last.Fingerprints, e.fp)
			return notices
		}
	}
	return append(notices, g.notice(now, e))
}

func (n *Notice) matches(now time.Time, e *entry) bool {
	return n.State == e.state &&
		n.Generation == e.generation &&
		n.Origin == e.origin &&
		n.TTL == e.until.Sub(now) &&
		slices.Equal(n.Crashed, e.crashed)
}
