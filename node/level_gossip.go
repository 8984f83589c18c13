package node

import (
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// GossipFanOut is the number of nodes that each round of level gossip is sent to.
const GossipFanOut = 3

// levelsMessage carries the known admission levels of services to a peer.
type levelsMessage struct {
	LevelGossip []call.LevelNews `cbor:"1,keyasint"`
}

// gossipLevels sends admission levels to peers at random intervals while any is above
// zero. Without one it sleeps until the next is received.
func (n *Node) gossipLevels() {
	interval := n.cfg.Dispatch.LevelGossip.Interval
	if interval <= 0 {
		return
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	for {
		select {
		case <-n.ctx.Done():
			return
		case <-timer.C:
		}
		levels := n.dispatch.OutgoingGossip(time.Now())
		if len(levels) == 0 && !n.awaitLevels() {
			return
		}
		n.sendLevels(levelsMessage{LevelGossip: levels})
		timer.Reset(interval/2 + rand.N(interval))
	}
}

// awaitLevels waits until a reply or a peer reports a level; false if the node stops.
func (n *Node) awaitLevels() bool {
	select {
	case <-n.ctx.Done():
		return false
	case <-n.levelsReceived:
		return true
	}
}

// wakeLevelGossip wakes gossipLevels.
func (n *Node) wakeLevelGossip() {
	select {
	case n.levelsReceived <- struct{}{}:
	default:
	}
}

// sendLevels sends a message to GossipFanOut connected nodes: most in the own data centre,
// where traffic is cheap, and one in another, so that the gossip reaches all data centres.
func (n *Node) sendLevels(m levelsMessage) {
	if len(m.LevelGossip) == 0 {
		return
	}
	var local, remote []wire.NodeID
	for _, id := range n.peers.Connected() {
		rec, ok := n.members.lookup(id)
		if !ok || rec.State.Gone() {
			continue
		}
		if rec.DataCentre == n.cfg.DataCentre {
			local = append(local, id)
		} else {
			remote = append(remote, id)
		}
	}
	rand.Shuffle(len(local), func(i, j int) { local[i], local[j] = local[j], local[i] })
	rand.Shuffle(len(remote), func(i, j int) { remote[i], remote[j] = remote[j], remote[i] })
	remoteCount := min(1, len(remote))
	localCount := min(GossipFanOut-remoteCount, len(local))
	remoteCount = min(GossipFanOut-localCount, len(remote))
	for _, id := range append(local[:localCount], remote[:remoteCount]...) {
		n.outbox.sendIfConnected(id, wire.KindLevels, m)
	}
}

// handleLevels applies the admission levels that a peer reports.
func (n *Node) handleLevels(m levelsMessage) {
	n.dispatch.ReceiveGossip(time.Now(), m.LevelGossip)
	n.wakeLevelGossip()
}
