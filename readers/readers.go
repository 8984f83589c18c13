// Package readers decides which nodes call the platform's store, and when.
//
// The load that it answers: every change of the routes wakes whoever waits at the
// store, every pass over the list of nodes costs a call, and a store that is away
// is asked again by all who miss it. If each node does all this, the calls grow
// with the fleet and with each of its troubles. So a few nodes of a data centre
// read, the others learn from them, and a node calls the store itself only when it
// cannot learn: at its start, alone, or seldom, in case nobody tells it.
//
// Nothing here reads a clock or makes a call: time, the node's situation and the
// outcome of calls come in, and the next call comes out.
package readers

import (
	"math/rand/v2"
	"time"
)

// Situation is what a node knows of itself when it asks what to do.
type Situation struct {
	// Reader marks one of the few nodes that read for their data centre.
	Reader bool
	// Prover marks one of the few nodes whose proofs that the routes are the newest the
	// others of their data centre rely on. Most are readers; one that is not reads the routes
	// as they do.
	Prover bool
	// Alone marks a node that knows no other one.
	Alone bool
	// Routes says that routes are in force here, whoever brought them.
	Routes bool
	// Unproved says that the routes here were not known to be the newest for long: no node
	// within reach has a recent proof.
	Unproved bool
	// Isolated says that no peer has answered a question for a while.
	Isolated bool
	// Neighbours is the number of nodes in the data centre, this one included.
	Neighbours int
}

// follows reports whether the node waits at the store for new routes.
func (s Situation) follows() bool { return s.Reader || s.Prover }

// look is the pause of a node that has nothing to ask: by then it may have become
// a reader, since another one has gone. It adds to the second or two after which a
// node that is gone is missed.
const look = 500 * time.Millisecond

// backoff is the pause after calls that failed in a row: twice as long each time.
type backoff struct {
	min, max time.Duration
	next     time.Duration
}

func (b *backoff) reset() { b.next = b.min }

func (b *backoff) step() time.Duration {
	d := max(b.next, b.min)
	b.next = min(2*d, b.max)
	return d
}

// jitter returns between three quarters and five quarters of d, so that nodes
// that started together do not ask together for good.
func jitter(rng *rand.Rand, d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.75 + rng.Float64()/2))
}
