package node

import (
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/serve"
)

// Heartbeat is what one start of the backend server says of itself.
type Heartbeat struct {
	// Start tells the starts apart, also of those under one id.
	Start Start
	// URL is where it takes requests: http://IP:PORT.
	URL string
	// Slots is the number of requests that it works on at once.
	Slots int
	// Leaving says that it takes no new work for much longer.
	Leaving bool
	// Sequence grows with each heartbeat of a start.
	Sequence uint64
	// Cold is how much longer it will be slow after its start.
	Cold time.Duration
}

// Beat takes a heartbeat of the backend server beside this node. Once it
// returns, a start that said it is leaving is handed no more requests.
func (n *Node) Beat(now time.Time, b Heartbeat) {
	before, after, taken := n.applyHeartbeat(now, b)
	if !taken {
		n.counts.LateBeats.Add(1)
		return
	}
	restarted := before.start.ID != "" && !sameIncarnation(before, b)
	if restarted {
		n.backendRestarted(after.start, before.start)
	}
	if before.slots != after.slots {
		n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.SetSlots(now, after.slots) })
	}
	if before.ready != after.ready || restarted || before.start.ID == "" {
		n.setReady(after.ready, stateName(after))
	}
}

// backendRestarted ends what belonged to the start before: work that ran there,
// connections to it, and what other nodes measured of it.
func (n *Node) backendRestarted(start, before Start) {
	n.log.Warn().Str("instance", start.ID).Int64("born", start.Born).
		Str("before", before.ID).Int64("before_born", before.Born).Msg("backend server was restarted")
	n.backend.CloseIdle()
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Restarted(now) })
	now := time.Now()
	n.members.with(func(m *membership.Members) { m.Renew(now) })
}

func stateName(i instance) string {
	if i.ready {
		return stateReady
	}
	return stateDraining
}

func (n *Node) applyHeartbeat(now time.Time, b Heartbeat) (before, after instance, taken bool) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	before = n.instance
	n.instance, taken = n.starts.apply(now, before, b)
	return before, n.instance, taken
}

// Found takes what the backend server itself says at this node's start, if no
// heartbeat has come yet: between two heartbeats a node that was restarted alone
// would leave a backend server without work that runs and is ready.
func (n *Node) Found(now time.Time, b Heartbeat) {
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
	n.setReady(true, "found at the start")
}

// BackendLeaves takes the last word of one start of the backend server. Once
// it returns, nothing more is handed to it.
func (n *Node) BackendLeaves(start Start) {
	n.stateMu.Lock()
	ended := n.starts.markLeft(n.instance, start)
	n.stateMu.Unlock()
	n.backendLeft(ended)
}
