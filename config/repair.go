package config

import "github.com/cassialoom/cassialoom/wire"

// offer tells a peer what this node has.
func (s *Spread) offer() Message {
	st := s.State()
	return Message{AsOf: st.AsOf(), Sum: st.Sum(), AgeMillis: s.age()}
}

// repairIfDue offers the own state to a random peer; a node without one asks
// more often. An offer works both ways, so an update that reached a single
// node triples the number of those that have it in each period.
func (s *Spread) repairIfDue(a *Actions) {
	if s.clock.elapsed < s.nextRepair {
		return
	}
	mean := s.cfg.RepairEvery
	if s.State() == nil {
		mean = s.cfg.PullRetry
	}
	s.nextRepair = s.clock.elapsed + mean/2 + s.jitter(mean)
	if peer, ok := s.ring.random(s.rng, s.cfg.RemoteRepairs); ok {
		s.send(a, peer, s.offer())
	}
}

// offered compares a peer's state with the own.
func (s *Spread) offered(a *Actions, from wire.NodeID, m Message) {
	st := s.State()
	switch {
	case m.AsOf > st.AsOf():
		s.pullFrom(a, from, m.AsOf)
	case m.AsOf < st.AsOf():
		s.counters.Served++
		s.send(a, from, Message{AsOf: st.AsOf(), Sum: st.Sum(), AgeMillis: s.age(), Update: st.since(m.AsOf)})
	case m.Sum != st.Sum() && m.Sum != 0 && st != nil:
		s.counters.Diverged++
	default:
		s.heardAge(m.AgeMillis)
	}
}

// pullFrom asks a peer for what it has more, by offering the own state.
func (s *Spread) pullFrom(a *Actions, peer wire.NodeID, asOf uint64) {
	if s.mayPull(asOf) {
		s.send(a, peer, s.offer())
	}
}

// mayPull allows one pull at a time for the same as-of offset. An unanswered
// one may be repeated, from another peer, a moment later.
func (s *Spread) mayPull(asOf uint64) bool {
	if asOf <= s.pull.asOf && s.clock.elapsed < s.pull.until {
		return false
	}
	s.pull = pull{asOf: asOf, until: s.clock.elapsed + s.cfg.PullRetry}
	s.counters.Pulls++
	return true
}
