package node

import (
	"time"

	"github.com/cassialoom/cassialoom/backend"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/serve"
)

// Heartbeat is a report of one backend incarnation about itself.
type Heartbeat struct {
	// Start identifies the incarnation.
	Start Start
	// URL is the address for requests: http://IP:PORT.
	URL string
	// Slots is the number of requests that it processes concurrently.
	Slots int
	// Draining says that it will soon accept no new requests.
	Draining bool
	// Sequence increases with each heartbeat of an incarnation.
	Sequence uint64
	// WarmupRemaining is the remaining time for which it is slow after its start.
	WarmupRemaining time.Duration
	// Notice is what an answer to a health check says about the backend server; heartbeats
	// have none.
	Notice backend.Notice
}

// ReceiveHeartbeat applies a heartbeat of the backend server of this node. Once it returns, an
// incarnation that is leaving gets no more requests.
func (n *Node) ReceiveHeartbeat(now time.Time, b Heartbeat) {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
	before, after, taken := n.applyHeartbeat(now, b)
	if !taken {
		n.counts.LateHeartbeats.Add(1)
		return
	}
	restarted := before.start.ID != "" && !sameIncarnation(before, b)
	if restarted {
		n.backendRestarted(after.start, before.start)
	}
	n.server.heard(now)
	if before.slots != after.slots {
		n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.SetSlots(now, after.slots) })
	}
	if before.ready != after.ready || restarted || before.start.ID == "" {
		n.setReady(after.ready, stateName(after))
	}
}

// backendRestarted ends what belonged to the earlier incarnation: the requests running there,
// the connections to it, and the observations that other nodes made of it.
func (n *Node) backendRestarted(start, before Start) {
	n.log.Warn().Str("instance", start.ID).Int64("born", start.Born).
		Str("before", before.ID).Int64("before_born", before.Born).Msg("backend server was restarted")
	n.backend.CloseIdle()
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.BackendRestarted(now) })
	now := time.Now()
	n.members.with(func(m *membership.Members) { m.RenewBackend(now) })
}

// stateName returns the announced state that an instance is in.
func stateName(i instance) string {
	if i.ready {
		return stateReady
	}
	return stateDraining
}

// applyHeartbeat returns the state of the backend server before and after a heartbeat, and
// false if the heartbeat is stale.
func (n *Node) applyHeartbeat(now time.Time, b Heartbeat) (before, after instance, taken bool) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	before = n.instance
	n.instance, taken = n.starts.apply(now, before, b)
	return before, n.instance, taken
}

// BackendFound applies the answer of the backend server to the query of a starting node, if no
// heartbeat has arrived yet. Otherwise, after a restart of the node alone, a backend server
// that is ready would get no requests until its next heartbeat.
func (n *Node) BackendFound(now time.Time, b Heartbeat) {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
	n.stateMu.Lock()
	known := n.instance.start.ID != "" || n.starts.hasEnded(b.Start)
	if !known {
		n.instance = instance{url: b.URL, start: b.Start, ready: true, lastReport: now, slots: b.Slots}
	}
	n.stateMu.Unlock()
	if known {
		return
	}
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.SetSlots(now, b.Slots) })
	if b.Notice.Limit == backend.Limited {
		n.server.learnRateLimit(now, b.Notice.PerSecond)
	}
	if load := b.Notice.Load; load.Slowdown > 0 {
		n.server.learnLoad(now, load.Running+load.Waiting)
	}
	n.setReady(true, "found at the start")
}

// BackendStopped records that a backend incarnation leaves. Once it returns, that incarnation
// gets no more requests.
func (n *Node) BackendStopped(start Start) { n.stopBackend(start, "left") }

func (n *Node) stopBackend(start Start, why string) {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
	n.stateMu.Lock()
	ended := n.starts.markLeft(n.instance, start)
	n.stateMu.Unlock()
	n.backendLeft(ended, why)
}
