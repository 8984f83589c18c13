package config

import (
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/wire"
)

// naive is a node without versions: it polls, applies what it reads, sends it
// to its peers, and the last writer wins.
type naive struct {
	self     wire.NodeID
	peers    []Peer
	inForce  []Section
	next     uint64
	nextPoll time.Time
}

func (n *naive) sections() []Section     { return n.inForce }
func (n *naive) SetMembers(peers []Peer) { n.peers = peers }
func (n *naive) LogFailed(time.Time)     {}

func (n *naive) Tick(now time.Time) Actions {
	if now.Before(n.nextPoll) {
		return Actions{}
	}
	n.nextPoll = now.Add(500 * time.Millisecond)
	return Actions{Read: &Read{From: n.next, Max: 100}}
}

func (n *naive) LogPage(_ time.Time, page applog.Page) Actions {
	var a Actions
	for _, r := range page.Records {
		rec, err := decodeRecord(r.Data)
		if err != nil || rec.Publication == nil {
			continue
		}
		n.next = r.Offset + 1
		for _, c := range rec.Publication.Sections {
			n.inForce = withSection(n.inForce, Section{Service: c.Service, Text: c.Text, Version: n.next})
		}
		a.Changed = true
	}
	for _, p := range n.peers {
		if a.Changed && p.ID != n.self {
			a.Send = append(a.Send, Send{To: p.ID, Msg: Message{Update: &Update{Sections: n.inForce}}})
		}
	}
	return a
}

func (n *naive) Receive(_ time.Time, _ wire.NodeID, m Message) Actions {
	for _, s := range m.Update.Sections {
		n.inForce = withSection(n.inForce, s)
	}
	return Actions{Changed: true}
}
