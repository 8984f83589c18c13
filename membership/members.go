// Package membership keeps each node's list of who is there: direct and
// indirect probes, suspicion before death, gossip with repair by digests, and
// the log's stream "members" only to be found at all.
//
// Members is a plain state machine without clock, socket or goroutine. The
// shell calls Tick about every GossipInterval, passes on what peers send, and
// sends what comes back. It is not safe for concurrent use.
package membership

import (
	"encoding/binary"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// Stream is the log's stream of announcements.
const Stream = "members"

// member is one row of the table. Times are on the machine's own clock.
type member struct {
	Record
	// roster is the index in Members.roster, gone that in Members.gone; the
	// one that does not apply is -1.
	roster int32
	gone   int32
	// rumor is the number of the news that is in the queue about it.
	rumor      uint32
	queued     bool
	superseded bool
	verifying  bool
	// until is the end of the suspicion, or the death of a gone member.
	until time.Duration
}

func (m *member) change() Change {
	c := m.Record.change()
	if m.superseded {
		c.Flags |= flagSuperseded
	}
	return c
}

// Members is the membership of one node.
type Members struct {
	cfg   Config
	rng   *rand.Rand
	self  *member
	table map[wire.NodeID]*member
	// roster holds the other members that are not gone in random order, the
	// order in which they are probed.
	roster []*member
	next   int
	gone   []*member

	// clock is the sum of the time between ticks, each at most MaxStep.
	clock   time.Duration
	last    time.Time
	started bool

	probes   []*probe
	relays   []relay
	verify   []doubted
	suspects []*member
	seq      uint64
	penalty  int
	recent   []contact

	busy    bool
	storm   bool
	urgent  rumors
	normal  rumors
	buckets [bucketCount]uint32

	due     schedule
	joining bool
	// young is when the node has enough peers that send it news. Until then
	// it is in few nodes' lists of recent peers and would miss a drain: it
	// probes faster and repairs more often.
	young      time.Duration
	repairWait time.Duration
	repairs    repairBudget
	seeds      seedList
	log        logReader
	address    addressCheck

	version  uint64
	view     []Record
	viewAt   uint64
	services map[string]*serviceIndex
	names    map[string]string

	counters Counters
	out      []Send
}

// schedule holds when the machine's periodic duties are due.
type schedule struct {
	probe, gossip, repair, reconnect, verify, forget, join time.Duration
}

// New returns the membership of the node that self describes, alone as yet.
func New(cfg Config, self Record, seed uint64) *Members {
	m := &Members{
		cfg:      cfg,
		rng:      rand.New(rand.NewPCG(seed, binary.BigEndian.Uint64(self.ID[:8]))),
		table:    make(map[wire.NodeID]*member),
		services: make(map[string]*serviceIndex),
		names:    make(map[string]string),
		repairs:  repairBudget{bytes: float64(cfg.RepairBurst)},
	}
	self.State = Alive
	self.Incarnation = max(self.Incarnation, 1)
	self.Content = self.Incarnation
	m.self = &member{Record: self, roster: -1, gone: -1}
	m.table[self.ID] = m.self
	m.bucketFlip(m.self)
	m.index(m.self)
	m.touch()
	m.log.init(m)
	m.due = schedule{
		probe:     m.within(cfg.ProbeInterval),
		gossip:    m.within(cfg.GossipInterval),
		reconnect: m.within(cfg.ReconnectInterval),
	}
	m.join()
	return m
}

// within draws a time between zero and d, so that nodes started together do
// not act together.
func (m *Members) within(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return time.Duration(m.rng.Int64N(int64(d)))
}

// jitter draws a time between three and five quarters of d.
func (m *Members) jitter(d time.Duration) time.Duration {
	return d*3/4 + m.within(d/2)
}

func (m *Members) advance(now time.Time) {
	if !m.started {
		m.started = true
		m.last = now
		return
	}
	step := now.Sub(m.last)
	m.last = now
	if step > m.cfg.MaxStep {
		m.counters.Pauses++
		m.paused(step)
		step = m.cfg.MaxStep
	}
	if step > 0 {
		m.clock += step
	}
}

// paused stops a node that slept for long from vouching for members whose
// tombstones the others may have dropped: it takes the table of the first
// peer that answers instead of bringing the dead back.
func (m *Members) paused(step time.Duration) {
	if step < m.cfg.TombstoneFor/2 {
		return
	}
	m.join()
}

func (m *Members) join() {
	m.joining = true
	m.young = m.clock + m.cfg.RecentFor
	m.repairSoon()
}

// repairSoon repairs at once and then less and less often.
func (m *Members) repairSoon() {
	m.repairWait = m.cfg.RepairAgain
	m.due.repair = m.clock + m.within(m.cfg.RepairAgain)
}

// Tick does what is due and returns what has to be sent.
func (m *Members) Tick(now time.Time) []Send {
	m.advance(now)
	m.tickProbes()
	m.tickSuspects()
	m.tickVerify()
	m.tickJoin()
	m.tickRepair()
	m.tickReconnect()
	m.tickAddress()
	m.tickForget()
	m.tickGossip()
	return m.flush()
}

// Receive takes a message from a peer and returns what has to be sent.
func (m *Members) Receive(now time.Time, from wire.NodeID, msg Message) []Send {
	m.advance(now)
	m.counters.Received++
	if from == m.self.ID || from.IsZero() {
		return nil
	}
	var reply Message
	m.takeRecords(from, &msg, &reply)
	m.takeChanges(&msg, &reply)
	m.takePing(from, &msg, &reply)
	m.takeAck(from, &msg)
	m.takeRepair(&msg, &reply)
	m.greet(from, &msg, &reply)
	if !reply.empty() {
		m.send(from, m.addrOf(from), reply)
	}
	return m.flush()
}

// greet notes that a peer is there, asks an unknown one for its record and
// tells one that is taken for suspect or dead, so that it can refute.
func (m *Members) greet(from wire.NodeID, msg *Message, reply *Message) {
	mem := m.table[from]
	if mem == nil {
		if len(msg.Records) == 0 {
			reply.Want = append(reply.Want, from)
		}
		return
	}
	if mem.State == Suspect || mem.State == Dead {
		reply.Changes = append(reply.Changes, mem.change())
	}
	if !mem.State.Gone() {
		m.heard(mem)
	}
}

func (m *Members) addrOf(id wire.NodeID) string {
	if mem := m.table[id]; mem != nil {
		return mem.PeerAddr
	}
	return ""
}

func (m *Members) send(to wire.NodeID, addr string, msg Message) {
	m.counters.Sent++
	m.out = append(m.out, Send{To: to, Addr: addr, Msg: msg})
}

func (m *Members) flush() []Send {
	out := m.out
	m.out = nil
	return out
}

// SetService tells which service the local backend server belongs to and
// whether it takes work.
func (m *Members) SetService(now time.Time, service string, backendReady bool) {
	m.advance(now)
	if m.self.State != Alive || (service == m.self.Service && backendReady == m.self.Ready) {
		return
	}
	m.changeSelf(func(r *Record) {
		if r.Service != service {
			r.Service = service
			r.Content = r.Incarnation
		}
		r.Ready = backendReady
	})
}

// Renew says that the backend server beside this node is another process than
// before: what others have measured of it no longer holds.
func (m *Members) Renew(now time.Time) {
	m.advance(now)
	if m.self.State != Alive {
		return
	}
	m.changeSelf(func(r *Record) { r.Content = r.Incarnation })
}

// Drain says that this node takes no more work. The message goes to all
// connected peers at once, the rest hear by gossip ahead of other news.
func (m *Members) Drain(now time.Time, connected ...wire.NodeID) []Send {
	return m.retire(now, Draining, connected)
}

// Leave says that this process ends.
func (m *Members) Leave(now time.Time, connected ...wire.NodeID) []Send {
	return m.retire(now, Left, connected)
}

func (m *Members) retire(now time.Time, state State, connected []wire.NodeID) []Send {
	m.advance(now)
	if m.self.State >= state {
		return nil
	}
	m.changeSelf(func(r *Record) {
		r.State = state
		r.Ready = false
	})
	told := slices.Concat(connected, m.recentIDs())
	seen := make(map[wire.NodeID]bool, len(told))
	for _, id := range told {
		mem := m.table[id]
		if mem == nil || mem == m.self || seen[id] {
			continue
		}
		seen[id] = true
		m.send(id, mem.PeerAddr, Message{Changes: []Change{m.self.change()}})
	}
	return m.flush()
}

// changeSelf raises the own incarnation and spreads the change.
func (m *Members) changeSelf(f func(r *Record)) {
	m.bucketFlip(m.self)
	old := m.self.Service
	m.self.Incarnation++
	f(&m.self.Record)
	if !m.self.State.Gone() {
		m.bucketFlip(m.self)
	}
	m.reindex(m.self, old)
	m.touch()
	m.spread(m.self)
}
