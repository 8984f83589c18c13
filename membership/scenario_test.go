package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/capacity"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// routingNodes counts the nodes that would still send work to n.
func routingNodes(s *capacity.Sim, n *capacity.Node) (users int) {
	for _, other := range s.Live() {
		for _, r := range other.M.OfService(n.Spec.Service) {
			if r.ID == n.ID && other != n {
				users++
			}
		}
	}
	return users
}

// Guards against nodes that still route requests to a draining backend server
// when connections lose messages.
func TestDrainIsKnownWithinThreeSeconds(t *testing.T) {
	is := is.New(t)
	cfg := capacity.DefaultConfig()
	cfg.Loss = 0.01
	s := capacity.New(cfg)
	fleet := s.StartFleet(300)
	s.Run(20 * time.Second)
	for _, n := range []*capacity.Node{fleet[3], fleet[77], fleet[150]} {
		s.Dispatch(n, n.M.Drain(s.Now()))
		s.Run(3 * time.Second)
		is.Equal(routingNodes(s, n), 0)
		r, _ := fleet[9].M.Lookup(n.ID)
		is.Equal(r.State, membership.Draining)
	}
}

// After a partition between regions, claims from the other region must not
// take members out of service, and each node's traffic stays bounded.
func TestHealedPartitionKeepsMembersInService(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(120)
	s.Run(10 * time.Second)
	partitionRegion(fleet, 1)
	s.Run(5 * time.Minute)
	is.Equal(missingInRegion(fleet), 0)
	partitionRegion(fleet, 0)
	s.ResetStats()
	for range 300 {
		s.Run(100 * time.Millisecond)
		is.Equal(missingInRegion(fleet), 0)
	}
	is.True(s.Converged())
	for _, n := range fleet {
		is.True(n.Stats.Second.Most < 50_000)
	}
}

// partitionRegion moves the nodes of region-0 to a network partition.
func partitionRegion(fleet []*capacity.Node, part int) {
	for _, n := range fleet {
		if n.Spec.Region == "region-0" {
			n.Cut = part
		}
	}
}

// missingInRegion counts the records, in all nodes, of members of the same
// region that are missing or not Alive.
func missingInRegion(fleet []*capacity.Node) (missing int) {
	for _, n := range fleet {
		for _, other := range fleet {
			if r, ok := n.M.Lookup(other.ID); n.Spec.Region == other.Spec.Region && (!ok || r.State != membership.Alive) {
				missing++
			}
		}
	}
	return missing
}

// Guards against a flood of announcements in the log when all nodes start at
// once.
func TestSimultaneousStartLimitsAnnouncements(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	const size = 300
	for i := range size {
		s.Start(capacity.FleetSpec(i, size))
	}
	_, ok := s.RunUntil(time.Minute, time.Second, s.Converged)
	is.True(ok)
	s.Run(3 * time.Minute)
	appends := uint64(0)
	for _, n := range s.Nodes {
		appends += n.Stats.Appends
	}
	is.True(appends < size/4)
}

// After a restart at the same address, no node routes to the old process, and
// the new one gets work without waiting for the suspicion timeout.
func TestRestartOnSameAddress(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(40)
	s.Run(10 * time.Second)
	old := fleet[5]
	spec := old.Spec
	spec.Seeds = []string{fleet[6].Spec.Addr}
	restarted := s.Start(spec)
	took, ok := s.RunUntil(time.Minute, 100*time.Millisecond, s.Converged)
	is.True(ok)
	is.True(took <= 4*time.Second)
	is.Equal(routingNodes(s, old), 0)
	is.Equal(routingNodes(s, restarted), len(fleet)-1)
}

// timeoutList is a membership list by timeout only: each node sends the others
// its list, and any report of a member renews it.
type timeoutList struct {
	lastReport map[wire.NodeID]time.Duration
}

const listTimeout = 10 * time.Second

func (n *timeoutList) live(now time.Duration) (ids []wire.NodeID) {
	for id, at := range n.lastReport {
		if now-at <= listTimeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// Without incarnations, two nodes keep renewing a failed member in each
// other's list. Members removes it, because old reports do not renew a member.
func TestTimeoutListKeepsFailedMember(t *testing.T) {
	is := is.New(t)
	ids := []wire.NodeID{{1}, {2}, {3}}
	nodes := map[wire.NodeID]*timeoutList{}
	for _, id := range ids {
		nodes[id] = &timeoutList{lastReport: map[wire.NodeID]time.Duration{{1}: 0, {2}: 0, {3}: 0}}
	}
	const died = 5 * time.Second
	for now := time.Duration(0); now <= 3*time.Minute; now += time.Second {
		for _, from := range ids {
			if from == ids[2] && now > died {
				continue
			}
			nodes[from].lastReport[from] = now
			for _, to := range ids {
				for _, id := range nodes[from].live(now) {
					nodes[to].lastReport[id] = now
				}
			}
		}
	}
	is.Equal(len(nodes[ids[0]].live(3*time.Minute)), 3) // the failed one is still listed

	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(3)
	s.Run(died)
	s.Lose(fleet[2])
	s.Run(3*time.Minute - died)
	is.True(s.Converged())
}

// Guards against a peer that sends more records than the bound: they must
// neither use memory nor push out members.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := membership.DefaultConfig()
	cfg.MaxMembers = 10
	m := membership.New(cfg, membership.Record{ID: wire.NodeID{1}, PeerAddr: "10.0.0.1:1"}, 1)
	now := time.Unix(0, 0)
	for i := range 100 {
		id := wire.NodeID{2, byte(i)}
		rec := membership.Record{ID: id, PeerAddr: "10.0.0.2:1", Service: "s", Ready: true, Incarnation: 1, ContentIncarnation: 1}
		m.Receive(now, id, membership.Message{Records: []membership.Record{rec}})
	}
	is.Equal(len(m.View()), 10)
	is.Equal(len(m.OfService("s")), 9)
	is.Equal(m.Stats().Rejected, uint64(91))
}

// Guards against messages above the byte limits: the size estimates must be
// upper bounds.
func TestEstimatedSizesHold(t *testing.T) {
	is := is.New(t)
	rec := membership.Record{
		ID: wire.NewNodeID(), Service: "service-000", DataCentre: "joensuu-hall", Region: "fi-east",
		PeerAddr: "10.200.200.200:7400", OpsAddr: "10.200.200.200:7401", CallerAddr: "10.200.200.200:7402",
		Incarnation: 70000, ContentIncarnation: 70000,
	}
	full, err := wire.Marshal(rec)
	is.NoErr(err)
	is.True(len(full) <= membership.RecordSize(&rec))
	change, err := wire.Marshal(membership.Change{ID: rec.ID, Incarnation: 70000, ContentIncarnation: 70000})
	is.NoErr(err)
	is.True(len(change) <= membership.ChangeSize(&rec))
}

// A node that was paused for longer than ReconnectWindow must serve callers again
// within seconds: its first peer reports that it is marked failed.
func TestPausedNodeRejoinsWithinSeconds(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(20)
	s.Run(20 * time.Second)
	paused := fleet[7]
	s.Freeze(paused)
	s.Run(membership.DefaultConfig().ReconnectWindow + 5*time.Minute)
	is.Equal(routingNodes(s, paused), 0)
	s.Thaw(paused)
	took, ok := s.RunUntil(time.Minute, 100*time.Millisecond, s.Converged)
	is.True(ok)
	is.True(took <= 4*time.Second)
}

// Two clusters that formed with separate seeds during a log outage must merge
// when the log is available again.
func TestSeparateClustersMergeAfterLogOutage(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	s.Log.Outage(s.Now().Add(3 * time.Minute))
	const size = 40
	for i := range size {
		spec := capacity.FleetSpec(i, size)
		spec.Seeds = []string{capacity.FleetSpec(i%2, size).Addr}
		s.Start(spec)
	}
	s.Run(3 * time.Minute)
	is.Equal(s.Mismatches(), capacity.Mismatch{Missing: size * size / 2})
	_, ok := s.RunUntil(4*time.Minute, time.Second, s.Converged)
	is.True(ok)
}

// newKnowing returns the membership of a node that knows one other member, and
// the time of its last call.
func newKnowing(other membership.Record) (*membership.Members, time.Time) {
	now := time.Unix(0, 0)
	m := membership.New(membership.DefaultConfig(), membership.Record{ID: wire.NodeID{1}, PeerAddr: "10.0.0.1:1"}, 1)
	m.Tick(now)
	m.Receive(now, other.ID, membership.Message{Records: []membership.Record{other}})
	return m, now
}

var other = membership.Record{ID: wire.NodeID{2}, Service: "old", PeerAddr: "10.0.0.2:1", Ready: true, Incarnation: 1, ContentIncarnation: 1}

// A change that refers to unknown content must make the node request the
// record; otherwise it would keep routing calls for the member's old service.
func TestChangeOfUnknownContentRequestsRecord(t *testing.T) {
	is := is.New(t)
	m, now := newKnowing(other)
	change := membership.Change{ID: other.ID, Incarnation: 3, ContentIncarnation: 2}
	sends := m.Receive(now, other.ID, membership.Message{Changes: []membership.Change{change}})
	is.Equal(sends[0].Msg.RecordRequests, []wire.NodeID{other.ID})
	r, _ := m.Lookup(other.ID)
	is.Equal(r.Incarnation, uint64(1))
}

// A node that was paused for hours must not offer members to its peers: they
// may have failed since and their tombstones have expired.
func TestNodeAfterLongPauseOffersNoMembers(t *testing.T) {
	is := is.New(t)
	m, now := newKnowing(other)
	listing := membership.Message{Listing: &membership.Listing{Buckets: []byte{other.ID[0]}}}
	m.Receive(now, other.ID, listing) // ends the join
	sends := m.Receive(now, other.ID, listing)
	is.Equal(sends[0].Msg.Offers[0].ID, other.ID)
	now = now.Add(4 * time.Hour)
	listing.Listing.More = true
	for _, send := range m.Receive(now, other.ID, listing) {
		is.Equal(len(send.Msg.Offers), 0)
	}
}

// After a pause during a probe, timers run before the waiting ack is read. The
// time of the pause must not count, or the node would suspect its peers.
func TestPauseCausesNoSuspicion(t *testing.T) {
	is := is.New(t)
	m, now := newKnowing(other)
	var ping uint64
	for ping == 0 {
		now = now.Add(100 * time.Millisecond)
		for _, send := range m.Tick(now) {
			ping = max(ping, send.Msg.Ping)
		}
	}
	now = now.Add(time.Minute)
	m.Tick(now)
	m.Receive(now, other.ID, membership.Message{Ack: ping})
	now = now.Add(time.Second)
	m.Tick(now)
	is.Equal(m.Stats().Suspected, uint64(0))
}

// A node that sends a message while marked failed must receive that claim, so
// that it can refute.
func TestSenderMarkedFailedReceivesClaim(t *testing.T) {
	is := is.New(t)
	m, now := newKnowing(other)
	dead := membership.Change{ID: other.ID, State: membership.Dead, Incarnation: 1, ContentIncarnation: 1}
	m.Receive(now, wire.NodeID{3}, membership.Message{Changes: []membership.Change{dead}})
	var reply membership.Message
	for ping := range uint64(20) { // until the rumor of its failure is no longer sent
		reply = m.Receive(now, other.ID, membership.Message{Ping: ping + 1})[0].Msg
	}
	is.Equal(reply.Changes, []membership.Change{dead})
}
