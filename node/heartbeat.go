package node

import (
	"time"

	"github.com/cassialoom/cassialoom/serve"
)

// Heartbeat is what one start of the backend server says of itself.
type Heartbeat struct {
	// Instance names the start; each has its own.
	Instance string
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

// maxEnded bounds the starts that are remembered after their end. Heartbeats
// that are late come within seconds; a start takes seconds, too.
const maxEnded = 64

// starts remembers which starts of the backend server have ended or are
// leaving. A heartbeat that was held up on its way may still arrive after them
// and must not bring them back: work would go to a process that has gone, or
// that was promised no more.
type starts struct {
	ended []string
}

func (s *starts) has(instance string) bool {
	for _, id := range s.ended {
		if id == instance {
			return true
		}
	}
	return false
}

func (s *starts) end(instance string) {
	if instance == "" || s.has(instance) {
		return
	}
	if len(s.ended) == maxEnded {
		s.ended = append(s.ended[:0], s.ended[1:]...)
	}
	s.ended = append(s.ended, instance)
}

// Beat takes a heartbeat of the backend server beside this node. Once it
// returns, a start that said it is leaving is handed no more requests.
func (n *Node) Beat(now time.Time, b Heartbeat) {
	before, after, taken := n.takeBeat(now, b)
	if !taken {
		n.counts.LateBeats.Add(1)
		return
	}
	if before.boot != "" && before.boot != after.boot {
		n.log.Warn().Str("instance", after.boot).Str("before", before.boot).Msg("backend server was restarted")
		n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Restarted(now) })
	}
	if before.slots != after.slots {
		n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.SetSlots(now, after.slots) })
	}
	if before.ready != after.ready || before.boot != after.boot {
		n.setReady(after.ready, why(after))
	}
}

func why(i instance) string {
	if i.ready {
		return stateReady
	}
	return stateDraining
}

func (n *Node) takeBeat(now time.Time, b Heartbeat) (before, after instance, taken bool) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	before = n.instance
	same := before.boot == b.Instance
	if same && before.beaten && b.Sequence <= before.sequence || n.starts.has(b.Instance) {
		return before, before, false
	}
	if !same {
		n.starts.end(before.boot)
	}
	if b.Leaving {
		n.starts.end(b.Instance)
	}
	n.instance = instance{
		url:      b.URL,
		boot:     b.Instance,
		ready:    !b.Leaving,
		heard:    now,
		slots:    b.Slots,
		sequence: b.Sequence,
		beaten:   true,
	}
	return before, n.instance, true
}

// Found takes what the backend server itself says at this node's start, if no
// heartbeat has come yet: between two heartbeats a node that was restarted alone
// would leave a backend server without work that runs and is ready.
func (n *Node) Found(now time.Time, b Heartbeat) {
	n.stateMu.Lock()
	known := n.instance.boot != "" || n.starts.has(b.Instance)
	if !known {
		n.instance = instance{url: b.URL, boot: b.Instance, ready: true, heard: now, slots: b.Slots}
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
func (n *Node) BackendLeaves(id string) {
	n.stateMu.Lock()
	n.starts.end(id)
	n.stateMu.Unlock()
	n.Leave(id)
}
