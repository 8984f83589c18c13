package node

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// This file spreads what the nodes of a service believe of requests that may crash backend
// servers. Notices go to all nodes of the service, also to those whose backend server is away: a
// request that crashes its backend server takes away just the nodes that it may reach next.

const (
	noticeTick = 5 * time.Second
	// noticeFanOut is the number of nodes to which a received notice is forwarded.
	noticeFanOut = 4
	// maxGossipNotices is the largest number of notices in one round of gossip.
	maxGossipNotices = 64
	// informers is the mean number of nodes that inform a new one. That none does is unlikely,
	// and gossip makes up for it.
	informers = 6
	// noticeSources is the number of nodes that a node asks.
	noticeSources = 3
)

// broadcastNotice sends a notice about suspects to all other nodes of the service.
func (n *Node) broadcastNotice(notice poison.Notice) {
	for _, id := range n.members.othersOfService(n.cfg.Service) {
		n.outbox.sendToMember(id, wire.KindPoison, notice)
	}
}

// handleNotice receives another node's notice about suspects.
func (n *Node) handleNotice(notice poison.Notice) {
	now := time.Now()
	n.server.mu.Lock()
	toForward, e := n.server.serve.ReceiveNotice(now, notice)
	n.server.mu.Unlock()
	n.recordSuspicions(now, e.SuspicionChanges)
	for _, next := range toForward {
		n.forwardNotice(next)
	}
}

// forwardNotice forwards another node's notice to a few nodes of the service. The
// origin sends it to all of them; forwarding covers those that it cannot reach.
func (n *Node) forwardNotice(notice poison.Notice) {
	others := n.members.othersOfService(n.cfg.Service)
	for range min(noticeFanOut, len(others)) {
		n.outbox.sendToMember(others[rand.IntN(len(others))], wire.KindPoison, notice)
	}
}

// tickNotices repeats some notices to one other node of the service, for nodes
// that missed them.
func (n *Node) tickNotices(now time.Time) {
	others := n.members.othersOfService(n.cfg.Service)
	if len(others) == 0 {
		return
	}
	n.server.mu.Lock()
	notices := n.server.serve.NoticesToGossip(now, maxGossipNotices)
	n.server.mu.Unlock()
	n.sendNotices(others[rand.IntN(len(others))], notices)
}

// noticesRequest asks for all notices.
type noticesRequest struct{}

// requestNotices asks some nodes of the service for all notices, once, as soon as this node knows
// others.
func (n *Node) requestNotices() {
	if n.noticesRequested.Load() {
		return
	}
	others := n.members.othersOfService(n.cfg.Service)
	if len(others) == 0 || n.noticesRequested.Swap(true) {
		return
	}
	n.askForNotices(others)
}

// askForNotices asks a few of the given nodes for all notices.
func (n *Node) askForNotices(others []wire.NodeID) {
	for _, i := range rand.Perm(len(others))[:min(len(others), noticeSources)] {
		n.outbox.sendToMember(others[i], wire.KindPoisonRequest, noticesRequest{})
	}
}

// informNewPeers sends all notices to the nodes of the service that have joined since the last
// call. In a large service some nodes of it do so, drawn at random.
func (n *Node) informNewPeers(now time.Time) {
	n.informedMu.Lock()
	defer n.informedMu.Unlock()
	others := n.members.othersOfService(n.cfg.Service)
	informed := make(map[wire.NodeID]bool, len(others))
	for _, id := range others {
		informed[id] = true
		if !n.informed[id] && rand.IntN(len(others)) < informers {
			n.sendNotices(id, n.allNotices(now))
		}
	}
	n.informed = informed
}

func (n *Node) allNotices(now time.Time) []poison.Notice {
	n.server.mu.Lock()
	defer n.server.mu.Unlock()
	return n.server.serve.AllNotices(now)
}

func (n *Node) sendNotices(to wire.NodeID, notices []poison.Notice) {
	for _, notice := range notices {
		n.outbox.sendToMember(to, wire.KindPoison, notice)
	}
}

// recordSuspicions records what this node has come to believe of requests that may crash
// backend servers.
func (n *Node) recordSuspicions(now time.Time, changes []serve.SuspicionChange) {
	for _, c := range changes {
		n.notes.Record(now, explain.Event{
			RequestID: c.RequestID, Service: n.cfg.Service, Step: explain.Step(c.Event), Content: explain.Content(c.Fingerprint),
			Target: c.Origin.Short(), Detail: fmt.Sprintf("%d nodes lost their backend server with it", c.Crashed),
		})
	}
}
