package node

import (
	"context"
	"errors"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/serve"
)

// ErrStopTimeout is returned when requests were still in flight at the end of
// the time allowed for a planned stop.
var ErrStopTimeout = errors.New("requests still in flight at the end of the stop timeout")

// Drain starts the planned stop and returns at once. The other nodes are told
// after DrainAfter; work that peers send before they have heard is taken for
// DrainGrace, then refused, so that no new work starts after that.
func (n *Node) Drain() {
	if n.draining.Swap(true) {
		return
	}
	n.log.Info().Msg("draining")
	n.leaving.Store(time.Now().UnixNano())
	if n.cfg.DrainAfter == 0 {
		n.drainPeers()
		return
	}
	n.background(func() {
		if n.sleep(n.cfg.DrainAfter) {
			n.drainPeers()
		}
	})
}

// drainPeers tells the other nodes, and refuses their work a little later.
func (n *Node) drainPeers() {
	now := time.Now()
	connected := n.peers.Connected()
	n.sendMembership(n.members.collect(func(m *membership.Members) []membership.Send {
		return m.Drain(now, connected...)
	}))
	n.background(func() {
		if !n.sleep(n.cfg.DrainGrace) {
			return
		}
		n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Drain(now) })
		n.log.Info().Msg("drained: no new work is taken")
	})
}

// sleep waits; false if the node stopped meanwhile.
func (n *Node) sleep(d time.Duration) bool { return pause.For(n.ctx, d) }

// Draining reports whether the planned stop has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

// closedToCallers reports whether a request that came by host and path is too
// late for a node that is leaving.
func (n *Node) closedToCallers(now time.Time) bool {
	since := n.leaving.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) > n.cfg.EnterGrace
}

const waitPoll = 20 * time.Millisecond

// Wait returns when the drain's grace has passed and nothing is in flight, or
// with the context's end.
func (n *Node) Wait(ctx context.Context) error {
	grace := time.NewTimer(n.cfg.DrainAfter + n.cfg.DrainGrace + waitPoll)
	defer grace.Stop()
	select {
	case <-grace.C:
	case <-ctx.Done():
		return ErrStopTimeout
	}
	ticker := time.NewTicker(waitPoll)
	defer ticker.Stop()
	for !n.idle() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return ErrStopTimeout
		}
	}
	return nil
}

// InFlight is what a planned stop waits for.
type InFlight struct {
	// Entered are callers' requests, Tasks calls of peers that wait or run here,
	// Replying answers on their way to a connection.
	Entered, Tasks, Replying int
	// Unflushed says that a peer has not read all that was sent to it.
	Unflushed bool
}

// InFlight returns what a planned stop still waits for.
func (n *Node) InFlight() InFlight {
	return InFlight{
		Entered:   int(n.entered.Load()),
		Tasks:     n.server.tasks(),
		Replying:  int(n.replying.Load()),
		Unflushed: !n.peers.Flushed(),
	}
}

// idle reports whether nothing is in flight: an answer that waits for its
// peer to read would be cut off by the end of the connection.
func (n *Node) idle() bool {
	return n.InFlight() == InFlight{}
}

// leave tells the connected peers that this process ends.
func (n *Node) leave() {
	now := time.Now()
	connected := n.peers.Connected()
	n.sendMembership(n.members.collect(func(m *membership.Members) []membership.Send {
		return m.Leave(now, connected...)
	}))
	time.Sleep(waitPoll) // the connections' writers need a moment
}
