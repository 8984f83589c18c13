package config

import "github.com/cassialoom/cassialoom/wire"

// offer returns a message that announces this node's state.
func (s *Distributor) offer() Message {
	st := s.State()
	return Message{AsOf: st.AsOf(), Sum: st.RecordSum(), AgeMillis: s.ageForMessage()}
}

// repairIfDue offers the own state to a random peer. A node without a state
// does so more often. Either side of an offer can receive the newer state.
func (s *Distributor) repairIfDue(a *Actions) {
	if s.clock.elapsed < s.nextRepair {
		return
	}
	mean := s.cfg.RepairEvery
	if s.State() == nil {
		mean = s.cfg.PullRetry
	}
	s.nextRepair = s.clock.elapsed + mean/2 + s.jitter(mean)
	if peer, ok := s.ring.randomPeer(s.rng, s.cfg.RemoteRepairPercent); ok {
		s.send(a, peer, s.offer())
	}
}

// receiveOffer compares a peer's state with the own one, and pulls or sends an
// update.
func (s *Distributor) receiveOffer(a *Actions, from wire.NodeID, m Message) {
	st := s.State()
	switch {
	case m.AsOf > st.AsOf():
		s.pullFrom(a, from, m.AsOf)
	case m.AsOf < st.AsOf():
		s.counters.Served++
		s.send(a, from, Message{AsOf: st.AsOf(), Sum: st.RecordSum(), AgeMillis: s.ageForMessage(), Update: st.updateSince(m.AsOf)})
	case m.Sum != st.RecordSum() && m.Sum != 0 && st != nil:
		s.counters.Diverged++
	default:
		s.mergeAge(m.AgeMillis)
	}
}

// pullFrom requests newer state from a peer by offering the own state.
func (s *Distributor) pullFrom(a *Actions, peer wire.NodeID, asOf uint64) {
	if s.startPull(asOf) {
		s.send(a, peer, s.offer())
	}
}

// startPull reports whether a pull up to the as-of offset may be sent now, and
// records it. An unanswered pull may be repeated after PullRetry, from another
// peer.
func (s *Distributor) startPull(asOf uint64) bool {
	if asOf <= s.pull.asOf && s.clock.elapsed < s.pull.until {
		return false
	}
	s.pull = pull{asOf: asOf, until: s.clock.elapsed + s.cfg.PullRetry}
	s.counters.Pulls++
	return true
}
