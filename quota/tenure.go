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

// Renewed takes the store's answer to a renewal that was sent at a moment, and reports
// whether the parts changed.
func (t *Tenure) Renewed(sent time.Time, life time.Duration, generation uint64, parts []int) bool {
	since := make(map[int]time.Time, len(parts))
	lapsed := !sent.Before(t.till) // another node may have owned them meanwhile
	for _, p := range parts {
		began, held := t.since[p]
		if lapsed || !held {
			began = sent
		}
		since[p] = began
	}
	changed := lapsed || generation != t.generation || !sameParts(since, t.since)
	t.generation, t.since = generation, since
	t.till = sent.Add(time.Duration(float64(life) * (1 - leaseMargin)))
	return changed
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

// Owns reports whether this node owns a part now, and since when.
func (t *Tenure) Owns(now time.Time, part int) (since time.Time, ok bool) {
	if !now.Before(t.till) {
		return time.Time{}, false
	}
	since, ok = t.since[part]
	return since, ok
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
