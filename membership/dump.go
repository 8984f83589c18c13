package membership

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Counters count events since the process started.
type Counters struct {
	Sent     uint64 `json:"sent"`
	Received uint64 `json:"received"`
	// Suspected counts the suspicions that this node raised itself.
	Suspected uint64 `json:"suspected"`
	// Deaths counts the members that changed to Dead in this node's table.
	Deaths uint64 `json:"deaths"`
	// Refuted counts the claims about this node that it refuted.
	Refuted uint64 `json:"refuted"`
	// ForgedClaims counts the claims about this node with the highest valid
	// incarnation. They are forged, and only a restart of the node ends them.
	ForgedClaims uint64 `json:"unrefutable"`
	// Superseded counts the members marked failed because another process
	// answered at their address.
	Superseded uint64 `json:"superseded"`
	// Rejected counts malformed or oversized parts of messages and of the log,
	// and members beyond MaxMembers.
	Rejected uint64 `json:"refused"`
	// Repeated counts the changes that were not newer than the table.
	Repeated uint64 `json:"repeated"`
	// Repairs, Reconnects, SeedDials and Announcements count what this node
	// started: digest exchanges, probes of failed members, dials of seeds and
	// appends to the log.
	Repairs       uint64 `json:"repairs"`
	Reconnects    uint64 `json:"reconnects"`
	SeedDials     uint64 `json:"contacts"`
	Announcements uint64 `json:"announcements"`
	// Pauses counts the ticks that came later than MaxClockStep.
	Pauses uint64 `json:"pauses"`
}

// StateCount is the number of members in one state.
type StateCount struct {
	State State `json:"state"`
	Count int   `json:"count"`
}

// Dump is a summary of the state for operators.
type Dump struct {
	Self Record `json:"self"`
	// AddressTaken says that another process answers at this node's address:
	// other nodes cannot reach this one until its setting is fixed.
	AddressTaken bool `json:"addressTaken"`
	// Joining says that the table is not complete yet.
	Joining  bool          `json:"joining"`
	Version  uint64        `json:"version"`
	States   []StateCount  `json:"states"`
	Suspects []wire.NodeID `json:"suspects,omitempty"`
	Draining []wire.NodeID `json:"draining,omitempty"`
	// RecentPeers is the number of recent peers, QueuedRumors the number of queued rumors,
	// and Clock the sum of the times between calls.
	RecentPeers  int           `json:"recentPeers"`
	QueuedRumors int           `json:"newsQueued"`
	Penalty      int           `json:"healthPenalty"`
	Clock        time.Duration `json:"clockNs"`
	Counters     Counters      `json:"counters"`
}

// Stats returns the counters.
func (m *Members) Stats() Counters { return m.counters }

// Dump returns a summary of the state; View returns the members.
func (m *Members) Dump() Dump {
	d := Dump{
		Self: m.self.Record, AddressTaken: m.address.taken, Joining: m.joining,
		Version: m.version, RecentPeers: len(m.recent), QueuedRumors: m.urgent.count + m.normal.count,
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
