// Package transport carries messages between nodes: one WebSocket for each pair
// of nodes that communicate, with CBOR frames and many concurrent calls on
// each.
//
// It guarantees three things. A message reaches the intended incarnation or
// none, because both ends identify themselves before anything else. A message
// that was never written to the network, or arrived at a node that had announced to
// close the connection, is known as such (Delivery.MayHaveArrived).
// Memory is bounded whatever a peer does, because message sizes, queue lengths
// and waiting times are limited.
package transport

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// ProtocolVersion is the protocol version of this node. Connections to peers
// with another version are refused.
const ProtocolVersion = 1

// Path is the HTTP path at which a node accepts connections from peers.
const Path = "/peer"

// Hello is the first message in each direction. The accepting end sends its hello after it
// received the other, so that it reads all that the dialling end sends from then on.
type Hello struct {
	Cluster string      `cbor:"1,keyasint"`
	Version uint16      `cbor:"2,keyasint"`
	ID      wire.NodeID `cbor:"3,keyasint"`
	// Addr is the address at which the sender accepts connections from peers.
	Addr string `cbor:"4,keyasint"`
	// DataCentre is the sender's; it is used to count the traffic between data
	// centres.
	DataCentre string `cbor:"5,keyasint,omitempty"`
}

// Opened is the second message of the dialling end. It confirms that it
// received the other end's hello. Earlier releases ignore it as a message of
// unknown kind.
type Opened struct{}

// Closing is the last message of a node that has answered all calls and runs no
// further one. Earlier releases ignore it as a message of unknown kind.
type Closing struct{}

// Config holds the settings of a Transport.
type Config struct {
	// Cluster is the name of the installation. Peers of another cluster are
	// refused, so that installations which reach each other by mistake don't
	// mix.
	Cluster string
	// ID identifies this incarnation.
	ID wire.NodeID
	// Addr is the address at which this node accepts connections from peers.
	Addr string
	// DataCentre is sent to peers in the hello.
	DataCentre string
	// DialTimeout bounds the connection attempt and the exchange of hellos. It
	// is longer than many round trips between regions and short against the
	// deadlines of requests.
	DialTimeout time.Duration
	// AcceptTimeout bounds the exchange of hellos at the accepting end. It is longer than
	// DialTimeout, so that the dialling end, which can dial again, gives up first.
	AcceptTimeout time.Duration
	// WriteTimeout bounds one write. A connection whose peer reads nothing, for
	// example because it is frozen, is closed after it, so that messages queued
	// for that peer fail.
	WriteTimeout time.Duration
	// ProbeAfter is the age of an unanswered call after which its connection is
	// probed. Most calls are answered sooner, so few connections are probed.
	ProbeAfter time.Duration
	// ProbeTimeout is the time, in addition to two round trips, that a peer has
	// to answer a probe before its connection is suspended. It allows for a
	// busy machine and is short against the deadlines of requests.
	ProbeTimeout time.Duration
	// IdleTimeout is the time after which an unused connection is closed, so
	// that the number of connections follows the traffic and not the size of
	// the fleet.
	IdleTimeout time.Duration
	// MaxQueuedMessages bounds the messages queued for one peer. The default covers a
	// few seconds at the design load of 400 calls/s.
	MaxQueuedMessages int
	// MaxInbound bounds the connections accepted from peers. The default allows
	// one from each of the 3,500 other nodes of the design size.
	MaxInbound int
}

// DefaultConfig returns the default settings, without those that identify the
// node.
func DefaultConfig() Config {
	return Config{
		DialTimeout:       time.Second,
		AcceptTimeout:     5 * time.Second,
		WriteTimeout:      3 * time.Second,
		ProbeAfter:        150 * time.Millisecond,
		ProbeTimeout:      250 * time.Millisecond,
		IdleTimeout:       30 * time.Second,
		MaxQueuedMessages: 1024,
		MaxInbound:        4096,
	}
}
