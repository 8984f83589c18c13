package quota

import (
	"slices"
	"time"
)

// LeaseTerm is this node's lease on the partitions that the store assigned to it. It expires
// by the node's own clock, counted from the time at which the renewal was sent, and
// therefore before the store assigns the partitions to another node.
type LeaseTerm struct {
	generation uint64
	expiresAt  time.Time
	// termStart is the start of the current lease term of each partition.
	termStart map[int]time.Time
}

// unusedLeaseFraction is the fraction of a lease that stays unused. It exceeds the rate
// difference between the clocks of two machines by far.
const unusedLeaseFraction = 0.05

// LeaseReply is the store's answer to a renewal.
type LeaseReply struct {
	// Sent is the time at which the renewal was sent, TTL the TTL of the lease.
	Sent time.Time
	TTL  time.Duration
	// Generation grows with each change of owners in the store.
	Generation uint64
	Parts      []int
	// LostLeasesExpireAt is the time at which leases have expired that the store granted and then
	// lost by a restore from an older copy. It is zero if there are none.
	LostLeasesExpireAt time.Time
}

// ApplyRenewal applies the store's answer to a renewal. It reports whether the owned
// partitions changed or the lease had expired before.
func (t *LeaseTerm) ApplyRenewal(l LeaseReply) bool {
	termStart := make(map[int]time.Time, len(l.Parts))
	lapsed := !l.Sent.Before(t.expiresAt) // another node may have owned them meanwhile
	for _, p := range l.Parts {
		began, held := t.termStart[p]
		if lapsed || !held || l.Sent.Before(began) {
			began = laterOf(l.Sent, l.LostLeasesExpireAt)
		}
		termStart[p] = began
	}
	changed := lapsed || l.Generation != t.generation || !samePartitions(termStart, t.termStart)
	t.generation, t.termStart = l.Generation, termStart
	t.expiresAt = l.Sent.Add(time.Duration(float64(l.TTL) * (1 - unusedLeaseFraction)))
	return changed
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func samePartitions(a, b map[int]time.Time) bool {
	if len(a) != len(b) {
		return false
	}
	for p := range a {
		if _, ok := b[p]; !ok {
			return false
		}
	}
	return true
}

// Release drops the lease. The node owns nothing until the next renewal.
func (t *LeaseTerm) Release() { t.termStart, t.expiresAt = nil, time.Time{} }

// Owns reports whether this node owns a partition now, and since when. A partition is
// not owned yet while another node may hold a lease on it that the store has lost.
func (t *LeaseTerm) Owns(now time.Time, part int) (termStart time.Time, ok bool) {
	if !now.Before(t.expiresAt) {
		return time.Time{}, false
	}
	termStart, ok = t.termStart[part]
	return termStart, ok && !now.Before(termStart)
}

// Generation returns the generation of the last renewal.
func (t *LeaseTerm) Generation() uint64 { return t.generation }

// Parts returns the leased partitions, sorted. It returns none after the lease expired.
func (t *LeaseTerm) Parts(now time.Time) []int {
	if !now.Before(t.expiresAt) {
		return nil
	}
	parts := make([]int, 0, len(t.termStart))
	for p := range t.termStart {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	return parts
}
