package membership

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// maxRequestedRecords bounds the records that a node requests in one message.
const maxRequestedRecords = 256

// handleRecords merges full records into the table.
func (m *Members) handleRecords(from wire.NodeID, msg *Message, reply *Message) {
	for i := range msg.Records {
		r := &msg.Records[i]
		if !r.valid() {
			m.counters.Rejected++
			continue
		}
		m.applyRecord(r, msg.Repair && r.ID != from, reply)
	}
}

// applyRecord merges one record. A joining node does not gossip the records
// that it fetched in a repair, because its peers have them already.
func (m *Members) applyRecord(r *Record, repair bool, reply *Message) {
	if r.ID == m.self.ID {
		m.handleClaimAboutSelf(r.change(), r.ContentIncarnation != m.self.ContentIncarnation, reply)
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
	} else if r.ContentIncarnation < mem.ContentIncarnation {
		m.counters.Rejected++
		return
	}
	old := mem.Record
	mem.Record = *r
	m.intern(&mem.Record)
	mem.superseded = false
	m.updateLists(mem, old)
	if !(repair && m.joining) {
		m.enqueueRumor(mem)
	}
}

// handleChanges merges changes into the table.
func (m *Members) handleChanges(msg *Message, reply *Message) {
	for _, c := range msg.Changes {
		if !c.valid() {
			m.counters.Rejected++
			continue
		}
		m.applyChange(c, msg.Repair, reply)
	}
}

// applyChange merges one change. It requests the full record if the change
// refers to content that this node does not have.
func (m *Members) applyChange(c Change, repair bool, reply *Message) {
	if c.ID == m.self.ID {
		m.handleClaimAboutSelf(c, false, reply)
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
	if !c.State.Gone() && (c.ContentIncarnation != mem.ContentIncarnation || mem.PeerAddr == "") {
		m.requestRecord(c.ID, reply)
		return
	}
	superseded := c.Flags&flagSuperseded != 0
	if repair && c.State == Dead && !superseded && mem.State < Suspect {
		// After a partition between regions, each side has marked the other
		// failed. Applying such claims from a repair would make every member
		// look failed in its own region for a moment. The member is probed
		// instead, unless this node suspects it too.
		m.scheduleVerification(mem, c)
		return
	}
	old := mem.Record
	mem.State = c.State
	mem.Incarnation = c.Incarnation
	mem.Ready = c.Flags&flagReady != 0
	mem.superseded = superseded
	m.updateLists(mem, old)
	m.enqueueRumor(mem)
}

// applyUnknown applies a change about a member that is not in the table. It
// keeps a tombstone of one that is gone, so that late gossip does not add it,
// and requests the record of one that is not.
func (m *Members) applyUnknown(c Change, reply *Message) {
	if !c.State.Gone() {
		m.requestRecord(c.ID, reply)
		return
	}
	mem := m.insert(c.ID)
	if mem == nil {
		return
	}
	mem.State = c.State
	mem.Incarnation = c.Incarnation
	mem.ContentIncarnation = c.ContentIncarnation
	m.updateLists(mem, Record{ID: c.ID, State: Left})
	if !m.joining {
		m.enqueueRumor(mem)
	}
}

func (m *Members) requestRecord(id wire.NodeID, reply *Message) {
	if len(reply.RecordRequests) < maxRequestedRecords {
		reply.RecordRequests = append(reply.RecordRequests, id)
	}
}

// handleClaimAboutSelf refutes an outdated or false claim about this node by
// raising its incarnation.
func (m *Members) handleClaimAboutSelf(c Change, contentDiffers bool, reply *Message) {
	self := m.self
	if c.Incarnation < self.Incarnation || self.State == Left {
		return
	}
	if c.Incarnation == self.Incarnation && c.State == self.State && !contentDiffers {
		return
	}
	if c.Incarnation >= maxIncarnation {
		m.counters.ForgedClaims++
		return
	}
	if c.State == Dead && c.Flags&flagSuperseded != 0 {
		// Another process answered at this node's address. If both nodes
		// refuted at once, they would mark each other failed forever. The node
		// that finds the other at the address does not refute.
		m.address.onSuperseded(m, c.Incarnation)
		return
	}
	m.refute(c.Incarnation, contentDiffers || c.Incarnation > self.Incarnation)
	reply.Records = append(reply.Records, self.Record)
}

// refute raises this node's incarnation above the claimed one. newContent
// makes peers fetch the full record.
func (m *Members) refute(claimed uint64, newContent bool) {
	m.counters.Refuted++
	m.penalize()
	m.changeSelf(func(r *Record) {
		r.Incarnation = max(r.Incarnation, claimed+1)
		if newContent {
			r.ContentIncarnation = r.Incarnation
		}
	})
}

// insert adds an empty row that is in neither roster nor gone. It returns nil
// if the table is full and has no tombstone to drop.
func (m *Members) insert(id wire.NodeID) *member {
	if len(m.table) >= m.cfg.MaxMembers && !m.expireOldestTombstone() {
		m.counters.Rejected++
		return nil
	}
	mem := &member{Record: Record{ID: id, State: Left}, roster: -1, gone: -1}
	m.table[id] = mem
	return mem
}

// updateLists updates digests, lists, timers and the service index after the
// row changed from old.
func (m *Members) updateLists(mem *member, old Record) {
	wasGone, isGone := old.State.Gone(), mem.State.Gone()
	if !wasGone {
		m.buckets[bucketOf(mem.ID)] ^= old.digest()
	}
	if !isGone {
		m.buckets[bucketOf(mem.ID)] ^= mem.digest()
	}
	switch {
	case isGone && mem.gone < 0:
		m.removeFromRoster(mem)
		m.addGone(mem)
	case !isGone && mem.roster < 0:
		m.removeGone(mem)
		m.addToRoster(mem)
	}
	if mem.State == Suspect && old.State != Suspect {
		mem.stateTime = m.clock + m.suspicionTimeout()
		m.suspects = append(m.suspects, mem)
	}
	if isGone && !wasGone && mem.State == Dead {
		m.counters.Deaths++
	}
	if !isGone && mem.PeerAddr == m.self.PeerAddr {
		m.address.start(m)
	}
	m.reindex(mem, old.Service)
	m.bumpVersion()
}

// addToRoster inserts at a random position, to keep the probe order random.
func (m *Members) addToRoster(mem *member) {
	i := m.rng.IntN(len(m.roster) + 1)
	m.roster = append(m.roster, mem)
	last := len(m.roster) - 1
	m.roster[i], m.roster[last] = m.roster[last], m.roster[i]
	m.roster[last].roster = int32(last)
	m.roster[i].roster = int32(i)
}

func (m *Members) removeFromRoster(mem *member) {
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

func (m *Members) addGone(mem *member) {
	mem.stateTime = m.clock
	mem.gone = int32(len(m.gone))
	m.gone = append(m.gone, mem)
}

func (m *Members) removeGone(mem *member) {
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

// tombstoneScanInterval is the time between two scans for expired tombstones.
const tombstoneScanInterval = 10 * time.Second

func (m *Members) tickTombstones() {
	if m.clock < m.due.expireTombstone {
		return
	}
	m.due.expireTombstone = m.clock + tombstoneScanInterval
	for i := len(m.gone) - 1; i >= 0; i-- {
		if mem := m.gone[i]; m.clock-mem.stateTime > m.cfg.TombstoneTTL {
			m.expireTombstone(mem)
		}
	}
}

// expireOldestTombstone makes space in a full table. It reports whether there
// was a tombstone.
func (m *Members) expireOldestTombstone() bool {
	var oldest *member
	for _, mem := range m.gone {
		if oldest == nil || mem.stateTime < oldest.stateTime {
			oldest = mem
		}
	}
	if oldest == nil {
		return false
	}
	m.expireTombstone(oldest)
	return true
}

func (m *Members) expireTombstone(mem *member) {
	m.removeGone(mem)
	mem.queued = false
	mem.rumor++
	delete(m.table, mem.ID)
}
