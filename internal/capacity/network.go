package capacity

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// One-way network delays.
const (
	delayInDataCentre   = 200 * time.Microsecond
	delayInRegion       = time.Millisecond
	delayBetweenRegions = 20 * time.Millisecond
)

// delay returns the one-way network delay between two nodes.
func delay(a, b *Node) time.Duration {
	switch {
	case a.Spec.DataCentre == b.Spec.DataCentre:
		return delayInDataCentre
	case a.Spec.Region == b.Spec.Region:
		return delayInRegion
	default:
		return delayBetweenRegions
	}
}

// envelope is an encoded message to a node, or to any node at addr if to is zero.
type envelope struct {
	to   wire.NodeID
	addr string
	data []byte
}

// Dispatch sends the messages that a state machine returned.
func (s *Sim) Dispatch(from *Node, sends []membership.Send) {
	for i := range sends {
		send := &sends[i]
		s.transmit(from, envelope{send.To, send.Addr, encode(wire.KindMembership, &send.Msg)})
	}
}

func encode(kind wire.Kind, msg any) []byte {
	data, err := wire.Encode(kind, msg)
	if err != nil {
		panic(err)
	}
	return data
}

// transmit sends a message over an open connection, or dials first.
func (s *Sim) transmit(from *Node, env envelope) {
	from.Stats.recordSend(s.at, len(env.data))
	if peer := s.connected(from, env.to); peer != nil {
		s.send(from, peer, delay(from, peer), env.data)
		return
	}
	s.dial(from, env)
}

// connected returns the peer if either side has opened a connection, else nil.
func (s *Sim) connected(from *Node, id wire.NodeID) *Node {
	if id.IsZero() {
		return nil
	}
	peer := s.byID[id]
	if peer == nil || !peer.Up || peer.Cut != from.Cut {
		return nil
	}
	last, ok := from.conns[peer]
	if !ok || s.at-last > s.cfg.IdleTimeout {
		return nil
	}
	return peer
}

// dial opens a connection and sends the message over it. Like a transport, it reports the
// node that answered, or a failure, to the membership of from.
func (s *Sim) dial(from *Node, env envelope) {
	if env.addr == "" {
		return
	}
	from.Stats.Dials++
	peer := s.byAddr[env.addr]
	if peer == nil || peer.Cut != from.Cut || peer.Frozen {
		s.dialFailed(from, env)
		return
	}
	peer.Stats.Accepts.add(s.at, time.Second, 1)
	from.conns[peer] = s.at
	peer.conns[from] = s.at
	trip := 2 * delay(from, peer)
	s.deliver(from, 2*trip, func() {
		from.M.PeerAnswered(s.clock(from), env.addr, peer.ID)
		if !env.to.IsZero() && env.to != peer.ID {
			from.M.PeerUnreachable(s.clock(from), env.to)
		}
	})
	if env.to.IsZero() || env.to == peer.ID {
		s.send(from, peer, 2*trip+trip/2, env.data)
	}
}

func (s *Sim) dialFailed(from *Node, env envelope) {
	s.deliver(from, s.cfg.DialTimeout, func() {
		if env.to.IsZero() {
			from.M.AddrUnreachable(s.clock(from), env.addr)
			return
		}
		from.M.PeerUnreachable(s.clock(from), env.to)
	})
}

// send delivers one message after d, or drops it at the configured loss rate.
func (s *Sim) send(from, to *Node, d time.Duration, data []byte) {
	from.conns[to] = s.at
	to.conns[from] = s.at
	if s.cfg.Loss > 0 && s.rng.Float64() < s.cfg.Loss {
		return
	}
	s.deliver(to, d, func() { s.receive(from, to, data) })
}

// receive decodes a message and passes it to the state machine that it is for.
func (s *Sim) receive(from, to *Node, data []byte) {
	if from.Cut != to.Cut {
		return
	}
	frame, err := wire.Decode(data)
	if err != nil {
		panic(err)
	}
	if frame.Kind == wire.KindConfig {
		s.receiveConfig(from, to, frame)
		return
	}
	var msg membership.Message
	if err := wire.Unmarshal(frame.Body, &msg); err != nil {
		panic(err)
	}
	s.Dispatch(to, to.M.Receive(s.clock(to), from.ID, msg))
}

// deliver runs f at a node after d if the node is up. At a frozen node f waits until the
// node is thawed.
func (s *Sim) deliver(n *Node, d time.Duration, f func()) {
	s.After(d, func() {
		switch {
		case !n.Up:
		case n.Frozen:
			n.waiting = append(n.waiting, &event{run: f})
		default:
			f()
		}
	})
}

// syncLog does the reads and appends of the log that the membership of n requests.
func (s *Sim) syncLog(n *Node) {
	ctx := context.Background()
	if from, limit, ok := n.M.NextLogRead(s.clock(n)); ok {
		n.Stats.Reads++
		if page, err := s.Log.Read(ctx, membership.Stream, from, limit); err == nil {
			n.M.ReceiveLogPage(s.clock(n), page)
		}
	}
	data, ok := n.M.NextAnnouncement(s.clock(n))
	if !ok {
		return
	}
	n.Stats.Appends++
	s.appendsPerSecond.add(s.at, time.Second, 1)
	if _, err := s.Log.Append(ctx, membership.Stream, data); err != nil {
		n.M.AnnounceFailed(s.clock(n))
	}
}

// Connections returns the number of open connections of a node.
func (s *Sim) Connections(n *Node) int {
	open := 0
	for peer, last := range n.conns {
		if s.at-last > s.cfg.IdleTimeout || !peer.Up {
			delete(n.conns, peer)
			continue
		}
		open++
	}
	return open
}
