package quota

import (
	"slices"
	"time"
)

// Tenure is this node's lease on the parts that the store gave it. It ends by the node's
// own clock, counted from before the renewal was sent, and so before the store may give
// the parts to another node.
type Tenure struct {
	generation uint64
	till       time.Time
	// since is when the present tenure over each part began.
	since map[int]time.Time
}

// leaseMargin is the part of a lease that is not used: clocks of different machines run
// at rates that differ by far less.
const leaseMargin = 0.05

// Lease is the store's answer to a renewal.
type Lease struct {
	// Sent is when the renewal was sent.
	Sent time.Time
	Life time.Duration
	// Generation grows with each change of owners that the store makes.
	Generation uint64
	Parts      []int
	// FreeAt is when leases that the store has granted and forgotten have ended; zero if
	// it never forgot any.
	FreeAt time.Time
}

// Renewed takes the store's answer to a renewal and reports whether the parts changed.
func (t *Tenure) Renewed(l Lease) bool {
	since := make(map[int]time.Time, len(l.Parts))
	lapsed := !l.Sent.Before(t.till) // another node may have owned them meanwhile
	for _, p := range l.Parts {
		began, held := t.since[p]
		if lapsed || !held || l.Sent.Before(began) {
			began = later(l.Sent, l.FreeAt)
		}
		since[p] = began
	}
	changed := lapsed || l.Generation != t.generation || !sameParts(since, t.since)
	t.generation, t.since = l.Generation, since
	t.till = l.Sent.Add(time.Duration(float64(l.Life) * (1 - leaseMargin)))
	return changed
}

func later(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func sameParts(a, b map[int]time.Time) bool {
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

// Ended gives the lease up.
func (t *Tenure) Ended() { t.since, t.till = nil, time.Time{} }

// Owns reports whether this node owns a part now, and since when. A part of which another
// node may still hold a lease that the store has forgotten is not owned yet.
func (t *Tenure) Owns(now time.Time, part int) (since time.Time, ok bool) {
	if !now.Before(t.till) {
		return time.Time{}, false
	}
	since, ok = t.since[part]
	return since, ok && !now.Before(since)
}

// Generation is the store's number of the last change that this node knows.
func (t *Tenure) Generation() uint64 { return t.generation }

// Parts lists what this node owns, none after its lease has ended.
func (t *Tenure) Parts(now time.Time) []int {
	if !now.Before(t.till) {
		return nil
	}
	parts := make([]int, 0, len(t.since))
	for p := range t.since {
		parts = append(parts, p)
	}
	slices.Sort(parts)
	return parts
}
