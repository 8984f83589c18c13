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
func (n *Node) tellLevels() {
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
		told := n.dispatch.TellLevels(time.Now())
		if len(told) == 0 && !n.awaitLevels() {
			return
		}
		n.tellPeers(levelsMessage{News: told})
		timer.Reset(interval/2 + rand.N(interval))
	}
}

// awaitLevels waits until a reply or a peer names a level; false if the node stops.
func (n *Node) awaitLevels() bool {
	select {
	case <-n.ctx.Done():
		return false
	case <-n.levelsReceived:
		return true
	}
}

// noteLevels wakes tellLevels.
func (n *Node) noteLevels() {
	select {
	case n.levelsReceived <- struct{}{}:
	default:
	}
}

// tellPeers sends to a few nodes that there are connections to: most of them in the
// own data centre, where bytes are cheap, and one in another, so that news leave it.
func (n *Node) tellPeers(m levelsMessage) {
	if len(m.News) == 0 {
		return
	}
	var near, far []wire.NodeID
	for _, id := range n.peers.Connected() {
		rec, ok := n.members.lookup(id)
		if !ok || rec.State.Gone() {
			continue
		}
		if rec.DataCentre == n.cfg.DataCentre {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	rand.Shuffle(len(far), func(i, j int) { far[i], far[j] = far[j], far[i] })
	leave := min(1, len(far))
	stay := min(NewsFanOut-leave, len(near))
	leave = min(NewsFanOut-stay, len(far))
	for _, id := range append(near[:stay], far[:leave]...) {
		n.outbox.sendIfConnected(id, wire.KindLevels, m)
	}
}

func (n *Node) handleLevels(m levelsMessage) {
	n.dispatch.HearLevels(time.Now(), m.News)
	n.noteLevels()
}
