// Package freshness decides whether a node may rely on the configuration that it has.
//
// What it guarantees: a Keeper calls a configuration fresh only if every version that
// was published longer ago than the bound is in it. It needs no clock that two machines
// share.
//
// The failure that it answers: a key is taken away while a node is cut off from the
// store. The node goes on with the configuration that it has and serves the key for as
// long as the cut lasts. Here it stops once the age of its proof passes the bound.
package freshness

import "time"

// Proof says that at a moment nothing newer than a version was published. The moment is
// that before the question was sent whose answer said so: the answer may have been held
// up on its way, or its reader may have slept before it read it.
type Proof struct {
	Version uint64
	At      time.Time
}

// Keeper holds the best proof that a node has. It is not safe for concurrent use. All
// times are of one bootclock.Clock.
type Keeper struct {
	inForce uint64
	// usable is when the version in force was known to be the newest; zero for never.
	usable time.Time
	// ahead is a proof for a version that is not in force here yet.
	ahead Proof
}

// Learn takes a proof.
func (k *Keeper) Learn(p Proof) {
	switch {
	case p.Version <= k.inForce:
		k.use(p.At)
	case p.At.After(k.ahead.At):
		k.ahead = p
	}
}

// InForce says which version is in force from now on; a version never goes back.
func (k *Keeper) InForce(version uint64) {
	k.inForce = max(k.inForce, version)
	if !k.ahead.At.IsZero() && k.ahead.Version <= k.inForce {
		k.use(k.ahead.At)
		k.ahead = Proof{}
	}
}

func (k *Keeper) use(at time.Time) {
	if at.After(k.usable) {
		k.usable = at
	}
}

// Age is the time since the version in force was known to be the newest; false if it
// never was.
func (k *Keeper) Age(now time.Time) (time.Duration, bool) {
	if k.usable.IsZero() {
		return 0, false
	}
	return now.Sub(k.usable), true
}

// Fresh reports whether every version published longer ago than the bound is in force.
func (k *Keeper) Fresh(now time.Time, bound time.Duration) bool {
	age, known := k.Age(now)
	return known && age <= bound
}

// Best is the proof to pass on: that of the version in force.
func (k *Keeper) Best() (Proof, bool) {
	return Proof{Version: k.inForce, At: k.usable}, !k.usable.IsZero()
}
