package node

import (
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/wire"
)

// WantsLease reports whether this node should be one of the few that own quotas.
func (n *Node) WantsLease() bool {
	table := n.routing.table()
	if table == nil || table.Workspaces == nil || n.draining.Load() {
		return false
	}
	reached := n.reached()
	if n.quotas.fleet.cutOff(reached) {
		return false
	}
	if listed := n.listed.Load(); listed != nil {
		switch {
		case reached < 2 && listed.others:
			return false // cut off since its start: nobody could ask it
		case time.Since(n.startedAt) < settleMost:
			return listed.first
		}
	}
	return !n.joining() && n.quotas.fleet.settled(time.Now(), reached) && n.Reader()
}

// reached is the number of nodes that are not suspected to be gone, this one included.
func (n *Node) reached() int {
	reached := 0
	n.members.with(func(m *membership.Members) {
		for rec := range m.All() {
			if rec.State != membership.Suspect {
				reached++
			}
		}
	})
	return reached
}

// LeaseMember is the name of this node among the owners. A node that restarts has the
// same one, so it gets its leases back at once. The start before cannot use them any
// more: it held the address at which this one listens.
func (n *Node) LeaseMember() string { return n.cfg.PeerAddr }

// LeaseClock is the clock by which a renewal's sending is told.
func (n *Node) LeaseClock() time.Time { return n.quotas.clock() }

// LeaseRenewed takes the store's answer to a renewal, and reports whether what this node
// owns changed.
func (n *Node) LeaseRenewed(lease quota.Lease) (changed bool) {
	var claim quota.Claim
	n.quotas.with(func(now time.Time) {
		q := n.quotas
		changed = q.tenure.Renewed(lease)
		q.bank.Keep(func(name string) bool { _, owned := q.tenure.Owns(now, q.cfg.Part(name)); return owned })
		claim = q.claim(now, n.id)
		q.owners.Heard(claim)
	})
	if !changed {
		return false
	}
	n.log.Info().Uint64("generation", lease.Generation).Ints("parts", lease.Parts).Msg("owns quotas")
	n.tellClaim(claim)
	n.quotas.stir()
	return true
}

// tellClaim tells all nodes what this one owns: those that it knows, and those that are
// connected, which it may not know yet.
func (n *Node) tellClaim(claim quota.Claim) {
	n.sendToMembers(wire.KindQuotaClaim, claim)
	for _, id := range n.peers.Connected() {
		if _, known := n.members.lookup(id); !known {
			n.outbox.sendIfConnected(id, wire.KindQuotaClaim, claim)
		}
	}
}

// ownClaim is what this node owns, false if that is nothing.
func (n *Node) ownClaim() (c quota.Claim, owns bool) {
	n.quotas.with(func(now time.Time) { c = n.quotas.claim(now, n.id) })
	return c, len(c.Parts) > 0
}

// claim is what a node owns by the lease held here. The caller holds the lock.
func (q *quotas) claim(now time.Time, id wire.NodeID) quota.Claim {
	return quota.Claim{Owner: id, Generation: q.tenure.Generation(), Parts: q.tenure.Parts(now)}
}

// LeaseEnded gives up what this node owns.
func (n *Node) LeaseEnded() {
	n.quotas.with(func(time.Time) { n.quotas.tenure.Ended() })
	n.log.Info().Msg("owns no quotas any more")
}
