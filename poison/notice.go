package poison

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// State is the state of a fingerprint. The order matters: of two states of the same
// generation the greater one wins.
type State uint8

const (
	// Unknown is the state of a fingerprint that was not in flight at a crash.
	Unknown State = iota
	// Suspect is the state after being in flight when a backend server crashed.
	Suspect
	// Cleared is the state of a former suspect that has finished.
	Cleared
	// Quarantined is the state of a quarantined fingerprint: it crashed another
	// backend server in its isolated run.
	Quarantined
)

var stateNames = [...]string{"unknown", "suspect", "cleared", "convicted"}

// String returns the name used in dumps.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// MarshalText implements encoding.TextMarshaler.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

const (
	// maxCrashed is the maximum number of nodes listed for one fingerprint.
	maxCrashed = 8
	// maxGeneration is the maximum generation, so that a forged notice can't
	// claim one that later suspicions never reach.
	maxGeneration = 64
)

// Notice reports a state of fingerprints to peers. Receivers converge to the same
// state whatever the order of notices and however often each arrives.
type Notice struct {
	// Origin is the node that observed the event.
	Origin wire.NodeID `cbor:"1,keyasint"`
	State  State       `cbor:"2,keyasint"`
	// Generation counts how often the fingerprints were suspected again after
	// being cleared.
	Generation uint8 `cbor:"3,keyasint,omitempty"`
	// Crashed lists nodes whose backend servers crashed with these
	// fingerprints in flight.
	Crashed      []wire.NodeID `cbor:"4,keyasint,omitempty"`
	Fingerprints []uint64      `cbor:"5,keyasint"`
	// TTL is the remaining lifetime at the time of sending. It is relative, so
	// that the clocks of nodes need not agree.
	TTL time.Duration `cbor:"6,keyasint"`
	// Hops counts how often the notice was forwarded.
	Hops uint8 `cbor:"7,keyasint,omitempty"`
}

// valid reports whether all values are within the ranges that a Guard sends.
func (n *Notice) valid(cfg *Config) bool {
	return n.State >= Suspect && n.State <= Quarantined &&
		n.Generation <= maxGeneration &&
		len(n.Crashed) <= maxCrashed &&
		len(n.Fingerprints) <= cfg.MaxPerCrash &&
		n.TTL > 0 &&
		n.Hops <= cfg.MaxHops
}
