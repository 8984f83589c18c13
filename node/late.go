package node

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
)

// lateAfter is the delay from which a call was held up. Callers seldom go away
// sooner, and no network that works delays a message so long.
const lateAfter = 250 * time.Millisecond

// arriveAfter takes a call that was under way for a time beyond the usual.
//
// Calls that a connection has held up, by a cut that healed or while one end stood
// still, come all at once, and right behind them the cancels of those that nobody
// waits for any more. Without a wait each would be at the backend server before its
// cancel is read: callers that left long ago would take slots from those that did not.
func (n *Node) arriveAfter(delay time.Duration, req call.Request) {
	if delay < lateAfter {
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

// clockMillis is this process's clock for Request.SentMillis: it never steps, and is
// never zero.
func (n *Node) clockMillis() uint32 {
	return max(1, uint32(time.Since(n.startedAt).Milliseconds()))
}
