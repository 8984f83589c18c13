package capacity

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// One-way delays, after the users' own figures.
const (
	delayInDataCentre = 200 * time.Microsecond
	delayInRegion     = time.Millisecond
	delayFar          = 20 * time.Millisecond
)

func delay(a, b *Node) time.Duration {
	switch {
	case a.Spec.DataCentre == b.Spec.DataCentre:
		return delayInDataCentre
	case a.Spec.Region == b.Spec.Region:
		return delayInRegion
	default:
		return delayFar
	}
}

// letter is a message on its way to the node to, or to whoever answers.
type letter struct {
	to   wire.NodeID
	addr string
	data []byte
}

// Dispatch does what a shell does with the messages of a machine.
func (s *Sim) Dispatch(from *Node, sends []membership.Send) {
	for i := range sends {
		send := &sends[i]
		s.transmit(from, letter{send.To, send.Addr, encode(wire.KindMembership, &send.Msg)})
	}
}

func encode(kind wire.Kind, msg any) []byte {
	data, err := wire.Encode(kind, msg)
	if err != nil {
		panic(err)
	}
	return data
}

func (s *Sim) transmit(from *Node, l letter) {
	from.Stats.sent(s.at, len(l.data))
	if peer := s.connected(from, l.to); peer != nil {
		s.carry(from, peer, delay(from, peer), l.data)
		return
	}
	s.dial(from, l)
}

// connected returns the peer if a connection is open, whoever opened it.
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

func (s *Sim) dial(from *Node, l letter) {
	if l.addr == "" {
		return
	}
	from.Stats.Dials++
	peer := s.byAddr[l.addr]
	if peer == nil || peer.Cut != from.Cut || peer.Frozen {
		s.dialFailed(from, l)
		return
	}
	peer.Stats.Accepts.add(s.at, time.Second, 1)
	from.conns[peer] = s.at
	peer.conns[from] = s.at
	trip := 2 * delay(from, peer)
	s.deliver(from, 2*trip, func() {
		from.M.PeerAnswered(s.clock(from), l.addr, peer.ID)
		if !l.to.IsZero() && l.to != peer.ID {
			from.M.PeerUnreachable(s.clock(from), l.to)
		}
	})
	if l.to.IsZero() || l.to == peer.ID {
		s.carry(from, peer, 2*trip+trip/2, l.data)
	}
}

func (s *Sim) dialFailed(from *Node, l letter) {
	s.deliver(from, s.cfg.DialTimeout, func() {
		if l.to.IsZero() {
			from.M.AddrUnreachable(s.clock(from), l.addr)
			return
		}
		from.M.PeerUnreachable(s.clock(from), l.to)
	})
}

// carry brings one message over, or loses it.
func (s *Sim) carry(from, to *Node, d time.Duration, data []byte) {
	from.conns[to] = s.at
	to.conns[from] = s.at
	if s.cfg.Loss > 0 && s.rng.Float64() < s.cfg.Loss {
		return
	}
	s.deliver(to, d, func() { s.receive(from, to, data) })
}

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

// deliver runs f at a node after d, when it is thawed and if it lives.
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

func (s *Sim) useLog(n *Node) {
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
	s.appends.add(s.at, time.Second, 1)
	if _, err := s.Log.Append(ctx, membership.Stream, data); err != nil {
		n.M.AnnounceFailed(s.clock(n))
	}
}

// Connections counts a node's open connections.
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
