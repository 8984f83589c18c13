package node

import (
	"time"

	"github.com/cassialoom/cassialoom/freshness"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/wire"
)

// Leases says whether this node should own quotas, and takes what the store gave it.
// The node implements it for whoever speaks with the store.

// WantsLease reports whether this node should be one of the few that own quotas.
func (n *Node) WantsLease() bool {
	table := n.routing.table()
	if table == nil || table.Workspaces == nil || n.draining.Load() || n.joining() {
		return false
	}
	reached := n.reached()
	return n.quotas.fleet.settled(time.Now(), reached, int(n.listed.Load())) && !n.quotas.fleet.cutOff(reached) && n.Reader()
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

// fleetView is how many nodes this one has reached lately. Only the loop that renews
// leases uses it.
type fleetView struct {
	started time.Time
	// count is the latest number, since is when it became that.
	count int
	since time.Time
	// most fades slowly.
	most float64
}

const (
	// settleFor is how long a node that has started must have seen the same number of
	// nodes before it may own quotas: while it learns of the others it would take itself
	// for an owner, as would most nodes of a fleet that starts together, and the parts
	// would go round between them.
	settleFor = 250 * time.Millisecond
	// settleMost is the time after its start from which that does not matter: nodes may
	// come and go all the time.
	settleMost = 3 * time.Second
)

// listedShare of the addresses at which there were nodes when this one started is enough
// to know which nodes own quotas; some of those have gone.
const listedShare = 0.8

// settled reports whether the node knows the fleet well enough to own quotas. listed is
// the number of addresses at which there may be nodes.
func (f *fleetView) settled(now time.Time, reached, listed int) bool {
	if reached != f.count {
		f.count, f.since = reached, now
	}
	if listed > 0 && float64(reached) >= listedShare*float64(listed) {
		return true
	}
	return now.Sub(f.since) >= settleFor || now.Sub(f.started) >= settleMost
}

// cutOff reports whether this node reaches less than half of the nodes that it knew a
// while ago. It may still reach the store: its leases would go on, and the nodes that it
// does not reach would get no tokens.
func (f *fleetView) cutOff(reached int) bool {
	f.most = max(float64(reached), f.most*fleetFade)
	return float64(reached) < f.most/2
}

// fleetFade is what is left of the largest number of nodes known, from one renewal of a
// lease to the next: a fleet that shrinks by half is believed after a minute.
const fleetFade = 0.99

// LeaseGeneration is the store's number of the last change of owners that this node
// knows.
func (n *Node) LeaseGeneration() (generation uint64) {
	n.quotas.with(func(time.Time) { generation = n.quotas.tenure.Generation() })
	return generation
}

// LeaseMember is the name of this node among the owners. A node that restarts has the
// same one, so it gets its leases back at once. The start before cannot use them any
// more: it held the address at which this one listens.
func (n *Node) LeaseMember() string { return n.cfg.PeerAddr }

// LeaseClock is the clock by which a renewal's sending is told.
func (n *Node) LeaseClock() time.Time { return n.quotas.clock() }

// LeaseRenewed takes the store's answer to a renewal that was sent at a moment, and
// reports whether what this node owns changed.
func (n *Node) LeaseRenewed(sent time.Time, life time.Duration, generation uint64, parts []int) (changed bool) {
	claim := quota.Claim{Owner: n.id, Generation: generation, Parts: parts}
	n.quotas.with(func(now time.Time) {
		q := n.quotas
		changed = q.tenure.Renewed(sent, life, generation, parts)
		q.bank.Keep(func(name string) bool { _, owned := q.tenure.Owns(now, q.cfg.Part(name)); return owned })
		q.owners.Heard(claim)
	})
	if !changed {
		return false
	}
	n.log.Info().Uint64("generation", generation).Ints("parts", parts).Msg("owns quotas")
	for _, rec := range n.members.view() {
		if rec.ID != n.id && !rec.State.Gone() {
			n.posts.post(rec.ID, wire.KindQuotaClaim, claim)
		}
	}
	n.quotas.stir()
	return true
}

// ownClaim is what this node owns, false if that is nothing.
func (n *Node) ownClaim() (c quota.Claim, owns bool) {
	n.quotas.with(func(now time.Time) {
		t := &n.quotas.tenure
		c = quota.Claim{Owner: n.id, Generation: t.Generation(), Parts: t.Parts(now)}
	})
	return c, len(c.Parts) > 0
}

// LeaseEnded gives up what this node owns.
func (n *Node) LeaseEnded() {
	n.quotas.with(func(time.Time) { n.quotas.tenure.Ended() })
	n.log.Info().Msg("owns no quotas any more")
}

// Proved says that at a moment, by LeaseClock, nothing newer was published than what is
// in force here.
func (n *Node) Proved(at time.Time) {
	version := n.routing.version()
	n.quotas.with(func(time.Time) {
		n.quotas.proof.Learn(freshness.Proof{Version: version, At: at})
		n.quotas.tell()
	})
}

// unproved reports that nobody whom this node reaches has proved the configuration for
// long, while requests need it.
func (q *quotas) unproved() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	return q.freshWithin > 0 && q.inUse(now) && !q.proof.Fresh(now, time.Duration(proofLate*float64(q.freshWithin)))
}
