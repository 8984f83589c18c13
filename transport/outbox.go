package transport

import (
	"slices"
	"sync"
	"sync/atomic"
)

// Delivery tracks whether one message may have been written to the network.
type Delivery struct {
	written atomic.Bool
	conn    *Conn
}

// Written reports whether the message may have reached the peer. It becomes
// true just before the first byte is written. After Conn.Done is closed, false
// is final: the message was not sent and its caller may be told "not run". True
// does not prove that the message arrived.
func (d *Delivery) Written() bool { return d.written.Load() }

// MayHaveArrived reports whether the peer may act on the message, a call, without an
// answer to it. After Conn.Done is closed, false is final.
func (d *Delivery) MayHaveArrived() bool { return d.Written() && !d.conn.peerClosing.Load() }

type queuedMessage struct {
	data     []byte
	delivery *Delivery
}

// maxRetainedCap is the queue capacity, in messages, that an empty outbox
// keeps. Capacity beyond it, added by a burst, is released.
const maxRetainedCap = 64

// outbox is the bounded FIFO queue of messages to one peer. Its memory grows
// and shrinks with the queue because most connections are idle.
type outbox struct {
	limit int
	// wake is signalled when a message is queued or the outbox is closed. Its
	// capacity of one is enough because the writer checks the queue again after
	// each receive.
	wake chan struct{}

	mu     sync.Mutex
	queue  []queuedMessage // queued messages start at head
	head   int
	closed bool
	// writing is set while a message returned by next is being written.
	writing bool
}

func newOutbox(limit int) *outbox {
	return &outbox{limit: limit, wake: make(chan struct{}, 1)}
}

// put queues a message. After an error next never returns it.
func (o *outbox) put(m queuedMessage) error {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.closed {
		return ErrClosed
	}
	if len(o.queue)-o.head >= o.limit {
		return ErrBusy
	}
	if len(o.queue) == cap(o.queue) {
		o.queue = slices.Delete(o.queue, 0, o.head)
		o.head = 0
	}
	o.queue = append(o.queue, m)
	o.signal()
	return nil
}

// next waits for a message and removes it from the queue; ok is false once the
// outbox is closed. It marks the message as written under the lock that close
// takes: otherwise a closed connection could report "not written" while its
// writer is about to write the message, and a caller could be told "not run"
// about a call that runs.
func (o *outbox) next() (m queuedMessage, ok bool) {
	for {
		if m, ok, closed := o.tryNext(); ok || closed {
			return m, ok
		}
		<-o.wake
	}
}

func (o *outbox) tryNext() (m queuedMessage, ok, closed bool) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.writing = false
	if o.closed || o.head == len(o.queue) {
		return queuedMessage{}, false, o.closed
	}
	o.writing = true
	m = o.queue[o.head]
	o.queue[o.head] = queuedMessage{}
	o.head++
	if o.head == len(o.queue) {
		o.reset()
	}
	m.delivery.written.Store(true)
	return m, true, false
}

func (o *outbox) reset() {
	o.head = 0
	o.queue = o.queue[:0]
	if cap(o.queue) > maxRetainedCap {
		o.queue = nil
	}
}

// close closes the outbox and drops the queued messages.
func (o *outbox) close() {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.closed = true
	o.queue = nil
	o.head = 0
	o.signal()
}

// busy reports whether a message is queued or being written.
func (o *outbox) busy() bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.writing && !o.closed || o.head < len(o.queue)
}

func (o *outbox) signal() {
	select {
	case o.wake <- struct{}{}:
	default:
	}
}
