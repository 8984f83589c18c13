package transport

import (
	"sync"
	"time"
)

// delayWindow is the time for which the fastest message counts as the
// reference. It is longer than a connection can be held up before it ends.
// After a sender's clock stood still, for example because its machine slept,
// the reference is correct again after two windows.
const delayWindow = 10 * time.Second

// delayMeter measures by how much the transit time of a message exceeds that of
// the fastest recent one. The clocks of the machines need not agree: only
// changes of the difference between the sender's and the receiver's clock
// count. It detects messages that a network interruption or a frozen machine
// held up for seconds and that then arrive all at once. It is safe for
// concurrent use.
type delayMeter struct {
	mu sync.Mutex
	// origin is when the first message arrived. Its monotonic reading keeps
	// steps of the wall clock out of the measurement.
	origin time.Time
	// windowStart is when the current window began.
	windowStart time.Time
	// current and previous are the smallest clock differences of the current
	// and of the previous window, in milliseconds modulo 2^32.
	current, previous       uint32
	hasCurrent, hasPrevious bool
}

// delay returns by how much the transit time of a message that arrived at now
// exceeds that of the fastest recent one. sentMillis is the sender's clock in
// milliseconds; zero means unknown and gives no delay.
func (t *delayMeter) delay(now time.Time, sentMillis uint32) time.Duration {
	if sentMillis == 0 {
		return 0
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.origin.IsZero() {
		t.origin = now
		t.windowStart = now
	}
	t.rotateWindow(now)
	difference := uint32(now.Sub(t.origin).Milliseconds()) - sentMillis
	if !t.hasCurrent || millisAbove(t.current, difference) < 0 {
		t.current = difference
		t.hasCurrent = true
	}
	fastest := t.current
	if t.hasPrevious && millisAbove(fastest, t.previous) < 0 {
		fastest = t.previous
	}
	return time.Duration(millisAbove(fastest, difference)) * time.Millisecond
}

// millisAbove returns by how many milliseconds second exceeds first, both
// modulo 2^32.
func millisAbove(first, second uint32) int32 { return int32(second - first) }

// rotateWindow begins a new window once the current one is over.
func (t *delayMeter) rotateWindow(now time.Time) {
	age := now.Sub(t.windowStart)
	if age < delayWindow {
		return
	}
	t.previous = t.current
	t.hasPrevious = t.hasCurrent && age < 2*delayWindow
	t.hasCurrent = false
	t.windowStart = now
}
