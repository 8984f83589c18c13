package node

import "time"

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
