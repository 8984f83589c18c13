package config

import (
	"errors"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// seenPushesSize is the number of recent pushes that a node remembers to drop
// duplicates. A data centre rarely has more than a few in progress.
const seenPushesSize = 16

// pushKey identifies a push.
type pushKey struct {
	to     uint64
	source wire.NodeID
}

// pull is the last pull, remembered so that many offers of the same update
// cause one request.
type pull struct {
	asOf  uint64
	until time.Duration
}

// startPush sends the changes since the last push to the push tree.
func (s *Distributor) startPush(a *Actions) {
	st := s.State()
	if st.AsOf() <= s.pushed {
		return
	}
	update := st.updateSince(s.pushed)
	s.pushed = st.AsOf()
	s.counters.Pushes++
	m := Message{AsOf: st.AsOf(), Sum: st.RecordSum(), AgeMillis: s.ageForMessage(), Update: update}
	s.sendToChildren(a, m, Push{Source: s.ring.self, Until: s.ring.self})
}

func (s *Distributor) sendToChildren(a *Actions, m Message, p Push) {
	for _, child := range s.ring.children(p.Until, s.cfg.FanOut) {
		m.Push = &Push{Source: p.Source, Until: child.until}
		s.send(a, child.id, m)
	}
}

// forwardPush forwards a push to this node's children, once. Dropping repeated
// copies keeps the traffic at one message per node and push. A node that
// already has the state forwards too, because its children may not.
func (s *Distributor) forwardPush(a *Actions, m Message) {
	s.pushed = max(s.pushed, m.Update.To)
	key := pushKey{to: m.Update.To, source: m.Push.Source}
	for _, k := range s.seen {
		if k == key {
			return
		}
	}
	s.seen[s.seenNext] = key
	s.seenNext = (s.seenNext + 1) % seenPushesSize
	s.counters.Forwards++
	s.sendToChildren(a, m, *m.Push)
}

// receiveUpdate applies the update of a message.
func (s *Distributor) receiveUpdate(a *Actions, from wire.NodeID, m Message) {
	before := s.State()
	after, err := s.follower.applyUpdate(before, m.Update)
	switch {
	case err != nil:
		s.handleBadUpdate(a, from, m, err)
	case after != before:
		s.install(a, after)
		s.mergeAge(m.AgeMillis)
		if m.Push == nil && before != nil {
			s.relayUpdate(a, from)
		}
	}
}

func (s *Distributor) install(a *Actions, st *State) {
	if s.State() == nil {
		s.pushed = max(s.pushed, st.AsOf())
		s.catchingUp = false
	}
	s.follower.install(st)
	s.confirmed = never
	a.Changed = true
}

// relayUpdate spreads a pulled update within the data centre, whose readers
// may not have it.
func (s *Distributor) relayUpdate(a *Actions, from wire.NodeID) {
	if s.ring.isReader() {
		s.startPush(a)
		return
	}
	if !s.ring.isLocal(from) && s.State().AsOf() > s.pushed {
		reader := s.ring.readers[s.rng.IntN(len(s.ring.readers))]
		s.send(a, reader, s.offer())
	}
}

// handleBadUpdate requests a replacement for an update that could not be
// applied: the updates since the own state if earlier ones are missing,
// otherwise the whole state.
func (s *Distributor) handleBadUpdate(a *Actions, from wire.NodeID, m Message, err error) {
	if errors.Is(err, errBehind) {
		s.pullFrom(a, from, m.AsOf)
		return
	}
	s.counters.BadUpdates++
	if m.Update.From != 0 && s.startPull(m.AsOf) {
		s.send(a, from, Message{})
	}
}
