package node

import (
	"cmp"
	"slices"
	"time"
)

// fleetView is how many nodes this one has reached lately. Only the loop that renews
// leases uses it.
type fleetView struct {
	started time.Time
	// count is the latest number, since is when it became that.
	lastReachable int
	since         time.Time
	// most fades slowly.
	peak float64
}

const (
	// settleFor is how long a node that has started must have seen the same number of
	// nodes before it may own quotas: while it learns of the others it would take itself
	// for an owner, as would most nodes of a fleet that starts together, and the parts
	// would go round between them.
	settleTime = 250 * time.Millisecond
	// settleMost is the time after its start from which that does not matter: nodes may
	// come and go all the time.
	maxSettleTime = 3 * time.Second
)

// settled reports whether the node knows the fleet well enough to own quotas.
func (f *fleetView) settled(now time.Time, reachable int) bool {
	if reachable != f.lastReachable {
		f.lastReachable, f.since = reachable, now
	}
	return now.Sub(f.since) >= settleTime || now.Sub(f.started) >= maxSettleTime
}

// listing is what a node that restarted makes of the addresses of the fleet.
type addressOwners struct {
	// first says that the node should own quotas by them alone.
	self bool
	// others says that there are other nodes that should.
	others bool
}

// firstsOf lists the nodes that should own quotas by the addresses of the fleet alone.
// After a restart of all nodes it takes seconds until each knows enough of the others, and
// no request with a quota is let in without owners. An address at which there is no node
// any more costs that time: then the order of those that are known decides.
func ownersByAddress(addrs map[string][]string) []string {
	var owners []string
	for _, list := range addrs {
		owners = append(owners, ownersInDataCentre(list, len(addrs))...)
	}
	return owners
}

func ownersInDataCentre(list []string, centres int) []string {
	ordered := slices.SortedFunc(slices.Values(list), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered[:min(len(ordered), readersPerDataCentre(centres))]
}

// cutOff reports whether this node reaches less than half of the nodes that it knew a
// while ago. It may still reach the store: its leases would go on, and the nodes that it
// does not reach would get no tokens.
func (f *fleetView) cutOff(reachable int) bool {
	f.peak = max(float64(reachable), f.peak*peakDecay)
	return float64(reachable) < f.peak/2
}

// fleetFade is what is left of the largest number of nodes known, from one renewal of a
// lease to the next: a fleet that shrinks by half is believed after a minute.
const peakDecay = 0.99
