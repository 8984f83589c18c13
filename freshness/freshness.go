// Package freshness decides whether a node may rely on its configuration.
//
// A ProofTracker guarantees that a configuration that it calls fresh contains every
// version that was published longer ago than a bound. It does not require
// synchronized clocks.
//
// This limits how long a node that is cut off from the store serves a key
// after the key was removed: the node stops when its freshness proof is older
// than the bound.
package freshness

import "time"

// Proof states that at the time At no version newer than Version had been
// published. At is the time before the request was sent, because the answer
// may have been delayed or processed late.
type Proof struct {
	Version uint64
	At      time.Time
}

// ProofTracker holds the best freshness proof of a node. It is not safe for
// concurrent use. All times are of one bootclock.Clock.
type ProofTracker struct {
	inForce uint64
	// confirmedAt is when the version in force was last known to be the
	// newest, zero if it never was.
	confirmedAt time.Time
	// pending is the latest proof of a version that is not in force yet.
	pending Proof
}

// AddProof adds a proof. A proof of a newer version takes effect when that
// version is in force.
func (k *ProofTracker) AddProof(p Proof) {
	switch {
	case p.Version <= k.inForce:
		k.confirm(p.At)
	case p.At.After(k.pending.At):
		k.pending = p
	}
}

// SetInForce records that a version is in force. Lower versions than before are
// ignored.
func (k *ProofTracker) SetInForce(version uint64) {
	k.inForce = max(k.inForce, version)
	if !k.pending.At.IsZero() && k.pending.Version <= k.inForce {
		k.confirm(k.pending.At)
		k.pending = Proof{}
	}
}

func (k *ProofTracker) confirm(at time.Time) {
	if at.After(k.confirmedAt) {
		k.confirmedAt = at
	}
}

// Age returns the time since the version in force was last known to be the
// newest, and false if it never was.
func (k *ProofTracker) Age(now time.Time) (time.Duration, bool) {
	if k.confirmedAt.IsZero() {
		return 0, false
	}
	return now.Sub(k.confirmedAt), true
}

// Fresh reports whether every version published longer ago than the bound is
// known to be in force.
func (k *ProofTracker) Fresh(now time.Time, bound time.Duration) bool {
	age, known := k.Age(now)
	return known && age <= bound
}

// CurrentProof returns the proof of the version in force, for peers, and false if
// there is none.
func (k *ProofTracker) CurrentProof() (Proof, bool) {
	return Proof{Version: k.inForce, At: k.confirmedAt}, !k.confirmedAt.IsZero()
}
