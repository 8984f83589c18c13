package membership

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Counters since the process started.
type Counters struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Suspected counts suspicions that this node raised itself.
	Suspected uint64 `json:"suspected"`
	Deaths    uint64 `json:"deaths"`
	// Refuted counts claims about this node that it had to go above.
	Refuted uint64 `json:"refuted"`
	// Unrefutable counts claims about this node with the greatest
	// incarnation there is: forged. Only a restart helps.
	Unrefutable uint64 `json:"unrefutable"`
	// Superseded counts members found dead because another answered at
	// their address.
	Superseded uint64 `json:"superseded"`
	// Refused counts malformed or oversized parts of messages and of the
	// log, and members beyond the bound.
	Refused       uint64 `json:"refused"`
	Repeated      uint64 `json:"repeated"`
	Repairs       uint64 `json:"repairs"`
	Reconnects    uint64 `json:"reconnects"`
	Contacts      uint64 `json:"contacts"`
	Announcements uint64 `json:"announcements"`
	// Pauses counts ticks that came later than MaxStep.
	Pauses uint64 `json:"pauses"`
}

// StateCount is the number of members in one state.
type StateCount struct {
	State State `json:"state"`
	Count int   `json:"count"`
}

// Dump is the state for people.
type Dump struct {
	Self Record `json:"self"`
	// AddressTaken says that another process answers at this node's address:
	// no other node can reach this one until its setting is mended.
	AddressTaken bool `json:"addressTaken"`
	// Joining says that the table is not complete yet.
	Joining  bool          `json:"joining"`
	Version  uint64        `json:"version"`
	States   []StateCount  `json:"states"`
	Suspects []wire.NodeID `json:"suspects,omitempty"`
	Draining []wire.NodeID `json:"draining,omitempty"`
	Recent   int           `json:"recentPeers"`
	News     int           `json:"newsQueued"`
	Penalty  int           `json:"healthPenalty"`
	Clock    time.Duration `json:"clockNs"`
	Counters Counters      `json:"counters"`
}

// Stats returns the counters.
func (m *Members) Stats() Counters { return m.counters }

// Dump returns the state in short; View has the members.
func (m *Members) Dump() Dump {
	d := Dump{
		Self: m.self.Record, AddressTaken: m.address.taken, Joining: m.joining,
		Version: m.version, Recent: len(m.recent), News: m.urgent.count + m.normal.count,
		Penalty: m.penalty, Clock: m.clock, Counters: m.counters,
	}
	var counts [stateCount]int
	counts[m.self.State]++
	for _, mem := range m.roster {
		counts[mem.State]++
		switch mem.State {
		case Suspect:
			d.Suspects = append(d.Suspects, mem.ID)
		case Draining:
			d.Draining = append(d.Draining, mem.ID)
		}
	}
	for _, mem := range m.gone {
		counts[mem.State]++
	}
	for s, n := range counts {
		d.States = append(d.States, StateCount{State(s), n})
	}
	return d
}
