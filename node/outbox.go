package node

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// Limits for messages that wait until a connection is open. Messages beyond them
// are dropped: later control messages make up for lost ones.
const (
	outboxWorkers = 16
	outboxBacklog = 512
)

// controlMessage is a control message for a peer. A zero to stands for the
// incarnation that answers at addr.
type controlMessage struct {
	to   wire.NodeID
	addr string
	kind wire.Kind
	msg  any
}

// peerOutbox sends control messages. Messages to connected peers are sent at once;
// for the others a fixed number of workers open connections.
type peerOutbox struct {
	n       *Node
	pending chan controlMessage
	wg      sync.WaitGroup
}

func newPeerOutbox(n *Node) *peerOutbox {
	o := &peerOutbox{n: n, pending: make(chan controlMessage, outboxBacklog)}
	for range outboxWorkers {
		o.wg.Add(1)
		go o.work()
	}
	return o
}

// close waits for the workers, which end with the context of the node.
func (o *peerOutbox) close() { o.wg.Wait() }

// sendToMember sends a message to a member, and drops it if the member is unknown.
func (o *peerOutbox) sendToMember(to wire.NodeID, kind wire.Kind, msg any) {
	rec, ok := o.n.members.lookup(to)
	if !ok {
		return
	}
	o.send(controlMessage{to: to, addr: rec.PeerAddr, kind: kind, msg: msg})
}

// sendToMembers sends a message to all other members.
func (n *Node) sendToMembers(kind wire.Kind, msg any) {
	for _, rec := range n.members.view() {
		if rec.ID != n.id && !rec.State.Gone() {
			n.outbox.sendToMember(rec.ID, kind, msg)
		}
	}
}

// sendIfConnected sends a message to a peer, which need not be a member, and
// drops it if there is no connection.
func (o *peerOutbox) sendIfConnected(to wire.NodeID, kind wire.Kind, msg any) {
	if c, ok := o.n.peers.Lookup(to); ok {
		o.write(c, controlMessage{to: to, kind: kind, msg: msg})
	}
}

// send sends a message, or queues it if the peer is not connected. A message is
// dropped if the queue is full.
func (o *peerOutbox) send(m controlMessage) {
	if c, ok := o.n.peers.Lookup(m.to); ok {
		o.write(c, m)
		return
	}
	select {
	case o.pending <- m:
	default:
	}
}

// work sends the queued messages until the node stops.
func (o *peerOutbox) work() {
	defer o.wg.Done()
	for {
		select {
		case <-o.n.ctx.Done():
			return
		case m := <-o.pending:
			o.connectAndWrite(m)
		}
	}
}

// connectAndWrite opens a connection to the peer and sends the message.
func (o *peerOutbox) connectAndWrite(m controlMessage) {
	c, err := o.n.peers.Connect(o.n.ctx, m.to, m.addr)
	if err != nil {
		o.connectFailed(m, err)
		return
	}
	o.write(c, m)
}

// write sends a message on a connection.
func (o *peerOutbox) write(c *transport.Conn, m controlMessage) {
	data, err := wire.Encode(m.kind, m.msg)
	if err != nil {
		o.n.log.Error().Err(err).Msg("cannot encode control message")
		return
	}
	if c.SendEncoded(data) == nil {
		o.n.counts.ControlBytesOut.Add(int64(len(data)))
	}
}

// connectFailed reports to the membership that a peer could not be reached.
func (o *peerOutbox) connectFailed(m controlMessage, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, transport.ErrClosed) {
		return
	}
	now := time.Now()
	o.n.members.with(func(ms *membership.Members) {
		if m.to.IsZero() {
			ms.AddrUnreachable(now, m.addr)
			return
		}
		ms.PeerUnreachable(now, m.to)
	})
}
