package node

import (
	"slices"
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

// Registrant returns the identity of this node among the owners. A restarted node has the same
// member name, so it gets its leases back at once. Its earlier process cannot use them any
// more: it has released the address at which this one listens.
func (n *Node) Registrant() quota.Registrant {
	return quota.Registrant{Member: n.cfg.PeerAddr, Process: n.id}
}

// LeaseClock returns the present time of the clock that lease times and proofs use.
func (n *Node) LeaseClock() time.Time { return n.quotas.clock() }

// UpdateLease calls f with the lease of this node.
func (n *Node) UpdateLease(f func(now time.Time, lease *quota.LeaseTerm)) {
	n.quotas.with(func(now time.Time) { f(now, &n.quotas.leaseTerm) })
}

// LeaseChanged publishes which parts this node owns.
func (n *Node) LeaseChanged() {
	var claim quota.Claim
	var shared []int
	n.quotas.with(func(now time.Time) {
		q := n.quotas
		claim, shared = q.claim(now, n.id), q.leaseTerm.SharedParts(now)
		q.issuer.Retain(func(name string) bool { return slices.Contains(claim.Parts, q.cfg.PartitionOf(name)) })
		q.owners.Receive(claim)
	})
	n.log.Info().Uint64("generation", claim.Generation).Ints("parts", claim.Parts).Ints("shared", shared).Msg("owns quotas")
	n.publishClaim(claim)
	n.quotas.wakeLoop()
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
