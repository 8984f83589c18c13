package node

import (
	"context"
	"errors"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// ErrStopTimeout is returned when requests were still in flight at the end of
// the time allowed for a planned stop.
var ErrStopTimeout = errors.New("requests still in flight at the end of the stop timeout")

// Drain begins the planned stop and returns at once. The other nodes are
// notified after Config.DrainAfter. Work from peers is accepted for another
// Config.DrainGrace and refused after that.
func (n *Node) Drain() {
	if n.draining.Swap(true) {
		return
	}
	n.log.Info().Msg("draining")
	n.drainBegan.Store(time.Now().UnixNano())
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

// drainPeers notifies the other nodes and refuses their work after DrainGrace.
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

// sleep waits for d and reports false if the node stops before that.
func (n *Node) sleep(d time.Duration) bool { return pause.For(n.ctx, d) }

// Draining reports whether the planned stop has begun.
func (n *Node) Draining() bool { return n.draining.Load() }

// closedToCallers reports whether CallerGrace has passed since the start of the
// planned stop, so that requests by host and path are refused.
func (n *Node) closedToCallers(now time.Time) bool {
	since := n.drainBegan.Load()
	return since != 0 && now.Sub(time.Unix(0, since)) > n.cfg.CallerGrace
}

// waitPoll is the interval at which Wait checks for requests in flight.
const waitPoll = 20 * time.Millisecond

// Wait returns nil when the drain has ended and nothing is in flight, or
// ErrStopTimeout when ctx ends first.
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

// InFlight counts the work that a planned stop waits for.
type InFlight struct {
	// CallerRequests is the number of callers' requests, Tasks that of calls of peers
	// that wait or run here, Replying that of replies being sent.
	CallerRequests, Tasks, Replying int
	// Unflushed is true if data for a peer is not yet written to its connection.
	Unflushed bool
}

// InFlight returns the work in flight.
func (n *Node) InFlight() InFlight {
	return InFlight{
		CallerRequests: int(n.callerRequests.Load()),
		Tasks:          n.server.tasks(), // before Replying, see answeredAllCalls
		Replying:       int(n.replying.Load()),
		Unflushed:      !n.peers.Flushed(),
	}
}

// idle reports whether nothing is in flight. That includes replies not yet
// written: closing the connection would cut them off.
func (n *Node) idle() bool {
	return n.InFlight() == InFlight{}
}

// answeredAllCalls reports whether the replies to all calls are at least queued, and no call
// that arrives from now on will run.
func (n *Node) answeredAllCalls() bool {
	if !n.server.draining() {
		return false
	}
	// A task is counted as replying before it is no longer counted as a task.
	f := n.InFlight()
	return f.Tasks == 0 && f.Replying == 0
}

// handOverTimeout limits how long an ending node hands over its lists of used keys.
const handOverTimeout = 500 * time.Millisecond

// handOverUsedKeys sends the lists of used keys to the nodes that are asked for them once this
// one has ended. Without a list the keys of its holder may have run.
func (n *Node) handOverUsedKeys() {
	ctx, cancel := context.WithTimeout(n.ctx, handOverTimeout)
	defer cancel()
	for _, list := range n.server.usedKeys(time.Now()) {
		for _, id := range n.dispatch.KeyKeepers(n.cfg.Service, list.Holder) {
			if id == n.id {
				continue
			}
			if err := n.sendUsedKeys(ctx, id, list); err != nil {
				n.log.Warn().Err(err).Str("to", id.Short()).Str("holder", list.Holder.Short()).Msg("used keys not handed over")
			}
		}
	}
}

func (n *Node) sendUsedKeys(ctx context.Context, to wire.NodeID, list once.UsedKeys) error {
	c, err := n.connect(ctx, to)
	if err != nil {
		return err
	}
	_, err = c.Send(wire.KindUsedKeys, list)
	return err
}

// flushTimeout limits how long an ending process waits until its last messages are written.
const flushTimeout = 250 * time.Millisecond

// leave notifies the connected peers that this process ends. After a planned stop it also
// announces that calls without an answer do not run, so that their callers may repeat them:
// they may still be on their way here.
func (n *Node) leave() {
	answeredAll := n.answeredAllCalls()
	if answeredAll && !n.routing.enabled() {
		n.handOverUsedKeys()
	}
	now := time.Now()
	connected := n.peers.Connected()
	n.sendMembership(n.members.collect(func(m *membership.Members) []membership.Send {
		return m.Leave(now, connected...)
	}))
	if answeredAll {
		n.peers.AnnounceClosing()
	}
	time.Sleep(waitPoll)
	for end := now.Add(flushTimeout); !n.peers.Flushed() && time.Now().Before(end); {
		time.Sleep(waitPoll)
	}
}
