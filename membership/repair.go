package membership

import (
	"encoding/binary"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// The table is divided into buckets by the first byte of the identity, so that
// the listing for one difference stays short.
const (
	bucketCount = 256
	digestBytes = 4 * bucketCount
)

func bucketOf(id wire.NodeID) byte { return id[0] }

// toggleDigest adds the member to its bucket's hash, or removes it.
func (m *Members) toggleDigest(mem *member) { m.buckets[bucketOf(mem.ID)] ^= mem.digest() }

func (mem *member) entry() Entry { return Entry{ID: mem.ID, Incarnation: mem.Incarnation} }

// repairBudget is a token bucket that bounds the bytes per second of repairs.
// Without it, a node that many others ask at once, such as the only seed at a
// start of all nodes, would send each of them its table.
type repairBudget struct {
	bytes float64
	at    time.Duration
}

// allow refills the bucket and reports whether it is at least half full.
func (b *repairBudget) allow(m *Members) bool {
	perSecond := float64(m.cfg.RepairBytesPerSecond)
	b.bytes += (m.clock - b.at).Seconds() * perSecond
	b.bytes = min(b.bytes, float64(m.cfg.RepairBurst))
	b.at = m.clock
	return b.bytes >= float64(m.cfg.RepairBurst)/2
}

// spend may overdraw the bucket, which delays the next repair.
func (b *repairBudget) spend(n int) { b.bytes -= float64(n) }

// recordsSize is an upper bound on the encoded size of the records.
func recordsSize(rs []Record) int {
	total := 0
	for i := range rs {
		total += recordSize(&rs[i])
	}
	return total
}

// digest encodes the hashes of all buckets.
func (m *Members) digest() []byte {
	b := make([]byte, 0, digestBytes)
	for _, h := range m.buckets {
		b = binary.BigEndian.AppendUint32(b, h)
	}
	return b
}

// tickRepair sends a digest to a random peer when a repair is due.
func (m *Members) tickRepair() {
	if m.clock < m.due.repair || len(m.roster) == 0 {
		return
	}
	m.due.repair = m.clock + m.jitter(m.repairWait)
	if !m.budget.allow(m) && !m.joining {
		return
	}
	if !m.joining {
		m.repairWait = min(2*m.repairWait, m.cfg.RepairInterval)
	}
	m.counters.Repairs++
	peer := m.repairPeer()
	m.send(peer.ID, peer.PeerAddr, m.repairRequest())
}

// repairPeer picks a random member. A joining node does not prefer recent
// peers, because they are the seeds that every joining node asks first.
func (m *Members) repairPeer() *member {
	if !m.joining {
		if peers := m.pickPeers(1, nil); len(peers) > 0 {
			return peers[0]
		}
	}
	return m.roster[m.rng.IntN(len(m.roster))]
}

// repairRequest returns the message that starts a repair. It carries this
// node's record, so that the peer can add it.
func (m *Members) repairRequest() Message {
	return Message{Digest: m.digest(), Records: []Record{m.self.Record}, Repair: true}
}

func (m *Members) handleRepair(msg *Message, reply *Message) {
	if len(msg.Digest) > 0 {
		m.handleDigest(msg.Digest, reply)
	}
	if msg.Listing != nil {
		m.handleListing(msg.Listing, reply)
	}
	if len(msg.Offers) > 0 {
		m.handleOffer(msg.Offers, reply)
	}
	m.handleRecordRequests(msg.RecordRequests, reply)
}

// handleDigest answers with the buckets that differ. It starts at a random
// bucket, so that several truncated answers cover the table.
func (m *Members) handleDigest(digest []byte, reply *Message) {
	if len(digest) != digestBytes {
		m.counters.Rejected++
		return
	}
	reply.Repair = true
	// The answer always has this node's record, so that the peer knows at
	// least one member.
	reply.Records = append(reply.Records, m.self.Record)
	if !m.budget.allow(m) {
		m.refer(reply)
		return
	}
	var differs, emptyAtPeer [bucketCount]bool
	for b, mine := range m.buckets {
		theirs := binary.BigEndian.Uint32(digest[4*b:])
		differs[b] = theirs != mine
		emptyAtPeer[b] = theirs == 0
	}
	listing := &Listing{}
	rows := m.byBucket(&differs)
	entries, records := 0, 0
	start := m.rng.IntN(bucketCount)
	for i := range bucketCount {
		b := (start + i) % bucketCount
		if !differs[b] {
			continue
		}
		if entries >= m.cfg.RepairEntries || records >= m.cfg.RepairRecords {
			listing.More = true
			break
		}
		listing.Buckets = append(listing.Buckets, byte(b))
		for _, mem := range rows[b] {
			if emptyAtPeer[b] {
				records++
				reply.Records = append(reply.Records, mem.Record)
				continue
			}
			entries++
			listing.Entries = append(listing.Entries, mem.entry())
		}
	}
	reply.Listing = listing
	m.budget.spend(entryBytes*entries + recordsSize(reply.Records))
}

// refer answers with another member's record when the budget is used up.
// Otherwise all nodes that know only this one would keep asking it.
func (m *Members) refer(reply *Message) {
	reply.Listing = &Listing{More: true}
	if len(m.roster) == 0 {
		return
	}
	if mem := m.roster[m.rng.IntN(len(m.roster))]; mem.State == Alive {
		reply.Records = append(reply.Records, mem.Record)
	}
}

// byBucket groups the live members of the chosen buckets, this node included.
func (m *Members) byBucket(chosen *[bucketCount]bool) *[bucketCount][]*member {
	var rows [bucketCount][]*member
	for _, mem := range m.roster {
		if b := bucketOf(mem.ID); chosen[b] {
			rows[b] = append(rows[b], mem)
		}
	}
	if b := bucketOf(m.self.ID); chosen[b] && !m.self.State.Gone() {
		rows[b] = append(rows[b], m.self)
	}
	return &rows
}

// handleListing compares the peer's buckets with this node's. It requests the
// records that are newer there and offers those that are newer here.
func (m *Members) handleListing(l *Listing, reply *Message) {
	if len(l.Buckets) > bucketCount || len(l.Entries) > m.cfg.MaxMembers {
		m.counters.Rejected++
		return
	}
	listed := make(map[wire.NodeID]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.ID] = true
		m.compare(e, reply)
	}
	m.offerUnlisted(l, listed, reply)
	m.chargeReply(reply)
	m.finishRepair(l)
}

// chargeReply marks the reply as repair and charges its entries, changes and
// requests to the budget.
func (m *Members) chargeReply(reply *Message) {
	reply.Repair = true
	m.budget.spend(entryBytes*(len(reply.Offers)+len(reply.Changes)) + idBytes*len(reply.RecordRequests))
}

// compare requests the record if the peer's is newer, sends a change if the
// member is gone here, and offers the record if it is newer here.
func (m *Members) compare(e Entry, reply *Message) {
	mem := m.table[e.ID]
	switch {
	case mem == nil || e.Incarnation > mem.Incarnation:
		m.requestRecord(e.ID, reply)
	case mem.State.Gone():
		reply.Changes = append(reply.Changes, mem.change())
	case e.Incarnation < mem.Incarnation:
		reply.Offers = append(reply.Offers, mem.entry())
	}
}

// offerUnlisted offers the members that the peer did not list. A joining node
// offers only itself: its other members may have been removed elsewhere.
func (m *Members) offerUnlisted(l *Listing, listed map[wire.NodeID]bool, reply *Message) {
	var chosen [bucketCount]bool
	for _, b := range l.Buckets {
		chosen[b] = true
	}
	for _, rows := range m.byBucket(&chosen) {
		for _, mem := range rows {
			if listed[mem.ID] || len(reply.Offers) >= m.cfg.RepairEntries {
				continue
			}
			if m.joining && mem != m.self {
				continue
			}
			reply.Offers = append(reply.Offers, mem.entry())
		}
	}
}

// handleOffer requests the offered records that are newer than this node's.
func (m *Members) handleOffer(offer []Entry, reply *Message) {
	if len(offer) > m.cfg.MaxMembers {
		m.counters.Rejected++
		return
	}
	for _, e := range offer {
		m.compare(e, reply)
	}
	reply.Offers = nil
	m.chargeReply(reply)
}

// finishRepair schedules the next repair if the listing was truncated, and
// otherwise ends the join.
func (m *Members) finishRepair(l *Listing) {
	if l.More {
		m.due.repair = m.clock + m.jitter(m.cfg.RepairRetryInterval)
		return
	}
	m.joining = false
}

// handleRecordRequests sends the requested records, within the budget.
func (m *Members) handleRecordRequests(ids []wire.NodeID, reply *Message) {
	if len(ids) > m.cfg.MaxMembers {
		m.counters.Rejected++
		return
	}
	if len(ids) == 0 || !m.budget.allow(m) {
		return
	}
	reply.Repair = true
	for _, id := range ids {
		mem := m.table[id]
		if mem == nil || len(reply.Records) >= m.cfg.RepairRecords {
			continue
		}
		if mem.State.Gone() {
			reply.Changes = append(reply.Changes, mem.change())
			continue
		}
		reply.Records = append(reply.Records, mem.Record)
	}
	m.budget.spend(recordsSize(reply.Records))
}

// tickReconnect probes a random failed member, in case it was only cut off.
func (m *Members) tickReconnect() {
	if m.clock < m.due.reconnect {
		return
	}
	m.due.reconnect = m.clock + m.jitter(m.cfg.ReconnectInterval)
	if m.isolated() {
		m.due.reconnect = m.clock + m.jitter(m.cfg.JoinInterval)
	}
	if len(m.gone) == 0 {
		return
	}
	const tries = 8
	for range tries {
		mem := m.gone[m.rng.IntN(len(m.gone))]
		if m.shouldReconnect(mem) {
			m.counters.Reconnects++
			m.startProbe(mem)
			return
		}
	}
}

// shouldReconnect reports whether the member failed recently at an address
// that no other process uses.
func (m *Members) shouldReconnect(mem *member) bool {
	return mem.State == Dead && !mem.superseded && mem.PeerAddr != "" &&
		m.clock-mem.stateTime < m.cfg.ReconnectWindow
}
