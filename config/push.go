package config

import (
	"errors"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// seenPushes is how many pushes a node remembers. Few run at a time: one or,
// when readers poll in the same moment, two or three in a data centre.
const seenPushes = 16

// pushKey names one push.
type pushKey struct {
	to     uint64
	source wire.NodeID
}

// pull remembers what was asked for, so that many offers of one update lead
// to one answer.
type pull struct {
	asOf  uint64
	until time.Duration
}

// startPush sends what is new since the last push down the tree.
func (s *Spread) startPush(a *Actions) {
	st := s.State()
	if st.AsOf() <= s.pushed {
		return
	}
	update := st.since(s.pushed)
	s.pushed = st.AsOf()
	s.counters.Pushes++
	m := Message{AsOf: st.AsOf(), Sum: st.Sum(), AgeMillis: s.age(), Update: update}
	s.pushDown(a, m, Push{Source: s.ring.self, Until: s.ring.self})
}

func (s *Spread) pushDown(a *Actions, m Message, p Push) {
	for _, kid := range s.ring.children(p.Until, s.cfg.FanOut) {
		m.Push = &Push{Source: p.Source, Until: kid.until}
		s.send(a, kid.id, m)
	}
}

// forward passes a push on, once. A repeated copy is dropped here, which keeps
// the number of messages at one for each node and push. A node that has the
// state already still forwards: those below it may not.
func (s *Spread) forward(a *Actions, m Message) {
	s.pushed = max(s.pushed, m.Update.To)
	key := pushKey{to: m.Update.To, source: m.Push.Source}
	for _, k := range s.seen {
		if k == key {
			return
		}
	}
	s.seen[s.seenNext] = key
	s.seenNext = (s.seenNext + 1) % seenPushes
	s.counters.Forwards++
	s.pushDown(a, m, *m.Push)
}

// updated takes in the update of a message.
func (s *Spread) updated(a *Actions, from wire.NodeID, m Message) {
	before := s.State()
	after, err := s.follower.merge(before, m.Update)
	switch {
	case err != nil:
		s.badUpdate(a, from, m, err)
	case after != before:
		s.install(a, after)
		s.heardAge(m.AgeMillis)
		if m.Push == nil && before != nil {
			s.relay(a, from)
		}
	}
}

func (s *Spread) install(a *Actions, st *State) {
	if s.State() == nil {
		s.pushed = max(s.pushed, st.AsOf())
		s.joining = false
	}
	s.follower.install(st)
	s.confirmed = never
	a.Changed = true
}

// relay brings what was pulled to the others of the data centre: it came from
// elsewhere because no reader here has it yet.
func (s *Spread) relay(a *Actions, from wire.NodeID) {
	if s.ring.isReader() {
		s.startPush(a)
		return
	}
	if !s.ring.isLocal(from) && s.State().AsOf() > s.pushed {
		reader := s.ring.readers[s.rng.IntN(len(s.ring.readers))]
		s.send(a, reader, s.offer())
	}
}

// badUpdate asks again for what could not be applied: from the own state if
// updates before it are missing, else for the whole state.
func (s *Spread) badUpdate(a *Actions, from wire.NodeID, m Message, err error) {
	if errors.Is(err, errBehind) {
		s.pullFrom(a, from, m.AsOf)
		return
	}
	s.counters.BadUpdates++
	if m.Update.From != 0 && s.mayPull(m.AsOf) {
		s.send(a, from, Message{})
	}
}
