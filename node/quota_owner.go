package node

import (
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/wire"
)

// WantsLease reports whether this node should hold a lease on quotas. Only a few nodes of a
// fleet do.
func (n *Node) WantsLease() bool {
	table := n.routing.table()
	if table == nil || table.Workspaces == nil || n.draining.Load() {
		return false
	}
	reachable := n.reachable()
	if n.quotas.fleet.cutOff(reachable) {
		return false
	}
	if listed := n.listed.Load(); listed != nil {
		switch {
		case reachable < 2 && listed.others:
			return false // isolated since its start: no peer could request tokens from it
		case time.Since(n.startedAt) < maxSettleTime:
			return listed.self
		}
	}
	return !n.joining() && n.quotas.fleet.settled(time.Now(), reachable) && n.Reader()
}

// reachable returns the number of nodes that are not suspect, including this one.
func (n *Node) reachable() int {
	reachable := 0
	n.members.with(func(m *membership.Members) {
		for rec := range m.All() {
			if rec.State != membership.Suspect {
				reachable++
			}
		}
	})
	return reachable
}

// LeaseMember returns the name of this node among the owners. A restarted node has the same
// name, so it gets its leases back at once. Its earlier incarnation cannot use them any more:
// it has released the address at which this one listens.
func (n *Node) LeaseMember() string { return n.cfg.PeerAddr }

// LeaseClock returns the present time of the clock that lease times and proofs use.
func (n *Node) LeaseClock() time.Time { return n.quotas.clock() }

// LeaseRenewed applies the store's answer to a renewal, and reports whether the parts that
// this node owns changed.
func (n *Node) LeaseRenewed(lease quota.LeaseReply) (changed bool) {
	var claim quota.Claim
	n.quotas.with(func(now time.Time) {
		q := n.quotas
		changed = q.leaseTerm.ApplyRenewal(lease)
		q.issuer.Retain(func(name string) bool { _, owned := q.leaseTerm.Owns(now, q.cfg.PartitionOf(name)); return owned })
		claim = q.claim(now, n.id)
		q.owners.Receive(claim)
	})
	if !changed {
		return false
	}
	n.log.Info().Uint64("generation", lease.Generation).Ints("parts", lease.Parts).Msg("owns quotas")
	n.publishClaim(claim)
	n.quotas.wakeLoop()
	return true
}

// publishClaim sends a claim to all members, and to connected nodes that are not known as
// members yet.
func (n *Node) publishClaim(claim quota.Claim) {
	n.sendToMembers(wire.KindQuotaClaim, claim)
	for _, id := range n.peers.Connected() {
		if _, known := n.members.lookup(id); !known {
			n.outbox.sendIfConnected(id, wire.KindQuotaClaim, claim)
		}
	}
}

// ownClaim returns the ownership claim of this node, false if it owns nothing.
func (n *Node) ownClaim() (c quota.Claim, owns bool) {
	n.quotas.with(func(now time.Time) { c = n.quotas.claim(now, n.id) })
	return c, len(c.Parts) > 0
}

// claim returns the ownership claim that follows from the lease. The caller holds the lock.
func (q *quotas) claim(now time.Time, id wire.NodeID) quota.Claim {
	return quota.Claim{Owner: id, Generation: q.leaseTerm.Generation(), Parts: q.leaseTerm.Parts(now)}
}

// LeaseEnded gives up the ownership of quotas.
func (n *Node) LeaseEnded() {
	n.quotas.with(func(time.Time) { n.quotas.leaseTerm.Release() })
	n.log.Info().Msg("owns no quotas any more")
}
