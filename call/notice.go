package call

import "math"

// Notice is what a backend incarnation has said about itself, in an answer or to its node.
// Nodes pass it on because a node that restarts forgets it, while the nodes that have
// forwarded such an answer are still bound by it.
type Notice struct {
	// Incarnation is the ID of the backend incarnation; it is empty if there is no
	// notice. Born is its start in Unix milliseconds, zero if unknown.
	Incarnation string `cbor:"1,keyasint"`
	Born        int64  `cbor:"2,keyasint,omitempty"`
	// Limited says that it takes at most PerSecond requests a second from all nodes
	// together.
	Limited   bool    `cbor:"3,keyasint,omitempty"`
	PerSecond float64 `cbor:"4,keyasint,omitempty"`
	// Leaving says that it gets no more requests.
	Leaving bool `cbor:"5,keyasint,omitempty"`
}

// maxIncarnationID bounds the ID in a notice from a peer, in bytes.
const maxIncarnationID = 256

// Valid reports whether a notice from a peer can be used.
func (n Notice) Valid() bool {
	finite := !math.IsNaN(n.PerSecond) && !math.IsInf(n.PerSecond, 0)
	return n.Incarnation != "" && len(n.Incarnation) <= maxIncarnationID && n.Born >= 0 && finite && n.PerSecond >= 0
}
