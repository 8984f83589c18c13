// Package wire holds what all messages between nodes share: the identity of a
// node, the frame, and the CBOR settings with their limits.
package wire

import (
	"crypto/rand"
	"encoding/hex"
	"fmt"
)

// NodeID identifies one incarnation of a node: a process draws it at random
// when it starts and keeps it until it ends. A process restarted on the same
// address has another NodeID, so that nothing sent to the old one can reach the
// new one by mistake.
type NodeID [16]byte

// NewNodeID returns a random NodeID; 128 random bits make a collision
// negligible.
func NewNodeID() NodeID {
	var id NodeID
	rand.Read(id[:]) // never fails (crypto/rand, Go 1.24)
	return id
}

// IsZero reports whether the NodeID is not set.
func (id NodeID) IsZero() bool { return id == NodeID{} }

// String returns the hexadecimal form.
func (id NodeID) String() string { return hex.EncodeToString(id[:]) }

// Short returns the first eight hexadecimal digits, for logs.
func (id NodeID) Short() string { return hex.EncodeToString(id[:4]) }

// MarshalText returns the hexadecimal form, so that JSON dumps are readable.
func (id NodeID) MarshalText() ([]byte, error) { return []byte(id.String()), nil }

// UnmarshalText parses the hexadecimal form.
func (id *NodeID) UnmarshalText(b []byte) error {
	if len(b) != hex.EncodedLen(len(id)) {
		return fmt.Errorf("node id %q: want %d hexadecimal digits", b, hex.EncodedLen(len(id)))
	}
	_, err := hex.Decode(id[:], b)
	return err
}
