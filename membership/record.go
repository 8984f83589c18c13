package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// State of a member as one node sees it.
type State uint8

// The states, in order of precedence at the same incarnation. A member
// publishes Alive, Draining and Left itself; other nodes publish Suspect and
// Dead.
const (
	Alive State = iota
	Draining
	Suspect
	Dead
	Left
	stateCount
)

var stateNames = [stateCount]string{"alive", "draining", "suspect", "dead", "left"}

// String returns the name used in dumps.
func (s State) String() string {
	if s >= stateCount {
		return "invalid"
	}
	return stateNames[s]
}

// MarshalText returns the name, for readable JSON dumps.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Gone reports whether the member has failed or left.
func (s State) Gone() bool { return s == Dead || s == Left }

// Record is the published state of one member.
type Record struct {
	_          struct{}    `cbor:",toarray"`
	ID         wire.NodeID `json:"id"`
	Service    string      `json:"service"`
	DataCentre string      `json:"dataCentre"`
	Region     string      `json:"region"`
	PeerAddr   string      `json:"peerAddr"`
	OpsAddr    string      `json:"opsAddr"`
	CallerAddr string      `json:"callerAddr"`
	State      State       `json:"state"`
	// Ready says that the backend server beside the node has announced itself
	// and accepts work.
	Ready bool `json:"ready"`
	// Incarnation orders the records of one member; only the member itself
	// raises it.
	Incarnation uint64 `json:"incarnation"`
	// ContentIncarnation is the incarnation that last changed the service or an address.
	// A Change omits those, so it only applies to a record with the same
	// ContentIncarnation.
	ContentIncarnation uint64 `json:"content"`
}

// Change is a Record without the fields that seldom change.
type Change struct {
	_                  struct{} `cbor:",toarray"`
	ID                 wire.NodeID
	State              State
	Flags              uint8
	Incarnation        uint64
	ContentIncarnation uint64
}

// Bits of Change.Flags.
const (
	flagReady uint8 = 1 << iota
	// flagSuperseded marks a Dead claim made because another process answered
	// at the member's address.
	flagSuperseded
)

// Limits on the fields of received records and changes.
const (
	maxNameBytes   = 64
	maxAddrBytes   = 64
	maxIncarnation = 1 << 40
)

// valid reports whether the change is within the limits.
func (c Change) valid() bool {
	return !c.ID.IsZero() && c.State < stateCount && c.ContentIncarnation <= c.Incarnation && c.Incarnation <= maxIncarnation
}

// valid reports whether a node could have sent the record. Members that are
// gone are sent as a Change only.
func (r *Record) valid() bool {
	if r.ID.IsZero() || r.State.Gone() || r.State >= stateCount {
		return false
	}
	if r.ContentIncarnation > r.Incarnation || r.Incarnation > maxIncarnation {
		return false
	}
	if len(r.Service) > maxNameBytes || len(r.DataCentre) > maxNameBytes || len(r.Region) > maxNameBytes {
		return false
	}
	return validAddr(r.PeerAddr) && optionalAddr(r.OpsAddr) && optionalAddr(r.CallerAddr)
}

// validAddr reports whether addr is an IP address and a port.
func validAddr(addr string) bool {
	if len(addr) > maxAddrBytes {
		return false
	}
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Port() != 0
}

func optionalAddr(addr string) bool { return addr == "" || validAddr(addr) }

// newer reports whether (inc, state) takes precedence over r.
func (r *Record) newer(inc uint64, state State) bool {
	if inc != r.Incarnation {
		return inc > r.Incarnation
	}
	return state > r.State
}

// change returns the Change that describes r.
func (r *Record) change() Change {
	c := Change{ID: r.ID, State: r.State, Incarnation: r.Incarnation, ContentIncarnation: r.ContentIncarnation}
	if r.Ready {
		c.Flags |= flagReady
	}
	return c
}

// digest is the member's contribution to the hash of its bucket. Suspicion is
// left out because it ends: a Dead claim removes the member from the hash, and
// a refutation raises the incarnation.
func (r *Record) digest() uint32 {
	var b [32]byte
	copy(b[:], r.ID[:])
	for i := range 8 {
		b[16+i] = byte(r.Incarnation >> (8 * i))
		b[24+i] = byte(r.ContentIncarnation >> (8 * i))
	}
	return uint32(xxhash.Sum64(b[:]))
}
