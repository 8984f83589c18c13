package capacity

import (
	"fmt"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// Shape of a fleet of any size.
const (
	Regions     = 3
	DataCentres = 6
	// PerService is the number of nodes per service: 3,500 nodes over 200 services.
	PerService = 17.5
)

// FleetSpec returns the specification of the i-th node of a fleet.
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

// introduce sends a node the whole membership table, as a repair does.
func introduce(s *Sim, n *Node, from wire.NodeID, records []membership.Record) {
	msg := membership.Message{Records: records, Repair: true, Listing: &membership.Listing{}}
	n.M.Receive(s.clock(n), from, msg)
}

// Live returns the processes that are up and reachable.
func (s *Sim) Live() []*Node {
	var live []*Node
	for _, n := range s.Nodes {
		if n.Up && !n.Spec.Elsewhere {
			live = append(live, n)
		}
	}
	return live
}

// Mismatch counts the pairs of a view and a member that differ from the true state.
type Mismatch struct {
	// Missing counts live processes that a view lacks or suspects.
	Missing int
	// Extra counts members of a view that are not live; Serving counts those of them
	// that would get work.
	Extra, Serving int
}

// Mismatches compares the views of all nodes that are up with the true state.
func (s *Sim) Mismatches() Mismatch {
	var m Mismatch
	live := len(s.Live())
	for _, n := range s.Nodes {
		if !n.Up {
			continue
		}
		known := 0
		for r := range n.M.All() {
			if s.isLive(r.ID) {
				if r.State != membership.Suspect {
					known++
				}
				continue
			}
			if s.tolerated(n, r.ID) {
				continue
			}
			m.Extra++
			if r.State == membership.Alive {
				m.Serving++
			}
		}
		if !n.Spec.Elsewhere {
			m.Missing += live - known
		}
	}
	return m
}

func (s *Sim) isLive(id wire.NodeID) bool {
	peer := s.byID[id]
	return peer != nil && peer.Up && !peer.Spec.Elsewhere
}

// tolerated reports whether a view may hold a process that uses a foreign address: in its
// own view, or while no other process uses the address, because the connections that it
// opened work.
func (s *Sim) tolerated(n *Node, id wire.NodeID) bool {
	peer := s.byID[id]
	if peer == nil || !peer.Up {
		return false
	}
	return id == n.ID || s.byAddr[peer.Spec.Addr] == nil
}

// Converged reports whether every view is exactly the set of live processes.
func (s *Sim) Converged() bool { return s.Mismatches().isZero() }

func (m Mismatch) isZero() bool { return m.Missing == 0 && m.Extra == 0 }

// Count returns the number of live nodes whose record of id satisfies the condition.
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
