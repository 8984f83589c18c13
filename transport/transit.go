package transport

import (
	"sync"
	"time"
)

// transitWindow is the time over which the fastest message counts. It is longer than
// a connection is held up before it ends, and short enough that a sender whose clock
// stood still, because its machine slept, is believed again soon.
const transitWindow = 10 * time.Second

// transit tells how long a message was under way beyond what the fastest one of
// late took. Machines need not agree on the time: it compares what the sender's clock
// said with what the receiver's says, and only changes of the difference count.
//
// The load it answers: a connection that a cut or a frozen machine has held up for
// seconds delivers all that was written to it at once. Safe for concurrent use.
type transit struct {
	mu sync.Mutex
	// origin is when the first message came: a time with a monotonic reading, so
	// that a step of the machine's clock delays nothing.
	origin time.Time
	// began is when the present window did.
	began time.Time
	// least is the smallest difference of the present window, before that of the
	// one before, both in milliseconds and modulo 2^32.
	least, before       uint32
	hasLeast, hasBefore bool
}

// delay returns how long a message took longer than the fastest. sentMillis is the
// sender's clock in milliseconds, zero if the message does not tell: no delay then.
func (t *transit) delay(now time.Time, sentMillis uint32) time.Duration {
	if sentMillis == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origin.IsZero() {
		t.origin = now
		t.began = now
	}
	t.turn(now)
	difference := uint32(now.Sub(t.origin).Milliseconds()) - sentMillis
	if !t.hasLeast || excess(t.least, difference) < 0 {
		t.least = difference
		t.hasLeast = true
	}
	fastest := t.least
	if t.hasBefore && excess(fastest, t.before) < 0 {
		fastest = t.before
	}
	return time.Duration(excess(fastest, difference)) * time.Millisecond
}

// excess is by how much the second difference is above the first, in milliseconds.
func excess(first, second uint32) int32 { return int32(second - first) }

// turn begins a new window when this one is over.
func (t *transit) turn(now time.Time) {
	age := now.Sub(t.began)
	if age < transitWindow {
		return
	}
	t.before = t.least
	t.hasBefore = t.hasLeast && age < 2*transitWindow
	t.hasLeast = false
	t.began = now
}
