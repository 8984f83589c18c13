package node

import (
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/backend"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/serve"
)

// instance is what the backend server last said of itself.
type instance struct {
	url        string
	start      Start
	ready      bool
	lastReport time.Time
	// slots is the number of requests that it works on at once; zero if it
	// has not said.
	slots int
	// sequence is that of its last heartbeat, beaten is false before one.
	sequence    uint64
	hasSequence bool
}

// is reports whether a word about a start is about the one in use. The word may be
// older than the first heartbeat, which told when the start was.
func (i *instance) is(start Start) bool {
	return i.start == start || start == Start{ID: i.start.ID}
}

// The states that a backend server announces.
const (
	stateReady    = "ready"
	stateDraining = "draining"
)

func (n *Node) backendInstance() instance {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	return n.instance
}

// setInstance changes what is known of the backend server and returns what
// was known before.
func (n *Node) setInstance(change func(*instance)) (before, after instance) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	before = n.instance
	change(&n.instance)
	return before, n.instance
}

// Announce implements local.Backends.
func (n *Node) Announce(now time.Time, url, state, boot string) error {
	if state != stateReady && state != stateDraining {
		return fmt.Errorf("state %q: want %s or %s", state, stateReady, stateDraining)
	}
	if err := backend.CheckURL(url); err != nil {
		return fmt.Errorf("url %q: %w", url, err)
	}
	before, after := n.setInstance(func(i *instance) {
		*i = instance{url: url, start: Start{ID: boot}, ready: state == stateReady, lastReport: now}
	})
	restarted := before.start != after.start
	if restarted && before.start.ID != "" {
		n.backendRestarted(after.start, before.start)
	}
	if before.ready != after.ready || restarted {
		n.setReady(after.ready, state)
	}
	return nil
}

// Leave implements local.Backends. The last word of an earlier boot says
// nothing about the one that announced itself since.
func (n *Node) Leave(boot string) { n.backendLeft(Start{ID: boot}) }

func (n *Node) backendLeft(start Start) {
	before, after := n.setInstance(func(i *instance) {
		if i.is(start) {
			i.ready = false
		}
	})
	if before.ready && !after.ready {
		n.setReady(false, "left")
	}
}

// backendCrashed stops new work for a backend server whose process is gone.
func (n *Node) backendCrashed(start Start) {
	before, after := n.setInstance(func(i *instance) {
		if i.is(start) {
			i.ready = false
		}
	})
	if before.ready && !after.ready {
		n.counts.BackendCrashes.Add(1)
		n.announceReady(false, "crashed")
	}
}

// checkSilence stops new work for a backend server that has not announced
// itself for long: it is frozen, or cut off from its node.
func (n *Node) checkSilence(now time.Time) {
	before, after := n.setInstance(func(i *instance) {
		if i.ready && now.Sub(i.lastReport) > n.cfg.BackendSilence {
			i.ready = false
		}
	})
	if before.ready && !after.ready {
		n.setReady(false, "silent")
	}
}

// setReady tells the callee's decisions and the other nodes.
func (n *Node) setReady(ready bool, why string) {
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.SetReady(now, ready) })
	n.announceReady(ready, why)
}

func (n *Node) announceReady(ready bool, why string) {
	n.log.Info().Bool("ready", ready).Str("why", why).Msg("backend server")
	now := time.Now()
	n.members.with(func(m *membership.Members) { m.SetService(now, n.cfg.Service, ready) })
}
