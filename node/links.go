package node

import (
	"context"
	"errors"
	"fmt"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// linker implements dispatch.Linker with the connections of the node.
type linker struct{ n *Node }

// Link implements dispatch.Linker.
func (l linker) Link(ctx context.Context, id wire.NodeID) (dispatch.Link, error) {
	if id == l.n.id {
		return ownLink(l), nil
	}
	c, err := l.n.connect(ctx, id)
	if err != nil {
		return nil, err
	}
	return l.n.hold(c), nil
}

// connect returns a connection to a member and opens one if there is none.
func (n *Node) connect(ctx context.Context, id wire.NodeID) (*transport.Conn, error) {
	if c, ok := n.peers.Lookup(id); ok {
		return c, nil
	}
	rec, ok := n.members.lookup(id)
	switch {
	case !ok:
		return nil, fmt.Errorf("node %s is not known", id.Short())
	case rec.State.Gone():
		return nil, fmt.Errorf("node %s has left or failed: %w", id.Short(), dispatch.ErrEnded)
	}
	c, err := n.peers.Connect(ctx, id, rec.PeerAddr)
	if err == nil {
		return c, nil
	}
	now := time.Now()
	n.members.with(func(m *membership.Members) { m.PeerUnreachable(now, id) })
	if errors.Is(err, transport.ErrOtherIncarnation) || errors.Is(err, syscall.ECONNREFUSED) {
		return nil, fmt.Errorf("%w: %w", dispatch.ErrEnded, err)
	}
	return nil, err
}

// peerLink implements dispatch.Link for one attempt on a connection to a peer.
type peerLink struct {
	n    *Node
	c    *transport.Conn
	sent time.Time
}

// hold keeps the connection open until the link is released.
func (n *Node) hold(c *transport.Conn) *peerLink {
	c.Hold()
	return &peerLink{n: n, c: c}
}

func (l *peerLink) Call(req call.Request) (func() bool, error) {
	l.sent = time.Now()
	req.SentMillis = l.n.clockMillis()
	d, err := l.c.Send(wire.KindCall, req)
	if err != nil {
		return nil, err
	}
	return d.MayHaveArrived, nil
}

func (l *peerLink) Cancel(c call.Cancel) {
	// If the cancel cannot be sent, the callee ends the call at its deadline.
	_, _ = l.c.Send(wire.KindCancel, c)
}

func (l *peerLink) MarkAnswered() { l.c.MarkAnswered(l.sent) }

func (l *peerLink) Done() <-chan struct{} { return l.c.Done() }

func (l *peerLink) Release() { l.c.Release() }

// ownLink implements dispatch.Link for calls to this node's own backend server.
type ownLink struct{ n *Node }

func (l ownLink) Call(req call.Request) (func() bool, error) {
	l.n.arrive(req)
	return func() bool { return true }, nil
}

func (l ownLink) Cancel(c call.Cancel) { l.n.cancel(c) }

func (l ownLink) MarkAnswered() {}

func (l ownLink) Done() <-chan struct{} { return nil }

func (l ownLink) Release() {}
