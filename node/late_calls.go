package node

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
)

// lateCallDelay is the delay from which a call counts as late. Callers seldom cancel sooner,
// and a working network does not delay a message that long.
const lateCallDelay = 250 * time.Millisecond

// arriveDelayed processes a call whose transit took delay longer than usual.
//
// After a network partition or a stalled process a connection delivers its backlog at once:
// the calls, and right behind them the cancels of callers that have left. A late call waits
// for LateCallWait, so that its cancel is read before the call takes a slot from a caller
// that still waits.
func (n *Node) arriveDelayed(delay time.Duration, req call.Request) {
	if delay < lateCallDelay {
		n.arrive(req)
		return
	}
	n.counts.LateCalls.Add(1)
	n.background(func() {
		if n.sleep(n.cfg.LateCallWait) {
			n.arrive(req)
		}
	})
}

// clockMillis returns the monotonic time of this process in milliseconds, for
// Request.SentMillis. It is never zero.
func (n *Node) clockMillis() uint32 {
	return max(1, uint32(time.Since(n.startedAt).Milliseconds()))
}
