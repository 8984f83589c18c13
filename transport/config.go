// Package transport carries messages between nodes: one WebSocket per pair of
// nodes in use, CBOR frames, many calls multiplexed.
//
// It promises three things to the duties above it. A message goes to the very
// incarnation that it is meant for or to nobody: both ends name themselves
// before anything else. A message that was never handed to the network is
// known as such (Delivery.Written). And memory stays bounded whatever a peer
// does: sizes, queue lengths and waiting times all have limits.
package transport

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// ProtocolVersion is refused when the peer's differs.
const ProtocolVersion = 1

// Path is where peers connect.
const Path = "/peer"

// Hello is the first message in each direction.
type Hello struct {
	Cluster string      `cbor:"1,keyasint"`
	Version uint16      `cbor:"2,keyasint"`
	ID      wire.NodeID `cbor:"3,keyasint"`
	// Addr is where the sender takes connections from peers.
	Addr string `cbor:"4,keyasint"`
	// DataCentre of the sender, for counting what goes between data centres.
	DataCentre string `cbor:"5,keyasint,omitempty"`
}

// Opened is the second message of the end that dialled: it has heard the other
// end's hello. A node of an earlier release takes it for a message of a kind that
// it does not know, and passes over it.
type Opened struct{}

// Config of a Transport.
type Config struct {
	// Cluster keeps installations apart that reach each other by mistake.
	Cluster string
	ID      wire.NodeID
	Addr    string
	// DataCentre is told to peers.
	DataCentre string
	// DialTimeout bounds connecting and both hellos. One second is many
	// round trips between regions, and short against a request's patience.
	DialTimeout time.Duration
	// WriteTimeout ends a connection whose peer takes nothing, for example
	// because it is frozen: what waits for it then fails instead of waiting
	// for good.
	WriteTimeout time.Duration
	// ProofAfter is the time after which a call without an answer needs another
	// sign that it has come through: most calls are answered sooner, so that few
	// connections are ever asked.
	ProofAfter time.Duration
	// StallAfter sets a connection aside whose peer gave no sign for so long when
	// asked, besides two round trips as its opening took: what a busy machine needs
	// to answer, and a fraction of what callers wait for.
	StallAfter time.Duration
	// IdleTimeout closes a connection that nothing used, so that their
	// number follows the work and not the size of the fleet.
	IdleTimeout time.Duration
	// Outbound bounds the messages that wait for one peer. It covers the
	// calls of a few seconds at the design load of 400 calls/s.
	Outbound int
	// MaxInbound bounds connections taken from peers: at the design size a
	// node hears from at most all 3,500 others.
	MaxInbound int
}

// DefaultConfig returns the settings that the daemon starts from.
func DefaultConfig() Config {
	return Config{
		DialTimeout:  time.Second,
		WriteTimeout: 3 * time.Second,
		ProofAfter:   150 * time.Millisecond,
		StallAfter:   250 * time.Millisecond,
		IdleTimeout:  30 * time.Second,
		Outbound:     1024,
		MaxInbound:   4096,
	}
}
