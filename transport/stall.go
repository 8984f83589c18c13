package transport

import (
	"context"
	"sync"
	"time"
)

// After a cut that heals, or one direction that loses packets, TCP sends again what
// was not acknowledged after waits that double each time: a connection that was cut
// for four seconds may pass nothing for three more, in one direction only, while the
// peer is heard in the other and looks well. Calls handed to it wait all that time.
//
// So a call must be seen to have come through: an answer shows it, or the answer to a
// question that the WebSocket itself asks. Without either the connection is set
// aside: nothing new goes out by it, the next message opens another, and what waits
// on it keeps its chance of an answer. A connection that comes back to life is used
// again unless another has taken its place.

// proofTick is the time between two looks for connections in doubt: a fraction of
// what callers wait for, and a few lookups a second for each peer.
const proofTick = 100 * time.Millisecond

// farthest is the round trip between the most distant regions: an opening that took
// longer met a loss or a busy machine.
const farthest = 300 * time.Millisecond

// receipts tells since when calls have gone out that nothing has come back for. Safe
// for concurrent use.
type receipts struct {
	mu sync.Mutex
	// first and last are when the oldest and the newest of those were sent, zero if
	// there are none.
	first, last time.Time
}

// sent notes a call.
func (r *receipts) sent(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first.IsZero() {
		r.first = now
	}
	r.last = now
}

// shown notes that what was sent up to a moment has come through.
func (r *receipts) shown(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first.IsZero() || until.Before(r.first) {
		return
	}
	if until.Before(r.last) {
		// The next one was sent later than this; its exact time is not kept.
		r.first = until
		return
	}
	r.first = time.Time{}
	r.last = time.Time{}
}

// missing returns how long nothing has shown that calls come through.
func (r *receipts) missing(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.first.IsZero() {
		return 0
	}
	return now.Sub(r.first)
}

// MarkAnswered notes an answer to a call that was sent at a moment: all that was written
// before it has come through as well.
func (c *Conn) MarkAnswered(sent time.Time) { c.receipts.shown(sent) }

// askDoubtful asks the connections in doubt.
func (t *Transport) askDoubtful(now time.Time) {
	for _, c := range t.doubtful(now) {
		t.ask(c)
	}
}

// doubtful lists the connections in use that owe an answer for too long and have not
// been asked.
func (t *Transport) doubtful(now time.Time) []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*Conn
	for _, c := range t.conns {
		if c.receipts.missing(now) > t.cfg.ProofAfter && c.asking.CompareAndSwap(false, true) {
			found = append(found, c)
		}
	}
	return found
}

// ask has the WebSocket of a connection ask its peer for a sign, and sets the
// connection aside while there is none.
func (t *Transport) ask(c *Conn) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		defer c.asking.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), t.cfg.WriteTimeout)
		defer cancel()
		patience := t.cfg.StallAfter + 2*min(c.roundTrip, farthest)
		late := time.AfterFunc(patience, func() { t.setAside(c) })
		defer late.Stop()
		begin := time.Now()
		if c.ws.Ping(ctx) != nil {
			return // it is set aside, or has ended
		}
		c.receipts.shown(begin)
		t.useAgain(c)
	}()
}

// setAside takes a connection out of use for new messages.
func (t *Transport) setAside(c *Conn) {
	if t.withdraw(c) {
		t.handler.Stalled(c)
	}
}

// withdraw takes a connection out of use and reports whether it was in use.
func (t *Transport) withdraw(c *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.conns[c.peer.ID] != c {
		return false
	}
	delete(t.conns, c.peer.ID)
	return true
}

// useAgain takes a connection that was set aside into use, unless another is.
func (t *Transport) useAgain(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, open := t.all[c.number]
	_, other := t.conns[c.peer.ID]
	if open && !other {
		t.conns[c.peer.ID] = c
	}
}
