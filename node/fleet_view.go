package node

import (
	"cmp"
	"slices"
	"time"
)

// fleetView tracks how many nodes this one can reach. Only the loop that renews leases uses
// it, so it has no lock.
type fleetView struct {
	started time.Time
	// lastReachable is the latest number of reachable nodes, since is when it changed.
	lastReachable int
	since         time.Time
	// peak is the largest number of reachable nodes; it decays slowly.
	peak float64
}

const (
	// settleTime is how long the number of reachable nodes must be stable before a node that
	// has started may own quotas. While nodes of a fleet that starts together discover each
	// other, most would consider themselves owners, and the parts would move between them.
	settleTime = 250 * time.Millisecond
	// maxSettleTime is the time after its start from which a node need not wait any more:
	// the number may never become stable.
	maxSettleTime = 3 * time.Second
)

// settled records the number of reachable nodes and reports whether the node knows the fleet
// well enough to own quotas.
func (f *fleetView) settled(now time.Time, reachable int) bool {
	if reachable != f.lastReachable {
		f.lastReachable, f.since = reachable, now
	}
	return now.Sub(f.since) >= settleTime || now.Sub(f.started) >= maxSettleTime
}

// addressOwners tells which nodes should own quotas according to the address list of the
// fleet. A restarted node uses it until it has discovered the other nodes.
type addressOwners struct {
	// self says that this node should.
	self bool
	// others says that other nodes should.
	others bool
}

// ownersByAddress lists the addresses of the nodes that should own quotas according to the
// address list of the fleet. After a restart of all nodes discovery takes seconds, and
// without owners no request with a quota is admitted. If a listed node no longer exists, the
// known nodes of lowest rank become owners once discovery has finished.
func ownersByAddress(addrs map[string][]string) []string {
	var owners []string
	for _, list := range addrs {
		owners = append(owners, ownersInDataCentre(list, len(addrs))...)
	}
	return owners
}

// ownersInDataCentre returns the addresses of lowest rank in one of the data centres.
func ownersInDataCentre(list []string, centres int) []string {
	ordered := slices.SortedFunc(slices.Values(list), func(a, b string) int { return cmp.Compare(rank(a), rank(b)) })
	return ordered[:min(len(ordered), readersPerDataCentre(centres))]
}

// cutOff records the number of reachable nodes and reports whether it is less than half of
// the recent peak. A node that is cut off must not renew its lease: it may still reach the
// store, but unreachable nodes could get no tokens from it.
func (f *fleetView) cutOff(reachable int) bool {
	f.peak = max(float64(reachable), f.peak*peakDecay)
	return float64(reachable) < f.peak/2
}

// peakDecay is the factor applied to the peak at each lease renewal. It lets a node accept
// within minutes that the fleet has become smaller.
const peakDecay = 0.996
