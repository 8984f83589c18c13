package quota

import (
	"slices"
	"time"
)

// A quota is leased in two halves. The short half lasts Config.ShortLeaseTTL, the long one
// Config.LeaseTTL. A node stops using a half when its lease ends by the node's own clock, counted
// from the time at which the last renewal was sent. A node that gets a partition looks at the
// register (RegisterEntry). Unless that shows that the last user has let go, it waits for the
// TTL of a half before it uses that half.
//
// So it does not matter whether the store waits until the earlier owner has let go, which
// it doesn't when it reassigns all partitions, has lost leases in a restore or lets them expire in
// an outage. The short half bounds the time without an owner after such a change, the long one
// the time for which an owner can issue tokens without the store.

// LeaseTerm is this node's lease on the partitions that the store assigned to it.
type LeaseTerm struct {
	shortTTL, longTTL time.Duration
	generation        uint64
	// shortUntil and longUntil are the ends of the two halves.
	shortUntil, longUntil time.Time
	terms                 map[int]term
	// lost holds the terms that have ended since the register was last brought up to date.
	lost map[int]term
}

// term is the uninterrupted time for which this node has held a partition.
type term struct {
	// registered says that the register names this node as the user, entryWaits that its
	// entry names a wait for an earlier user.
	registered, entryWaits bool
	// last is the last entry of the register before this node's own.
	last lastEntry
	// resumed says that longFrom is that of an earlier term of this node, which holds unless
	// another node has registered since.
	resumed bool
	// start is the start of the term and of its short half, longFrom that of its long half.
	start, longFrom time.Time
}

// NewLeaseTerm returns a LeaseTerm without partitions.
func NewLeaseTerm(cfg Config) LeaseTerm {
	return LeaseTerm{shortTTL: cfg.ShortLeaseTTL, longTTL: cfg.LeaseTTL, lost: make(map[int]term)}
}

// unusedLeaseFraction is the fraction of a lease that stays unused. It exceeds the rate
// difference between the clocks of two machines by far.
const unusedLeaseFraction = 0.05

// LeaseReply is the store's answer to a renewal.
type LeaseReply struct {
	// Sent is the time at which the renewal was sent.
	Sent time.Time
	// Generation grows by one with each change of owners in the store, and by more if the
	// store was restored from an older copy.
	Generation uint64
	Parts      []int
}

// ApplyRenewal applies the store's answer to a renewal. It reports whether the owned
// partitions changed or the lease had expired before.
func (t *LeaseTerm) ApplyRenewal(l LeaseReply) bool {
	terms := make(map[int]term, len(l.Parts))
	for _, p := range l.Parts {
		terms[p] = t.renewed(p, l)
	}
	changed := t.lapsed(l.Sent) || l.Generation != t.generation || !samePartitions(terms, t.terms)
	t.end(terms)
	t.generation, t.terms = l.Generation, terms
	t.shortUntil, t.longUntil = l.Sent.Add(usable(t.shortTTL)), l.Sent.Add(usable(t.longTTL))
	return changed
}

// usable returns how long an owner uses a lease.
func usable(ttl time.Duration) time.Duration {
	return time.Duration(float64(ttl) * (1 - unusedLeaseFraction))
}

// lapsed reports whether the lease had expired at the given time.
func (t *LeaseTerm) lapsed(at time.Time) bool { return !at.Before(t.longUntil) }

// renewed returns the term of a partition that the store lists.
func (t *LeaseTerm) renewed(part int, l LeaseReply) term {
	held, ok := t.terms[part]
	switch {
	case ok && !t.lapsed(l.Sent) && l.Generation-t.generation <= 1:
		// To move to another node and back takes two changes.
		return held
	case ok && l.Generation == t.generation:
		held.start, held.longFrom = l.Sent, laterOf(held.longFrom, l.Sent)
		return held
	case ok:
		return held.resume()
	default:
		return t.lost[part].resume()
	}
}

// resume returns the term that follows a term of this node, until it is registered.
func (m term) resume() term {
	return term{resumed: m.registered || m.resumed, longFrom: m.longFrom}
}

// end records the terms of partitions that are not among kept as lost, and the others as held.
func (t *LeaseTerm) end(kept map[int]term) {
	for p, held := range t.terms {
		t.lost[p] = held
	}
	for p := range kept {
		delete(t.lost, p)
	}
}

// Release drops the lease. The node owns nothing until the next renewal.
func (t *LeaseTerm) Release() {
	t.end(nil)
	t.terms, t.shortUntil, t.longUntil = nil, time.Time{}, time.Time{}
}

func laterOf(a, b time.Time) time.Time {
	if b.After(a) {
		return b
	}
	return a
}

func samePartitions(a, b map[int]term) bool {
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

// Owns returns this node's tenure of a partition. It returns false if the node may issue none
// of its tokens now.
func (t *LeaseTerm) Owns(now time.Time, part int) (Tenure, bool) {
	held, ok := t.terms[part]
	if !ok || !held.registered {
		return Tenure{}, false
	}
	tenure := Tenure{
		Start: held.start,
		short: span{from: held.start, until: t.shortUntil},
		long:  span{from: held.longFrom, until: t.longUntil},
	}
	return tenure, tenure.Share(now) > 0
}

// Generation returns the generation of the last renewal.
func (t *LeaseTerm) Generation() uint64 { return t.generation }

// Parts returns the leased and registered partitions, sorted. It returns none after the lease
// expired.
func (t *LeaseTerm) Parts(now time.Time) []int {
	return t.partsWhere(now, func(held term) bool { return held.registered })
}

// SharedParts returns those of Parts that another node may still use, sorted.
func (t *LeaseTerm) SharedParts(now time.Time) []int {
	return t.partsWhere(now, func(held term) bool { return held.registered && now.Before(held.longFrom) })
}

func (t *LeaseTerm) partsWhere(now time.Time, match func(term) bool) []int {
	if t.lapsed(now) {
		return nil
	}
	parts := make([]int, 0, len(t.terms))
	for p, held := range t.terms {
		if match(held) {
			parts = append(parts, p)
		}
	}
	slices.Sort(parts)
	return parts
}

// Tenure is a node's right to issue the tokens of a partition, in two halves.
type Tenure struct {
	// Start tells the tenures of different terms apart.
	Start       time.Time
	short, long span
}

// Share returns the share of the quota that the node may use now: 0, 1/2 or 1.
func (t Tenure) Share(now time.Time) float64 {
	share := 0.0
	for _, half := range []span{t.short, t.long} {
		if half.contains(now) {
			share += 0.5
		}
	}
	return share
}

// accrued returns the time between from and to, each part of it times the share of the quota that
// the node had then.
func (t Tenure) accrued(from, to time.Time) time.Duration {
	return (t.short.overlap(from, to) + t.long.overlap(from, to)) / 2
}

// span is a time interval that does not contain its end.
type span struct{ from, until time.Time }

func (s span) contains(t time.Time) bool { return !t.Before(s.from) && t.Before(s.until) }

// overlap returns how long the span and the time between from and to overlap.
func (s span) overlap(from, to time.Time) time.Duration {
	return max(0, earlierOf(to, s.until).Sub(laterOf(from, s.from)))
}
