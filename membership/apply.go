package membership

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// maxWant bounds how many records a node asks for in one message.
const maxWant = 256

// takeRecords merges full records.
func (m *Members) takeRecords(from wire.NodeID, msg *Message, reply *Message) {
	for i := range msg.Records {
		r := &msg.Records[i]
		if !r.valid() {
			m.counters.Refused++
			continue
		}
		m.applyRecord(r, msg.Repair && r.ID != from, reply)
	}
}

func (m *Members) applyRecord(r *Record, repair bool, reply *Message) {
	if r.ID == m.self.ID {
		m.hearSelf(r.change(), r.Content != m.self.Content, reply)
		return
	}
	mem := m.table[r.ID]
	if mem == nil {
		mem = m.insert(r.ID)
		if mem == nil {
			return
		}
	} else if !mem.newer(r.Incarnation, r.State) {
		return
	} else if r.Content < mem.Content {
		m.counters.Refused++
		return
	}
	old := mem.Record
	mem.Record = *r
	m.intern(&mem.Record)
	mem.superseded = false
	m.moved(mem, old)
	if !(repair && m.joining) {
		m.spread(mem)
	}
}

// takeChanges merges changes.
func (m *Members) takeChanges(msg *Message, reply *Message) {
	for _, c := range msg.Changes {
		if !c.valid() {
			m.counters.Refused++
			continue
		}
		m.applyChange(c, msg.Repair, reply)
	}
}

func (m *Members) applyChange(c Change, repair bool, reply *Message) {
	if c.ID == m.self.ID {
		m.hearSelf(c, false, reply)
		return
	}
	mem := m.table[c.ID]
	if mem == nil {
		m.applyUnknown(c, reply)
		return
	}
	if !mem.newer(c.Incarnation, c.State) {
		m.counters.Repeated++
		return
	}
	if !c.State.Gone() && (c.Content != mem.Content || mem.PeerAddr == "") {
		m.want(c.ID, reply)
		return
	}
	superseded := c.Flags&flagSuperseded != 0
	if repair && c.State == Dead && !superseded && mem.State < Suspect {
		// After a cut between regions each side holds the other for dead.
		// Taking such claims out of tables would make every member look
		// dead at home for a moment; it is asked instead, unless this node
		// suspects it, too.
		m.doubt(mem, c)
		return
	}
	old := mem.Record
	mem.State = c.State
	mem.Incarnation = c.Incarnation
	mem.Ready = c.Flags&flagReady != 0
	mem.superseded = superseded
	m.moved(mem, old)
	m.spread(mem)
}

// applyUnknown keeps the tombstone of a member that was never known here, so
// that late gossip does not bring it in; of one that lives it wants more.
func (m *Members) applyUnknown(c Change, reply *Message) {
	if !c.State.Gone() {
		m.want(c.ID, reply)
		return
	}
	mem := m.insert(c.ID)
	if mem == nil {
		return
	}
	mem.State = c.State
	mem.Incarnation = c.Incarnation
	mem.Content = c.Content
	m.moved(mem, Record{ID: c.ID, State: Left})
	if !m.joining {
		m.spread(mem)
	}
}

func (m *Members) want(id wire.NodeID, reply *Message) {
	if len(reply.Want) < maxWant {
		reply.Want = append(reply.Want, id)
	}
}

// hearSelf refutes what others say about this node, by going above it.
func (m *Members) hearSelf(c Change, foreign bool, reply *Message) {
	self := m.self
	if c.Incarnation < self.Incarnation || self.State == Left {
		return
	}
	if c.Incarnation == self.Incarnation && c.State == self.State && !foreign {
		return
	}
	if c.Incarnation >= maxIncarnation {
		m.counters.Unrefutable++
		return
	}
	if c.State == Dead && c.Flags&flagSuperseded != 0 {
		// Another process answered at our address. Refuting at once would
		// make the two nodes declare each other dead for ever; the one
		// that finds the other at the address keeps quiet.
		m.address.superseded(m, c.Incarnation)
		return
	}
	m.refute(c.Incarnation, foreign || c.Incarnation > self.Incarnation)
	reply.Records = append(reply.Records, self.Record)
}

func (m *Members) refute(heard uint64, whole bool) {
	m.counters.Refuted++
	m.penalize()
	m.changeSelf(func(r *Record) {
		r.Incarnation = max(r.Incarnation, heard+1)
		if whole {
			r.Content = r.Incarnation
		}
	})
}

// insert adds an empty row that is still in no list; nil if the table is full.
func (m *Members) insert(id wire.NodeID) *member {
	if len(m.table) >= m.cfg.MaxMembers && !m.forgetOldest() {
		m.counters.Refused++
		return nil
	}
	mem := &member{Record: Record{ID: id, State: Left}, roster: -1, gone: -1}
	m.table[id] = mem
	return mem
}

// moved brings all lists up to date after the row changed from old.
func (m *Members) moved(mem *member, old Record) {
	wasGone, isGone := old.State.Gone(), mem.State.Gone()
	if !wasGone {
		m.buckets[bucketOf(mem.ID)] ^= old.digest()
	}
	if !isGone {
		m.buckets[bucketOf(mem.ID)] ^= mem.digest()
	}
	switch {
	case isGone && mem.gone < 0:
		m.leaveRoster(mem)
		m.enterGone(mem)
	case !isGone && mem.roster < 0:
		m.leaveGone(mem)
		m.enterRoster(mem)
	}
	if mem.State == Suspect && old.State != Suspect {
		mem.until = m.clock + m.suspicion()
		m.suspects = append(m.suspects, mem)
	}
	if isGone && !wasGone && mem.State == Dead {
		m.counters.Deaths++
	}
	if !isGone && mem.PeerAddr == m.self.PeerAddr {
		m.address.dispute(m)
	}
	m.reindex(mem, old.Service)
	m.touch()
}

// enterRoster inserts at a random place, so that the order of probes stays
// random.
func (m *Members) enterRoster(mem *member) {
	i := m.rng.IntN(len(m.roster) + 1)
	m.roster = append(m.roster, mem)
	last := len(m.roster) - 1
	m.roster[i], m.roster[last] = m.roster[last], m.roster[i]
	m.roster[last].roster = int32(last)
	m.roster[i].roster = int32(i)
}

func (m *Members) leaveRoster(mem *member) {
	i := mem.roster
	if i < 0 {
		return
	}
	last := len(m.roster) - 1
	m.roster[i] = m.roster[last]
	m.roster[i].roster = i
	m.roster[last] = nil
	m.roster = m.roster[:last]
	mem.roster = -1
}

func (m *Members) enterGone(mem *member) {
	mem.until = m.clock
	mem.gone = int32(len(m.gone))
	m.gone = append(m.gone, mem)
}

func (m *Members) leaveGone(mem *member) {
	i := mem.gone
	if i < 0 {
		return
	}
	last := len(m.gone) - 1
	m.gone[i] = m.gone[last]
	m.gone[i].gone = i
	m.gone[last] = nil
	m.gone = m.gone[:last]
	mem.gone = -1
}

// forgetInterval is how often tombstones are looked through.
const forgetInterval = 10 * time.Second

func (m *Members) tickForget() {
	if m.clock < m.due.forget {
		return
	}
	m.due.forget = m.clock + forgetInterval
	for i := len(m.gone) - 1; i >= 0; i-- {
		if mem := m.gone[i]; m.clock-mem.until > m.cfg.TombstoneFor {
			m.forget(mem)
		}
	}
}

func (m *Members) forgetOldest() bool {
	var oldest *member
	for _, mem := range m.gone {
		if oldest == nil || mem.until < oldest.until {
			oldest = mem
		}
	}
	if oldest == nil {
		return false
	}
	m.forget(oldest)
	return true
}

func (m *Members) forget(mem *member) {
	m.leaveGone(mem)
	mem.queued = false
	mem.rumor++
	delete(m.table, mem.ID)
}
