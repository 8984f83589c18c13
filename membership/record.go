package membership

import (
	"net/netip"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// State of a member as one node sees it.
type State uint8

// The states, in the order in which one replaces another at the same
// incarnation. Alive, Draining and Left are said by the member itself, Suspect
// and Dead by others.
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

// MarshalText writes the name, so that JSON dumps are readable.
func (s State) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Gone reports whether the member takes no further part.
func (s State) Gone() bool { return s == Dead || s == Left }

// Record is what all nodes know about one member.
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
	// Ready says that the backend server beside the node has announced
	// itself and takes work.
	Ready bool `json:"ready"`
	// Incarnation orders what is said about the member; only the member
	// itself raises it.
	Incarnation uint64 `json:"incarnation"`
	// Content is the incarnation that last changed the service or an
	// address. A Change travels without them and is only understood by a
	// node that has the record with the same Content.
	Content uint64 `json:"content"`
}

// Change is a Record without what seldom changes: a fifth of the bytes.
type Change struct {
	_           struct{} `cbor:",toarray"`
	ID          wire.NodeID
	State       State
	Flags       uint8
	Incarnation uint64
	Content     uint64
}

// Bits of Change.Flags.
const (
	flagReady uint8 = 1 << iota
	// flagSuperseded marks a Dead claim that was made because another
	// process answered at the member's address.
	flagSuperseded
)

// Limits of what is accepted about a member, whoever sends it.
const (
	maxNameBytes   = 64
	maxAddrBytes   = 64
	maxIncarnation = 1 << 40
)

func (c Change) valid() bool {
	return !c.ID.IsZero() && c.State < stateCount && c.Content <= c.Incarnation && c.Incarnation <= maxIncarnation
}

// valid refuses what no node sends: members that are gone travel as a Change.
func (r *Record) valid() bool {
	if r.ID.IsZero() || r.State.Gone() || r.State >= stateCount {
		return false
	}
	if r.Content > r.Incarnation || r.Incarnation > maxIncarnation {
		return false
	}
	if len(r.Service) > maxNameBytes || len(r.DataCentre) > maxNameBytes || len(r.Region) > maxNameBytes {
		return false
	}
	return validAddr(r.PeerAddr) && optionalAddr(r.OpsAddr) && optionalAddr(r.CallerAddr)
}

func validAddr(addr string) bool {
	if len(addr) > maxAddrBytes {
		return false
	}
	ap, err := netip.ParseAddrPort(addr)
	return err == nil && ap.Port() != 0
}

func optionalAddr(addr string) bool { return addr == "" || validAddr(addr) }

// newer reports whether (inc, state) replaces what r says.
func (r *Record) newer(inc uint64, state State) bool {
	if inc != r.Incarnation {
		return inc > r.Incarnation
	}
	return state > r.State
}

func (r *Record) change() Change {
	c := Change{ID: r.ID, State: r.State, Incarnation: r.Incarnation, Content: r.Content}
	if r.Ready {
		c.Flags |= flagReady
	}
	return c
}

// digest is the member's part of its bucket's hash. Suspicion is left out: it
// passes, and the Dead claim or the refutation that follows is repaired.
func (r *Record) digest() uint32 {
	var b [32]byte
	copy(b[:], r.ID[:])
	for i := range 8 {
		b[16+i] = byte(r.Incarnation >> (8 * i))
		b[24+i] = byte(r.Content >> (8 * i))
	}
	return uint32(xxhash.Sum64(b[:]))
}
