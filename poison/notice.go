package poison

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// State of a fingerprint. The order matters: of two claims about the same
// generation the greater one holds.
type State uint8

const (
	// Unknown is the state of every fingerprint that never was in flight at
	// a crash.
	Unknown State = iota
	// Suspect was in flight when a backend server crashed.
	Suspect
	// Cleared was a suspect and then ran to its end.
	Cleared
	// Convicted was alone when it crashed a further backend server.
	Convicted
)

var stateNames = [...]string{"unknown", "suspect", "cleared", "convicted"}

// String returns the name used in dumps.
func (s State) String() string {
	if int(s) >= len(stateNames) {
		return "invalid"
	}
	return stateNames[s]
}

// MarshalText makes dumps readable.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

const (
	// maxCrashed bounds the nodes listed for one fingerprint.
	maxCrashed = 8
	// maxGeneration bounds how often one fingerprint can be suspected anew,
	// so that a forged notice cannot claim a generation out of reach.
	maxGeneration = 64
)

// Notice tells peers what became of fingerprints. The states merge to the same
// result whatever the order and number in which notices arrive.
type Notice struct {
	// Origin is the node that saw the event.
	Origin wire.NodeID `cbor:"1,keyasint"`
	State  State       `cbor:"2,keyasint"`
	// Generation counts how often the fingerprints were suspected again after
	// they had been cleared.
	Generation uint8 `cbor:"3,keyasint,omitempty"`
	// Crashed lists nodes whose backend servers crashed with these
	// fingerprints in flight.
	Crashed      []wire.NodeID `cbor:"4,keyasint,omitempty"`
	Fingerprints []uint64      `cbor:"5,keyasint"`
	// TTL is the life left when the notice was sent; no two machines need to
	// agree on the time.
	TTL  time.Duration `cbor:"6,keyasint"`
	Hops uint8         `cbor:"7,keyasint,omitempty"`
}

// valid rejects what no Guard sends.
func (n *Notice) valid(cfg *Config) bool {
	return n.State >= Suspect && n.State <= Convicted &&
		n.Generation <= maxGeneration &&
		len(n.Crashed) <= maxCrashed &&
		len(n.Fingerprints) <= cfg.MaxPerCrash &&
		n.TTL > 0 &&
		n.Hops <= cfg.MaxHops
}
