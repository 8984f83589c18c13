package membership_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/capacity"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// outOfService counts the nodes that would still send work to n.
func outOfService(s *capacity.Sim, n *capacity.Node) (users int) {
	for _, other := range s.Live() {
		for _, r := range other.M.OfService(n.Spec.Service) {
			if r.ID == n.ID && other != n {
				users++
			}
		}
	}
	return users
}

// A backend server is taken down for an upgrade while its node's connections
// lose one message in a hundred. A caller would get a refusal, or wait, at a
// server that is about to stop if any node still picked it: after 3 s none may.
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
		is.Equal(outOfService(s, n), 0)
		r, _ := fleet[9].M.Lookup(n.ID)
		is.Equal(r.State, membership.Draining)
	}
}

// Two regions lose each other for five minutes. At both ends callers are
// served at home. When the link comes back, claims that the other side's
// members are dead must not take anybody out of service at home, and the bytes
// that each node sends stay bounded.
func TestRegionsHealWithoutHarmAtHome(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(120)
	s.Run(10 * time.Second)
	setCut(fleet, 1)
	s.Run(5 * time.Minute)
	is.Equal(missingAtHome(fleet), 0)
	setCut(fleet, 0)
	s.ResetStats()
	for range 300 {
		s.Run(100 * time.Millisecond)
		is.Equal(missingAtHome(fleet), 0)
	}
	is.True(s.Converged())
	for _, n := range fleet {
		is.True(n.Stats.Second.Most < 50_000)
	}
}

func setCut(fleet []*capacity.Node, part int) {
	for _, n := range fleet {
		if n.Spec.Region == "region-0" {
			n.Cut = part
		}
	}
}

func missingAtHome(fleet []*capacity.Node) (missing int) {
	for _, n := range fleet {
		for _, other := range fleet {
			if r, ok := n.M.Lookup(other.ID); n.Spec.Region == other.Spec.Region && (!ok || r.State != membership.Alive) {
				missing++
			}
		}
	}
	return missing
}

// All nodes start at once with an empty log. If each announced itself, the log
// would get thousands of appends in a second, and configuration could not be
// published. A few announce, the others find those.
func TestStartOfAllAnnouncesLittle(t *testing.T) {
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

// A process is killed and another starts at the same address at once. A call
// meant for the old one must not reach the new one by mistake, and the new one
// takes work without waiting for the old one's suspicion.
func TestRestartOnSameAddress(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(40)
	s.Run(10 * time.Second)
	old := fleet[5]
	spec := old.Spec
	spec.Seeds = []string{fleet[6].Spec.Addr}
	renewed := s.Start(spec)
	took, ok := s.RunUntil(time.Minute, 100*time.Millisecond, s.Converged)
	is.True(ok)
	is.True(took <= 4*time.Second)
	is.Equal(outOfService(s, old), 0)
	is.Equal(outOfService(s, renewed), len(fleet)-1)
}

// naive is the simplest list: who was heard of lately is there. Each node
// tells the others all that it holds, and any word of a member renews it.
type naive struct {
	heard map[wire.NodeID]time.Duration
}

const naiveTimeout = 10 * time.Second

func (n *naive) live(now time.Duration) (ids []wire.NodeID) {
	for id, at := range n.heard {
		if now-at <= naiveTimeout {
			ids = append(ids, id)
		}
	}
	return ids
}

// One of three nodes dies. The other two each hear of it from one another,
// from a list that was made before it died, and so it never leaves the naive
// list: callers are sent to a dead server for ever. With incarnations that
// only the member raises, old word does not renew it.
func TestNaiveListKeepsTheDead(t *testing.T) {
	is := is.New(t)
	ids := []wire.NodeID{{1}, {2}, {3}}
	nodes := map[wire.NodeID]*naive{}
	for _, id := range ids {
		nodes[id] = &naive{heard: map[wire.NodeID]time.Duration{{1}: 0, {2}: 0, {3}: 0}}
	}
	const died = 5 * time.Second
	for now := time.Duration(0); now <= 3*time.Minute; now += time.Second {
		for _, from := range ids {
			if from == ids[2] && now > died {
				continue
			}
			nodes[from].heard[from] = now
			for _, to := range ids {
				for _, id := range nodes[from].live(now) {
					nodes[to].heard[id] = now
				}
			}
		}
	}
	is.Equal(len(nodes[ids[0]].live(3*time.Minute)), 3) // the dead one is still there

	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(3)
	s.Run(died)
	s.Lose(fleet[2])
	s.Run(3*time.Minute - died)
	is.True(s.Converged())
}

// What a peer sends beyond the bounds must cost neither memory nor members:
// callers would lose a service whose records were pushed out.
func TestTableIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := membership.DefaultConfig()
	cfg.MaxMembers = 10
	m := membership.New(cfg, membership.Record{ID: wire.NodeID{1}, PeerAddr: "10.0.0.1:1"}, 1)
	now := time.Unix(0, 0)
	for i := range 100 {
		id := wire.NodeID{2, byte(i)}
		rec := membership.Record{ID: id, PeerAddr: "10.0.0.2:1", Service: "s", Ready: true, Incarnation: 1, Content: 1}
		m.Receive(now, id, membership.Message{Records: []membership.Record{rec}})
	}
	is.Equal(len(m.View()), 10)
	is.Equal(len(m.OfService("s")), 9)
	is.Equal(m.Stats().Refused, uint64(91))
}

// The bounds on messages go by estimated sizes; if those were too low, a storm
// would exceed the bytes a second that docs/CAPACITY.md promises.
func TestEstimatedSizesHold(t *testing.T) {
	is := is.New(t)
	rec := membership.Record{
		ID: wire.NewNodeID(), Service: "service-000", DataCentre: "joensuu-hall", Region: "fi-east",
		PeerAddr: "10.200.200.200:7400", OpsAddr: "10.200.200.200:7401", CallerAddr: "10.200.200.200:7402",
		Incarnation: 70000, Content: 70000,
	}
	full, err := wire.Marshal(rec)
	is.NoErr(err)
	is.True(len(full) <= membership.RecordSize(&rec))
	change, err := wire.Marshal(membership.Change{ID: rec.ID, Incarnation: 70000, Content: 70000})
	is.NoErr(err)
	is.True(len(change) <= membership.ChangeSize(&rec))
}

// An instance is paused for so long that nobody tries it any more. When it goes
// on, callers must be served by it again within seconds: the first peer that it
// speaks to tells it that it is held for dead.
func TestPausedNodeComesBackAtOnce(t *testing.T) {
	is := is.New(t)
	s := capacity.New(capacity.DefaultConfig())
	fleet := s.StartFleet(20)
	s.Run(20 * time.Second)
	paused := fleet[7]
	s.Freeze(paused)
	s.Run(membership.DefaultConfig().ReconnectFor + 5*time.Minute)
	is.Equal(outOfService(s, paused), 0)
	s.Thaw(paused)
	took, ok := s.RunUntil(time.Minute, 100*time.Millisecond, s.Converged)
	is.True(ok)
	is.True(took <= 4*time.Second)
}

// The log is out when two groups start, each with its own address to join. The
// services of one have no servers for callers of the other until the log is
// back and names both.
func TestIslandsMergeWhenTheLogIsBack(t *testing.T) {
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

// machine is one node at time zero that knows one other.
func machine(other membership.Record) (*membership.Members, time.Time) {
	now := time.Unix(0, 0)
	m := membership.New(membership.DefaultConfig(), membership.Record{ID: wire.NodeID{1}, PeerAddr: "10.0.0.1:1"}, 1)
	m.Tick(now)
	m.Receive(now, other.ID, membership.Message{Records: []membership.Record{other}})
	return m, now
}

var other = membership.Record{ID: wire.NodeID{2}, Service: "old", PeerAddr: "10.0.0.2:1", Ready: true, Incarnation: 1, Content: 1}

// A node missed that another now serves another service, and hears of a later
// change that travels without the service's name. Calls for the old service
// would go there for good; it has to ask for the record.
func TestChangeWithoutItsContentIsNotApplied(t *testing.T) {
	is := is.New(t)
	m, now := machine(other)
	change := membership.Change{ID: other.ID, Incarnation: 3, Content: 2}
	sends := m.Receive(now, other.ID, membership.Message{Changes: []membership.Change{change}})
	is.Equal(sends[0].Msg.Want, []wire.NodeID{other.ID})
	r, _ := m.Lookup(other.ID)
	is.Equal(r.Incarnation, uint64(1))
}

// A node slept for hours, in which a member died and its tombstones expired. If
// it offered that member to its peers, callers would be sent to the dead.
func TestNodeThatSleptVouchesForNobody(t *testing.T) {
	is := is.New(t)
	m, now := machine(other)
	listing := membership.Message{Listing: &membership.Listing{Buckets: []byte{other.ID[0]}}}
	m.Receive(now, other.ID, listing) // ends the joining
	sends := m.Receive(now, other.ID, listing)
	is.Equal(sends[0].Msg.Offer[0].ID, other.ID)
	now = now.Add(4 * time.Hour)
	listing.Listing.More = true
	for _, send := range m.Receive(now, other.ID, listing) {
		is.Equal(len(send.Msg.Offer), 0)
	}
}

// A process is paused while it waits for the answer to a probe. When it goes
// on, its timers run before it reads what has come. If the time of the pause
// counted, it would suspect all that it had asked, and callers would find fewer
// servers everywhere.
func TestPauseBlamesNobody(t *testing.T) {
	is := is.New(t)
	m, now := machine(other)
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

// A node that is held for dead speaks. If it were not told, it would learn of
// it by chance only, and callers would do without its server until then.
func TestWhoIsHeldForDeadIsTold(t *testing.T) {
	is := is.New(t)
	m, now := machine(other)
	dead := membership.Change{ID: other.ID, State: membership.Dead, Incarnation: 1, Content: 1}
	m.Receive(now, wire.NodeID{3}, membership.Message{Changes: []membership.Change{dead}})
	var reply membership.Message
	for ping := range uint64(20) { // after the news of its death has been passed on
		reply = m.Receive(now, other.ID, membership.Message{Ping: ping + 1})[0].Msg
	}
	is.Equal(reply.Changes, []membership.Change{dead})
}
