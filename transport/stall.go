package transport

import (
	"context"
	"sync"
	"time"
)

// After an interruption, TCP retransmits unacknowledged data with waits that
// double each time. A connection can therefore pass nothing in one direction
// for seconds after the network has recovered, while data still arrives in the
// other direction and the peer looks healthy. Calls sent on it wait all that
// time.
//
// The Transport therefore checks that calls arrive: either an answer to a call
// or a WebSocket pong confirms it. A connection with neither is suspended: new
// messages open another connection, and messages already queued on the old one
// can still be answered. A suspended connection that recovers is used again if
// no other replaced it.

// probeInterval is the time between two scans for connections to probe.
const probeInterval = 100 * time.Millisecond

// maxRoundTrip bounds the round-trip time used for the probe timeout. It is
// that of the most distant regions; a longer measurement includes a packet loss
// or a busy machine.
const maxRoundTrip = 300 * time.Millisecond

// unackedCalls tracks for how long sent calls have not been confirmed to
// arrive. It is safe for concurrent use.
type unackedCalls struct {
	mu sync.Mutex
	// oldest and newest are the send times of the oldest and the newest
	// unconfirmed call, zero if there is none.
	oldest, newest time.Time
}

// sent records a call sent at now.
func (r *unackedCalls) sent(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.oldest.IsZero() {
		r.oldest = now
	}
	r.newest = now
}

// acked records that everything sent up to until has arrived.
func (r *unackedCalls) acked(until time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.oldest.IsZero() || until.Before(r.oldest) {
		return
	}
	if until.Before(r.newest) {
		// The send time of the next call is not kept; it is later than until.
		r.oldest = until
		return
	}
	r.oldest = time.Time{}
	r.newest = time.Time{}
}

// unackedFor returns the age of the oldest unconfirmed call, zero if there is
// none.
func (r *unackedCalls) unackedFor(now time.Time) time.Duration {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.oldest.IsZero() {
		return 0
	}
	return now.Sub(r.oldest)
}

// MarkAnswered records the answer to a call that was sent at sent. It confirms all
// messages written before that call as well.
func (c *Conn) MarkAnswered(sent time.Time) { c.unackedCalls.acked(sent) }

// probeSuspects pings the suspect connections.
func (t *Transport) probeSuspects(now time.Time) {
	for _, c := range t.suspects(now) {
		t.probe(c)
	}
}

// suspects returns the active connections whose calls have been unconfirmed for
// longer than ProbeAfter and that are not being probed, and marks them as being
// probed.
func (t *Transport) suspects(now time.Time) []*Conn {
	t.mu.Lock()
	defer t.mu.Unlock()
	var found []*Conn
	for _, c := range t.active {
		if c.unackedCalls.unackedFor(now) > t.cfg.ProbeAfter && c.probing.CompareAndSwap(false, true) {
			found = append(found, c)
		}
	}
	return found
}

// probe pings the peer in the background, suspends the connection if no pong
// arrives in time, and uses it again once one does.
func (t *Transport) probe(c *Conn) {
	t.wg.Add(1)
	go func() {
		defer t.wg.Done()
		defer c.probing.Store(false)
		ctx, cancel := context.WithTimeout(context.Background(), t.cfg.WriteTimeout)
		defer cancel()
		timeout := t.cfg.ProbeTimeout + 2*min(c.roundTrip, maxRoundTrip)
		suspendTimer := time.AfterFunc(timeout, func() { t.suspend(c) })
		defer suspendTimer.Stop()
		begin := time.Now()
		if c.ws.Ping(ctx) != nil {
			return // suspended or closed
		}
		c.unackedCalls.acked(begin)
		t.reactivate(c)
	}()
}

// suspend stops using a connection for new messages and reports it to the
// handler.
func (t *Transport) suspend(c *Conn) {
	if t.deactivate(c) {
		t.handler.Suspended(c)
	}
}

// deactivate stops using a connection for new messages. It reports whether the
// connection was active.
func (t *Transport) deactivate(c *Conn) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active[c.peer.ID] != c {
		return false
	}
	delete(t.active, c.peer.ID)
	return true
}

// reactivate uses a suspended connection for new messages again, unless it has
// ended or another has replaced it.
func (t *Transport) reactivate(c *Conn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	_, open := t.byNumber[c.number]
	_, replaced := t.active[c.peer.ID]
	if open && !replaced {
		t.active[c.peer.ID] = c
	}
}
