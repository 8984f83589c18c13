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

// Limits of messages that wait for a connection to be opened. Control messages
// are repaired by later ones, so what exceeds them is dropped.
const (
	postWorkers = 16
	postBacklog = 512
)

// letter is one control message on its way to a peer. A zero to stands for
// whichever incarnation answers at addr.
type letter struct {
	to   wire.NodeID
	addr string
	kind wire.Kind
	msg  any
}

// postman sends control messages. Those for connected peers go at once; for
// the others a few workers open connections.
type postman struct {
	n    *Node
	todo chan letter
	wg   sync.WaitGroup
}

func newPostman(n *Node) *postman {
	p := &postman{n: n, todo: make(chan letter, postBacklog)}
	for range postWorkers {
		p.wg.Add(1)
		go p.work()
	}
	return p
}

func (p *postman) close() { p.wg.Wait() }

// post sends a message to a member.
func (p *postman) post(to wire.NodeID, kind wire.Kind, msg any) {
	rec, ok := p.n.members.lookup(to)
	if !ok {
		return
	}
	p.postTo(letter{to: to, addr: rec.PeerAddr, kind: kind, msg: msg})
}

// postAll sends a message to all other members.
func (n *Node) postAll(kind wire.Kind, msg any) {
	for _, rec := range n.members.view() {
		if rec.ID != n.id && !rec.State.Gone() {
			n.posts.post(rec.ID, kind, msg)
		}
	}
}

// answer sends a message to a peer that has just been heard from, member or
// not yet. Without a connection there is nobody to answer any more.
func (p *postman) answer(to wire.NodeID, kind wire.Kind, msg any) {
	if c, ok := p.n.peers.Lookup(to); ok {
		p.send(c, letter{to: to, kind: kind, msg: msg})
	}
}

func (p *postman) postTo(l letter) {
	if c, ok := p.n.peers.Lookup(l.to); ok {
		p.send(c, l)
		return
	}
	select {
	case p.todo <- l:
	default:
	}
}

func (p *postman) work() {
	defer p.wg.Done()
	for {
		select {
		case <-p.n.ctx.Done():
			return
		case l := <-p.todo:
			p.deliver(l)
		}
	}
}

func (p *postman) deliver(l letter) {
	c, err := p.n.peers.Connect(p.n.ctx, l.to, l.addr)
	if err != nil {
		p.failed(l, err)
		return
	}
	p.send(c, l)
}

func (p *postman) send(c *transport.Conn, l letter) {
	data, err := wire.Encode(l.kind, l.msg)
	if err != nil {
		p.n.log.Error().Err(err).Msg("control message not encoded")
		return
	}
	if c.SendEncoded(data) == nil {
		p.n.counts.ControlBytesOut.Add(int64(len(data)))
	}
}

// failed tells the membership that a peer was not reached.
func (p *postman) failed(l letter, err error) {
	if errors.Is(err, context.Canceled) || errors.Is(err, transport.ErrClosed) {
		return
	}
	now := time.Now()
	p.n.members.with(func(m *membership.Members) {
		if l.to.IsZero() {
			m.FailedAddr(now, l.addr)
			return
		}
		m.Failed(now, l.to)
	})
}
