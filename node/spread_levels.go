package node

import (
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// NewsFanOut is to how many nodes levels are told at a time. Three reach all of a
// fleet of a few hundred in three rounds, and of thousands in six.
const NewsFanOut = 3

// levelsMessage tells a peer what is known of the levels of services.
type levelsMessage struct {
	News []call.LevelNews `cbor:"1,keyasint"`
}

// tellLevels passes levels on while there are any above zero. At rest it waits for
// the first one: a node that serves well has nothing to wake up for.
func (n *Node) gossipLevels() {
	interval := n.cfg.Dispatch.News.Interval
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
		levels := n.dispatch.TellLevels(time.Now())
		if len(levels) == 0 && !n.awaitLevels() {
			return
		}
		n.sendLevels(levelsMessage{News: levels})
		timer.Reset(interval/2 + rand.N(interval))
	}
}

// awaitLevels waits until a reply or a peer names a level; false if the node stops.
func (n *Node) awaitLevels() bool {
	select {
	case <-n.ctx.Done():
		return false
	case <-n.levelsHeard:
		return true
	}
}

// noteLevels wakes tellLevels.
func (n *Node) wakeLevelGossip() {
	select {
	case n.levelsHeard <- struct{}{}:
	default:
	}
}

// tellPeers sends to a few nodes that there are connections to: most of them in the
// own data centre, where bytes are cheap, and one in another, so that news leave it.
func (n *Node) sendLevels(m levelsMessage) {
	if len(m.News) == 0 {
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
	localCount := min(NewsFanOut-remoteCount, len(local))
	remoteCount = min(NewsFanOut-localCount, len(remote))
	for _, id := range append(local[:localCount], remote[:remoteCount]...) {
		n.posts.answer(id, wire.KindLevels, m)
	}
}

func (n *Node) handleLevels(m levelsMessage) {
	n.dispatch.HearLevels(time.Now(), m.News)
	n.wakeLevelGossip()
}
