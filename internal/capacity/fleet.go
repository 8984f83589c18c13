package capacity

import (
	"fmt"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// Shape of the fleet to design for, at any size.
const (
	Regions     = 3
	DataCentres = 6
	// PerService is 3,500 nodes over 200 services.
	PerService = 17.5
)

// FleetSpec says where the i-th node of a fleet runs.
func FleetSpec(i, size int) Spec {
	services := max(1, int(float64(size)/PerService))
	dc := i % DataCentres
	return Spec{
		Addr:       fmt.Sprintf("10.%d.%d.%d:7400", dc, i/200, i%200+1),
		Service:    fmt.Sprintf("service-%03d", i/DataCentres%services),
		DataCentre: fmt.Sprintf("dc-%d", dc),
		Region:     fmt.Sprintf("region-%d", dc*Regions/DataCentres),
		Ready:      true,
	}
}

// StartFleet starts size nodes that know each other.
func (s *Sim) StartFleet(size int) []*Node {
	fleet := make([]*Node, 0, size)
	for i := range size {
		fleet = append(fleet, s.Start(FleetSpec(i, size)))
	}
	records := make([]membership.Record, 0, size)
	for _, n := range fleet {
		records = append(records, n.M.Self())
	}
	for i, n := range fleet {
		introduce(s, n, fleet[(i+1)%size].ID, records)
	}
	return fleet
}

// introduce hands a node the whole table as the answer of a repair does.
func introduce(s *Sim, n *Node, from wire.NodeID, records []membership.Record) {
	msg := membership.Message{Records: records, Repair: true, Listing: &membership.Listing{}}
	n.M.Receive(s.clock(n), from, msg)
}

// Live returns the processes that are up and can be reached.
func (s *Sim) Live() []*Node {
	var live []*Node
	for _, n := range s.Nodes {
		if n.Up && !n.Spec.Elsewhere {
			live = append(live, n)
		}
	}
	return live
}

// Mismatch is how far the views of all nodes that are up are from the truth,
// as pairs of a view and a member.
type Mismatch struct {
	// Missing are live processes that a view lacks or suspects.
	Missing int
	// Extra are others that a view has, Serving those of them that work
	// would be sent to.
	Extra, Serving int
}

// Mismatches compares all views with the truth.
func (s *Sim) Mismatches() Mismatch {
	var m Mismatch
	live := len(s.Live())
	for _, n := range s.Nodes {
		if !n.Up {
			continue
		}
		seen := 0
		for r := range n.M.All() {
			if s.belongs(r.ID) {
				if r.State != membership.Suspect {
					seen++
				}
				continue
			}
			if s.excused(n, r.ID) {
				continue
			}
			m.Extra++
			if r.State == membership.Alive {
				m.Serving++
			}
		}
		if !n.Spec.Elsewhere {
			m.Missing += live - seen
		}
	}
	return m
}

func (s *Sim) belongs(id wire.NodeID) bool {
	peer := s.byID[id]
	return peer != nil && peer.Up && !peer.Spec.Elsewhere
}

// excused is a process with a foreign address in its own view, or while nobody
// else answers there: over the connections that it opened itself it is as good
// a member as any.
func (s *Sim) excused(n *Node, id wire.NodeID) bool {
	peer := s.byID[id]
	if peer == nil || !peer.Up {
		return false
	}
	return id == n.ID || s.byAddr[peer.Spec.Addr] == nil
}

// Converged reports whether every view is exactly the set of live processes.
func (s *Sim) Converged() bool { return s.Mismatches().right() }

func (m Mismatch) right() bool { return m.Missing == 0 && m.Extra == 0 }

// Count counts the live nodes whose record of id satisfies the condition.
func (s *Sim) Count(id wire.NodeID, holds func(membership.Record, bool) bool) int {
	count := 0
	for _, n := range s.Nodes {
		if !n.Up || n.ID == id {
			continue
		}
		r, ok := n.M.Lookup(id)
		if holds(r, ok) {
			count++
		}
	}
	return count
}
