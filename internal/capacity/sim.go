// Package capacity runs the state machines of hundreds to thousands of nodes in one
// process, with simulated time and a simulated network, and measures them. The figures in
// docs/CAPACITY.md come from its benchmarks.
//
// The simulation only schedules events: the decisions of a node come from the types that
// the daemon runs, and every message is encoded and decoded as between two daemons.
package capacity

import (
	"container/heap"
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/internal/fakelog"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// Config configures a simulation.
type Config struct {
	Membership membership.Config
	Seed       uint64
	// TickEvery is the interval between ticks of each node: 200 ms as in the daemon, or
	// 100 ms with Spread.
	TickEvery time.Duration
	// Loss is the share of messages that are dropped. TCP delays messages or breaks the
	// connection instead; dropping them is harder to handle.
	Loss float64
	// DialTimeout and IdleTimeout are those of the transport.
	DialTimeout time.Duration
	IdleTimeout time.Duration
	Log         fakelog.Config
	// Spread also runs the gossip of the configuration.
	Spread bool
}

// DefaultConfig returns the settings of the daemon.
func DefaultConfig() Config {
	return Config{
		Membership:  membership.DefaultConfig(),
		Seed:        1,
		TickEvery:   200 * time.Millisecond,
		DialTimeout: time.Second,
		IdleTimeout: 30 * time.Second,
		Log:         fakelog.Config{Retention: time.Hour},
	}
}

// Node is one simulated process.
type Node struct {
	ID   wire.NodeID
	Spec Spec
	M    *membership.Members
	// C is nil unless Config.Spread is set.
	C      *config.Distributor
	Up     bool
	Frozen bool
	// Skew is the node's clock minus the true time.
	Skew time.Duration
	// Cut is the network partition of the node. Nodes of different partitions can't
	// reach each other.
	Cut int

	waiting []*event
	conns   map[*Node]time.Duration
	// membersVersion is the version of the membership that was last passed to C.
	membersVersion uint64
	Stats          Stats
}

// Spec specifies where a process runs.
type Spec struct {
	Addr       string
	Service    string
	DataCentre string
	Region     string
	Ready      bool
	Seeds      []string
	// Elsewhere marks a process whose settings name the address of another one: it can
	// open connections, but no node can reach it.
	Elsewhere bool
}

type event struct {
	at  time.Duration
	seq uint64
	run func()
}

// schedule is a heap of events, ordered by time and then by sequence number.
type schedule []*event

func (s schedule) Len() int { return len(s) }
func (s schedule) Less(i, j int) bool {
	return s[i].at < s[j].at || s[i].at == s[j].at && s[i].seq < s[j].seq
}
func (s schedule) Swap(i, j int) { s[i], s[j] = s[j], s[i] }
func (s *schedule) Push(x any)   { *s = append(*s, x.(*event)) }
func (s *schedule) Pop() any {
	old := *s
	last := len(old) - 1
	e := old[last]
	old[last] = nil
	*s = old[:last]
	return e
}

// Sim is one simulation. It is not safe for concurrent use.
type Sim struct {
	cfg    Config
	rng    *rand.Rand
	start  time.Time
	at     time.Duration
	seq    uint64
	events schedule
	byAddr map[string]*Node
	byID   map[wire.NodeID]*Node
	// Nodes lists all processes that were ever started.
	Nodes []*Node
	Log   *fakelog.Log
	// appendsPerSecond counts the appends of all nodes.
	appendsPerSecond Peak
}

// New returns a simulation without nodes.
func New(cfg Config) *Sim {
	s := &Sim{
		cfg:    cfg,
		rng:    rand.New(rand.NewPCG(cfg.Seed, cfg.Seed)),
		start:  time.Unix(1_700_000_000, 0),
		byAddr: make(map[string]*Node),
		byID:   make(map[wire.NodeID]*Node),
	}
	s.Log = fakelog.New(cfg.Log, s.Now)
	return s
}

// Now returns the true time.
func (s *Sim) Now() time.Time { return s.start.Add(s.at) }

// Elapsed returns the simulated time since the start.
func (s *Sim) Elapsed() time.Duration { return s.at }

// SetLoss changes the share of messages that are dropped.
func (s *Sim) SetLoss(share float64) { s.cfg.Loss = share }

// After runs f after d.
func (s *Sim) After(d time.Duration, f func()) {
	s.seq++
	heap.Push(&s.events, &event{at: s.at + d, seq: s.seq, run: f})
}

// Run advances the simulated time by d.
func (s *Sim) Run(d time.Duration) {
	end := s.at + d
	for len(s.events) > 0 && s.events[0].at <= end {
		e := heap.Pop(&s.events).(*event)
		s.at = e.at
		e.run()
	}
	s.at = end
}

// RunUntil advances the simulated time until done, which it checks after each step, or
// until limit has passed. It returns the time taken and whether done became true.
func (s *Sim) RunUntil(limit, step time.Duration, done func() bool) (time.Duration, bool) {
	started := s.at
	for !done() {
		if s.at-started >= limit {
			return s.at - started, false
		}
		s.Run(step)
	}
	return s.at - started, true
}

// Start starts a process. A process that runs at the same address is killed.
func (s *Sim) Start(spec Spec) *Node {
	n := &Node{ID: s.newID(), Spec: spec, Up: true, conns: make(map[*Node]time.Duration)}
	if old := s.byAddr[spec.Addr]; old != nil && !spec.Elsewhere {
		s.Kill(old)
		n.Cut = old.Cut
	}
	n.M = membership.New(s.cfg.Membership, membership.Record{
		ID: n.ID, Service: spec.Service, DataCentre: spec.DataCentre, Region: spec.Region,
		PeerAddr: spec.Addr, OpsAddr: spec.Addr, CallerAddr: spec.Addr, Ready: spec.Ready,
	}, s.rng.Uint64())
	n.M.Seeds(spec.Seeds)
	if s.cfg.Spread {
		n.C = config.NewDistributor(config.DefaultConfig(), n.ID, spec.DataCentre, s.rng.Uint64())
	}
	s.Nodes = append(s.Nodes, n)
	if !spec.Elsewhere {
		s.byAddr[spec.Addr] = n
	}
	s.byID[n.ID] = n
	s.After(time.Duration(s.rng.Int64N(int64(s.cfg.TickEvery))), func() { s.tick(n) })
	return n
}

func (s *Sim) newID() wire.NodeID {
	var id wire.NodeID
	binary.BigEndian.PutUint64(id[:8], s.rng.Uint64())
	binary.BigEndian.PutUint64(id[8:], s.rng.Uint64())
	return id
}

// Kill ends a process. Its peers notice, because the operating system closes its
// connections.
func (s *Sim) Kill(n *Node) {
	for peer := range s.sortedConns(n) {
		s.breakConnection(peer, n)
	}
	s.Lose(n)
}

// Lose ends a process without closing its connections, as the loss of its instance does.
func (s *Sim) Lose(n *Node) {
	n.Up = false
	n.waiting = nil
	if s.byAddr[n.Spec.Addr] == n {
		delete(s.byAddr, n.Spec.Addr)
	}
}

// breakConnection closes the connection of peer to n, and informs peer.
func (s *Sim) breakConnection(peer, n *Node) {
	if !peer.Up || peer.Cut != n.Cut {
		return
	}
	delete(peer.conns, n)
	s.deliver(peer, delay(n, peer), func() { peer.M.PeerUnreachable(s.clock(peer), n.ID) })
}

// sortedConns yields the connected peers in a fixed order, because the schedule must not
// depend on the order of a map.
func (s *Sim) sortedConns(n *Node) func(yield func(*Node) bool) {
	return func(yield func(*Node) bool) {
		for _, peer := range s.Nodes {
			if _, ok := n.conns[peer]; ok && !yield(peer) {
				return
			}
		}
	}
}

// Freeze pauses a process. Messages that arrive are queued.
func (s *Sim) Freeze(n *Node) { n.Frozen = true }

// Thaw resumes a frozen process.
func (s *Sim) Thaw(n *Node) {
	if !n.Frozen {
		return
	}
	n.Frozen = false
	for _, e := range n.waiting {
		s.After(0, e.run)
	}
	n.waiting = nil
}

// clock returns the time of the node's clock.
func (s *Sim) clock(n *Node) time.Time { return s.Now().Add(n.Skew) }

func (s *Sim) tick(n *Node) {
	if !n.Up {
		return
	}
	if !n.Frozen {
		s.Dispatch(n, n.M.Tick(s.clock(n)))
		s.syncLog(n)
		s.tickConfig(n)
	}
	s.After(s.cfg.TickEvery, func() { s.tick(n) })
}

// Label names a node in test messages.
func (n *Node) Label() string { return fmt.Sprintf("%s@%s", n.ID.Short(), n.Spec.Addr) }
