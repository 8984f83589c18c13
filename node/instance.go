package node

import (
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/backend"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/serve"
)

// instance is the latest state that the backend server reported.
type instance struct {
	url        string
	start      Start
	ready      bool
	lastReport time.Time
	// slots is the number of requests that it processes concurrently; zero if not reported.
	slots int
	// sequence is that of the last heartbeat; hasSequence is false before the first.
	sequence    uint64
	hasSequence bool
}

// is reports whether start is the incarnation in use. It may lack Born if it was recorded
// before the first heartbeat, which reports Born.
func (i *instance) is(start Start) bool {
	return i.start == start || start == Start{ID: i.start.ID}
}

// matches reports whether start can be the incarnation in use. An unknown Born matches any.
func (i *instance) matches(start Start) bool {
	return i.start.ID == start.ID && (i.start.Born == start.Born || i.start.Born == 0 || start.Born == 0)
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

// setInstance changes the state of the backend server under the lock and returns the state
// before and after.
func (n *Node) setInstance(change func(*instance)) (before, after instance) {
	n.stateMu.Lock()
	defer n.stateMu.Unlock()
	before = n.instance
	change(&n.instance)
	return before, n.instance
}

// Announce implements local.Backends. It returns an error if the state or the URL is invalid.
func (n *Node) Announce(now time.Time, url, state, boot string) error {
	if state != stateReady && state != stateDraining {
		return fmt.Errorf("state %q: want %s or %s", state, stateReady, stateDraining)
	}
	if err := backend.CheckURL(url); err != nil {
		return fmt.Errorf("url %q: %w", url, err)
	}
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
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

// Leave implements local.Backends. It is ignored if another boot has announced itself since.
func (n *Node) Leave(boot string) {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
	n.backendLeft(Start{ID: boot}, "left")
}

// backendLeft stops new requests to a backend incarnation that leaves, if it is in use. The
// caller holds reportMu.
func (n *Node) backendLeft(start Start, why string) {
	before, after := n.setInstance(func(i *instance) {
		if i.is(start) {
			i.ready = false
		}
	})
	if before.ready && !after.ready {
		n.setReady(false, why)
	}
}

// backendCrashed stops new requests to a backend incarnation whose process is gone.
func (n *Node) backendCrashed(start Start) {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
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

// checkSilence stops new requests to a backend server that has not reported for longer than
// BackendSilence: it is frozen, or cut off from its node.
func (n *Node) checkSilence(now time.Time) {
	n.reportMu.Lock()
	defer n.reportMu.Unlock()
	before, after := n.setInstance(func(i *instance) {
		if i.ready && now.Sub(i.lastReport) > n.cfg.BackendSilence {
			i.ready = false
		}
	})
	if before.ready && !after.ready {
		n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Silent(now) })
		n.announceReady(false, "silent")
	}
}

// setReady applies what the backend server says of its readiness, once this node has heard of the
// requests that crash backend servers. The caller holds reportMu.
func (n *Node) setReady(ready bool, why string) {
	if ready && n.cfg.NoticeWait > 0 {
		n.awaitNotices(why)
		return
	}
	n.noticeWait.waiting = false
	n.applyReady(ready, why)
}

// applyReady applies the readiness of the backend server to the callee's side of this node and
// publishes it to the other nodes. The caller holds reportMu.
func (n *Node) applyReady(ready bool, why string) {
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.SetReady(now, ready) })
	n.announceReady(ready, why)
}

// announceReady logs the readiness of the backend server and publishes it to the other nodes.
func (n *Node) announceReady(ready bool, why string) {
	n.log.Info().Bool("ready", ready).Str("why", why).Msg("backend server")
	now := time.Now()
	n.members.with(func(m *membership.Members) { m.SetService(now, n.cfg.Service, ready) })
}
