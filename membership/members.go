// Package membership keeps each node's list of live members, in the manner of
// SWIM: direct and indirect probes, suspicion before failure, gossip with
// piggybacking, and anti-entropy repair by digests. The log's stream "members"
// serves only to find a first peer.
//
// Members is a state machine without clock, socket or goroutine. The shell
// calls Tick about every GossipInterval, passes on the messages of peers, and
// sends the messages returned. It is not safe for concurrent use.
package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Stream is the name of the log's stream of announcements.
const Stream = "members"

// member is one row of the table. Times are on Members.clock.
type member struct {
	Record
	// roster is the index in Members.roster, and gone the one in Members.gone.
	// The index that does not apply is -1.
	roster int32
	gone   int32
	// rumor counts the rumors about this member; only the latest is sent.
	rumor uint32
	// queued says that the latest rumor still has to be sent. superseded says
	// that another process answered at the member's address. verifying says
	// that the member is in Members.verify.
	queued     bool
	superseded bool
	verifying  bool
	// stateTime is the end of a suspect's suspicion, or when a gone member was
	// marked gone.
	stateTime time.Duration
}

func (m *member) change() Change {
	c := m.Record.change()
	if m.superseded {
		c.Flags |= flagSuperseded
	}
	return c
}

// Members is the membership state of one node.
type Members struct {
	cfg   Config
	rng   *rand.Rand
	self  *member
	table map[wire.NodeID]*member
	// roster holds the other members that are not gone in random order, the
	// order of the probes. nextProbe is the index of the next one.
	roster    []*member
	nextProbe int
	// gone holds the tombstones.
	gone []*member

	// clock is the sum of the times between calls, each at most MaxClockStep.
	clock    time.Duration
	lastTime time.Time
	started  bool

	// probes, relays and verify hold the direct probes in progress, the pings
	// sent for other nodes and the members to probe out of turn.
	probes   []*probe
	relays   []relay
	verify   []verification
	suspects []*member
	seq      uint64
	// penalty stretches the node's timeouts; see penalize.
	penalty int
	recent  []recentPeer

	// busy and storm say that many rumors are queued; see busyRumors.
	busy   bool
	storm  bool
	urgent rumorQueue
	normal rumorQueue
	// buckets holds the digest of each bucket of live members.
	buckets [bucketCount]uint32

	due schedule
	// joining is set until a repair has covered the whole table.
	joining bool
	// youngUntil is the time until which the node is young: few nodes have it
	// in their lists of recent peers, so it would miss a drain. A young node
	// probes faster.
	youngUntil time.Duration
	repairWait time.Duration
	budget     repairBudget
	seeds      seedList
	log        logSchedule
	address    addressCheck

	// version changes with the view. The cached view is valid for viewVersion.
	version     uint64
	view        []Record
	viewVersion uint64
	services    map[string]*serviceIndex
	// interned holds one copy of each name in the records.
	interned map[string]string

	counters Counters
	// outgoing holds the messages until the end of the call.
	outgoing []Send
}

// schedule holds the times at which the periodic tasks are due.
type schedule struct {
	probe, gossip, repair, reconnect, verify, expireTombstone, join time.Duration
}

// New returns the membership of the node that self describes, with no other
// members. seed initialises the random choices.
func New(cfg Config, self Record, seed uint64) *Members {
	m := &Members{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, binary.BigEndian.Uint64(self.ID[:8]))),
		table:    make(map[wire.NodeID]*member),
		services: make(map[string]*serviceIndex),
		interned: make(map[string]string),
		budget:   repairBudget{bytes: float64(cfg.RepairBurst)},
	}
	self.State = Alive
	self.Incarnation = max(self.Incarnation, 1)
	self.ContentIncarnation = self.Incarnation
	m.self = &member{Record: self, roster: -1, gone: -1}
	m.table[self.ID] = m.self
	m.toggleDigest(m.self)
	m.index(m.self)
	m.bumpVersion()
	m.log.init(m)
	m.due = schedule{
		probe:     m.uniform(cfg.ProbeInterval),
		gossip:    m.uniform(cfg.GossipInterval),
		reconnect: m.uniform(cfg.ReconnectInterval),
	}
	m.startJoin()
	return m
}

// uniform draws a time in [0, d), so that nodes started together do not act
// together.
func (m *Members) uniform(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d)))
}

// jitter draws a time between 3/4 and 5/4 of d.
func (m *Members) jitter(d time.Duration) time.Duration {
	return d*3/4 + m.uniform(d/2)
}

// advance moves the clock, by at most MaxClockStep.
func (m *Members) advance(now time.Time) {
	if !m.started {
		m.started = true
		m.lastTime = now
		return
	}
	step := now.Sub(m.lastTime)
	m.lastTime = now
	if step > m.cfg.MaxClockStep {
		m.counters.Pauses++
		m.handlePause(step)
		step = m.cfg.MaxClockStep
	}
	if step > 0 {
		m.clock += step
	}
}

// handlePause makes a node rejoin after a long pause. Its peers may have
// dropped tombstones that it never received, so it must not report its members
// as live before it has fetched a peer's table.
func (m *Members) handlePause(step time.Duration) {
	if step < m.cfg.TombstoneTTL/2 {
		return
	}
	m.startJoin()
}

// startJoin marks the table as incomplete and schedules a repair.
func (m *Members) startJoin() {
	m.joining = true
	m.youngUntil = m.clock + m.cfg.RecentPeerTTL
	m.repairSoon()
}

// repairSoon schedules a repair now and further ones at growing intervals.
func (m *Members) repairSoon() {
	m.repairWait = m.cfg.RepairRetryInterval
	m.due.repair = m.clock + m.uniform(m.cfg.RepairRetryInterval)
}

// Tick runs the tasks that are due and returns the messages to send.
func (m *Members) Tick(now time.Time) []Send {
	m.advance(now)
	m.tickProbes()
	m.tickSuspects()
	m.tickVerify()
	m.tickJoin()
	m.tickRepair()
	m.tickReconnect()
	m.tickAddress()
	m.tickTombstones()
	m.tickGossip()
	return m.flush()
}

// Receive processes a message from a peer and returns the messages to send.
func (m *Members) Receive(now time.Time, from wire.NodeID, msg Message) []Send {
	m.advance(now)
	m.counters.Received++
	if from == m.self.ID || from.IsZero() {
		return nil
	}
	var reply Message
	m.handleRecords(from, &msg, &reply)
	m.handleChanges(&msg, &reply)
	m.handlePing(from, &msg, &reply)
	m.handleAck(from, &msg)
	m.handleRepair(&msg, &reply)
	m.handleSender(from, &msg, &reply)
	if !reply.empty() {
		m.send(from, m.addrOf(from), reply)
	}
	return m.flush()
}

// handleSender marks the sender as a recent peer. It requests the record of an
// unknown sender, and reports to a sender that is suspect or marked failed, so
// that it can refute.
func (m *Members) handleSender(from wire.NodeID, msg *Message, reply *Message) {
	mem := m.table[from]
	if mem == nil {
		if len(msg.Records) == 0 {
			reply.RecordRequests = append(reply.RecordRequests, from)
		}
		return
	}
	if mem.State == Suspect || mem.State == Dead {
		reply.Changes = append(reply.Changes, mem.change())
	}
	if !mem.State.Gone() {
		m.markRecent(mem)
	}
}

// addrOf returns the peer address of a member, empty if unknown.
func (m *Members) addrOf(id wire.NodeID) string {
	if mem := m.table[id]; mem != nil {
		return mem.PeerAddr
	}
	return ""
}

func (m *Members) send(to wire.NodeID, addr string, msg Message) {
	m.counters.Sent++
	m.outgoing = append(m.outgoing, Send{To: to, Addr: addr, Msg: msg})
}

func (m *Members) flush() []Send {
	outgoing := m.outgoing
	m.outgoing = nil
	return outgoing
}

// SetService sets the service of the local backend server and whether the
// server accepts work.
func (m *Members) SetService(now time.Time, service string, backendReady bool) {
	m.advance(now)
	if m.self.State != Alive || (service == m.self.Service && backendReady == m.self.Ready) {
		return
	}
	m.changeSelf(func(r *Record) {
		if r.Service != service {
			r.Service = service
			r.ContentIncarnation = r.Incarnation
		}
		r.Ready = backendReady
	})
}

// RenewBackend publishes that the local backend server has a new incarnation, so that
// other nodes discard what they measured of the previous one.
func (m *Members) RenewBackend(now time.Time) {
	m.advance(now)
	if m.self.State != Alive {
		return
	}
	m.changeSelf(func(r *Record) { r.ContentIncarnation = r.Incarnation })
}

// Drain publishes that this node accepts no more work. It returns messages to
// all connected peers; the other nodes receive it by gossip, ahead of other
// rumors.
func (m *Members) Drain(now time.Time, connected ...wire.NodeID) []Send {
	return m.retire(now, Draining, connected)
}

// Leave publishes that this process ends, in the same way as Drain.
func (m *Members) Leave(now time.Time, connected ...wire.NodeID) []Send {
	return m.retire(now, Left, connected)
}

// retire moves this node to Draining or Left and reports it to the connected
// and recent peers directly.
func (m *Members) retire(now time.Time, state State, connected []wire.NodeID) []Send {
	m.advance(now)
	if m.self.State >= state {
		return nil
	}
	m.changeSelf(func(r *Record) {
		r.State = state
		r.Ready = false
	})
	targets := slices.Concat(connected, m.recentIDs())
	seen := make(map[wire.NodeID]bool, len(targets))
	for _, id := range targets {
		mem := m.table[id]
		if mem == nil || mem == m.self || seen[id] {
			continue
		}
		seen[id] = true
		m.send(id, mem.PeerAddr, Message{Changes: []Change{m.self.change()}})
	}
	return m.flush()
}

// changeSelf raises this node's incarnation, applies f to its record and
// gossips the result.
func (m *Members) changeSelf(f func(r *Record)) {
	m.toggleDigest(m.self)
	old := m.self.Service
	m.self.Incarnation++
	f(&m.self.Record)
	if !m.self.State.Gone() {
		m.toggleDigest(m.self)
	}
	m.reindex(m.self, old)
	m.bumpVersion()
	m.enqueueRumor(m.self)
}
