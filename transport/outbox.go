package transport

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Delivery tells what became of one message.
type Delivery struct {
	written atomic.Bool
}

// Written reports whether the message may have reached the peer. It is set
// just before the first byte is written: a false is certain once the
// connection is done, a true is not. Only with a false may a caller be told
// "not run".
func (d *Delivery) Written() bool { return d.written.Load() }

type outgoing struct {
	data     []byte
	delivery *Delivery
}

// keptRoom is the room for messages that an empty outbox keeps; what a burst
// needed beyond it is given back.
const keptRoom = 64

// outbox holds the messages that wait for one peer, in order. Its memory
// follows what waits: most connections of a node are at rest.
type outbox struct {
	limit int
	// wake has room for one: whoever writes looks again after each receive.
	wake chan struct{}

	mu      sync.Mutex
	waiting []outgoing // from taken on
	taken   int
	closed  bool
	// writing says that a message was taken and next has not been called
	// since.
	writing bool
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, wake: make(chan struct{}, 1)}
}

// put adds a message. With an error it will never be taken.
func (o *outbox) put(m outgoing) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return ErrClosed
	}
	if len(o.waiting)-o.taken >= o.limit {
		return ErrBusy
	}
	if len(o.waiting) == cap(o.waiting) {
		o.waiting = slices.Delete(o.waiting, 0, o.taken)
		o.taken = 0
	}
	o.waiting = append(o.waiting, m)
	o.signal()
	return nil
}

// next waits for a message and takes it; ok is false once the outbox is
// closed. The message counts as written from here on, under the same lock as
// the close: a connection that is done could otherwise report "not written"
// while its writer is just about to write, and a caller be told "not run"
// about a call that runs.
func (o *outbox) next() (m outgoing, ok bool) {
	for {
		if m, ok, closed := o.take(); ok || closed {
			return m, ok
		}
		<-o.wake
	}
}

func (o *outbox) take() (m outgoing, ok, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
	if o.closed || o.taken == len(o.waiting) {
		return outgoing{}, false, o.closed
	}
	o.writing = true
	m = o.waiting[o.taken]
	o.waiting[o.taken] = outgoing{}
	o.taken++
	if o.taken == len(o.waiting) {
		o.empty()
	}
	m.delivery.written.Store(true)
	return m, true, false
}

func (o *outbox) empty() {
	o.taken = 0
	o.waiting = o.waiting[:0]
	if cap(o.waiting) > keptRoom {
		o.waiting = nil
	}
}

// close ends the outbox; what waits is never written.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.waiting = nil
	o.taken = 0
	o.signal()
}

// busy reports whether a message waits or is being written.
func (o *outbox) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing && !o.closed || o.taken < len(o.waiting)
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
