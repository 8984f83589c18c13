// Package readers schedules the calls of a node to the platform's store.
//
// If every node waited at the store for changes of the routes, polled the list
// of nodes and retried during an outage, the load on the store would grow with
// the fleet. So a few nodes of each data centre, the readers, read the store,
// and the others receive the routes from them. Any other node calls the store
// only at its start, while it knows no other node, when it lacks a recent
// proof that its routes are the newest, and rarely as a check.
//
// The package reads no clock and makes no calls. The time, the node's
// situation and the results of calls are passed in; the next call is returned.
package readers

import (
	"math/rand/v2"
	"time"
)

// NodeState is a node's view of itself and its peers when it plans the next
// call.
type NodeState struct {
	// Reader says that the node is one of the few that read for their data
	// centre.
	Reader bool
	// Prover says that the node is one of the few that supply their data
	// centre with proofs that the routes are the newest. Most provers are
	// readers; one that is not reads the routes like a reader.
	Prover bool
	// NoPeers says that the node knows no other node.
	NoPeers bool
	// Routes says that the node has routes in force, from the store or from a
	// peer.
	Routes bool
	// NeedsProof says that neither the node nor a reachable peer has a recent
	// proof that the routes are the newest.
	NeedsProof bool
	// Isolated says that no peer has answered a request recently.
	Isolated bool
	// Neighbours is the number of nodes in the data centre, including this
	// one.
	Neighbours int
}

// followsStore reports whether the node waits at the store for new routes.
func (s NodeState) followsStore() bool { return s.Reader || s.Prover }

// idlePause is the longest pause before the situation is checked again: the
// node may have become a reader because another one failed. It adds to the
// time until that failure is detected.
const idlePause = 500 * time.Millisecond

// backoff computes the pause after consecutive failures. It doubles from min
// to max.
type backoff struct {
	min, max time.Duration
	next     time.Duration
}

func (b *backoff) reset() { b.next = b.min }

func (b *backoff) nextDelay() time.Duration {
	d := max(b.next, b.min)
	b.next = min(2*d, b.max)
	return d
}

// jitter returns a random duration between 0.75 d and 1.25 d, so that nodes
// that start together do not keep calling at the same time.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rng.Float64()/2))
}
