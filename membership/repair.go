package membership

import (
	"encoding/binary"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// bucketCount divides the table by the first byte of the identity: at 3,500
// members a bucket holds 14, so that one difference costs a listing of 14.
const (
	bucketCount = 256
	digestBytes = 4 * bucketCount
)

func bucketOf(id wire.NodeID) byte { return id[0] }

func (m *Members) bucketFlip(mem *member) { m.buckets[bucketOf(mem.ID)] ^= mem.digest() }

func (mem *member) entry() Entry { return Entry{ID: mem.ID, Incarnation: mem.Incarnation} }

// repairBudget bounds the bytes a second that a node spends on repairs. Without it a
// node that many others ask at once, such as the only one that a fleet finds
// when it starts, would send each of them its table.
type repairBudget struct {
	bytes float64
	at    time.Duration
}

func (b *repairBudget) allow(m *Members) bool {
	perSecond := float64(m.cfg.RepairBytesPerSecond)
	b.bytes += (m.clock - b.at).Seconds() * perSecond
	b.bytes = min(b.bytes, float64(m.cfg.RepairBurst))
	b.at = m.clock
	return b.bytes >= float64(m.cfg.RepairBurst)/2
}

// spend may overdraw by half an answer, which delays the next.
func (b *repairBudget) spend(n int) { b.bytes -= float64(n) }

func recordsSize(rs []Record) int {
	total := 0
	for i := range rs {
		total += recordSize(&rs[i])
	}
	return total
}

func (m *Members) digest() []byte {
	b := make([]byte, 0, digestBytes)
	for _, h := range m.buckets {
		b = binary.BigEndian.AppendUint32(b, h)
	}
	return b
}

func (m *Members) tickRepair() {
	if m.clock < m.due.repair || len(m.roster) == 0 {
		return
	}
	m.due.repair = m.clock + m.jitter(m.repairWait)
	if !m.repairs.allow(m) && !m.joining {
		return
	}
	if !m.joining {
		m.repairWait = min(2*m.repairWait, m.cfg.RepairInterval)
	}
	m.counters.Repairs++
	peer := m.repairPeer()
	m.send(peer.ID, peer.PeerAddr, m.opening())
}

// repairPeer is any member for a node that joins: the few that it has heard
// from are those that everybody finds first.
func (m *Members) repairPeer() *member {
	if !m.joining {
		if peers := m.pickPeers(1, nil); len(peers) > 0 {
			return peers[0]
		}
	}
	return m.roster[m.rng.IntN(len(m.roster))]
}

// opening is the message that starts a repair. It carries the own record:
// to a peer that does not know this node it is an introduction.
func (m *Members) opening() Message {
	return Message{Digest: m.digest(), Records: []Record{m.self.Record}, Repair: true}
}

func (m *Members) takeRepair(msg *Message, reply *Message) {
	if len(msg.Digest) > 0 {
		m.takeDigest(msg.Digest, reply)
	}
	if msg.Listing != nil {
		m.takeListing(msg.Listing, reply)
	}
	if len(msg.Offer) > 0 {
		m.takeOffer(msg.Offer, reply)
	}
	m.takeWant(msg.Want, reply)
}

// takeDigest lists the buckets that differ, from a random one on, so that
// several answers that are cut short cover the table.
func (m *Members) takeDigest(digest []byte, reply *Message) {
	if len(digest) != digestBytes {
		m.counters.Refused++
		return
	}
	reply.Repair = true
	// The own record always goes along: whoever asks knows one member then.
	reply.Records = append(reply.Records, m.self.Record)
	if !m.repairs.allow(m) {
		m.refer(reply)
		return
	}
	var differs, whole [bucketCount]bool
	for b, mine := range m.buckets {
		theirs := binary.BigEndian.Uint32(digest[4*b:])
		differs[b] = theirs != mine
		whole[b] = theirs == 0
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
			if whole[b] {
				records++
				reply.Records = append(reply.Records, mem.Record)
				continue
			}
			entries++
			listing.Entries = append(listing.Entries, mem.entry())
		}
	}
	reply.Listing = listing
	m.repairs.spend(entryBytes*entries + recordsSize(reply.Records))
}

// refer names another member in place of an answer. Else thousands that start
// at once and know one node only would go on asking that one.
func (m *Members) refer(reply *Message) {
	reply.Listing = &Listing{More: true}
	if len(m.roster) == 0 {
		return
	}
	if mem := m.roster[m.rng.IntN(len(m.roster))]; mem.State == Alive {
		reply.Records = append(reply.Records, mem.Record)
	}
}

// byBucket groups the live members, this node too, of the chosen buckets.
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

// takeListing compares the peer's buckets with the own ones: asks for what is
// newer there and sends what is newer here.
func (m *Members) takeListing(l *Listing, reply *Message) {
	if len(l.Buckets) > bucketCount || len(l.Entries) > m.cfg.MaxMembers {
		m.counters.Refused++
		return
	}
	listed := make(map[wire.NodeID]bool, len(l.Entries))
	for _, e := range l.Entries {
		listed[e.ID] = true
		m.compare(e, reply)
	}
	m.offerUnlisted(l, listed, reply)
	m.spendOn(reply)
	m.repaired(l)
}

// spendOn charges what was found in a comparison.
func (m *Members) spendOn(reply *Message) {
	reply.Repair = true
	m.repairs.spend(entryBytes*(len(reply.Offer)+len(reply.Changes)) + idSize*len(reply.Want))
}

// compare asks for a member that is newer at the peer. One that is gone here
// the peer is told of, one that is newer here it is offered.
func (m *Members) compare(e Entry, reply *Message) {
	mem := m.table[e.ID]
	switch {
	case mem == nil || e.Incarnation > mem.Incarnation:
		m.want(e.ID, reply)
	case mem.State.Gone():
		reply.Changes = append(reply.Changes, mem.change())
	case e.Incarnation < mem.Incarnation:
		reply.Offer = append(reply.Offer, mem.entry())
	}
}

// offerUnlisted offers the members that the peer does not have. A node that
// is joining, or slept for long, vouches for nobody but itself.
func (m *Members) offerUnlisted(l *Listing, listed map[wire.NodeID]bool, reply *Message) {
	var chosen [bucketCount]bool
	for _, b := range l.Buckets {
		chosen[b] = true
	}
	for _, rows := range m.byBucket(&chosen) {
		for _, mem := range rows {
			if listed[mem.ID] || len(reply.Offer) >= m.cfg.RepairEntries {
				continue
			}
			if m.joining && mem != m.self {
				continue
			}
			reply.Offer = append(reply.Offer, mem.entry())
		}
	}
}

func (m *Members) takeOffer(offer []Entry, reply *Message) {
	if len(offer) > m.cfg.MaxMembers {
		m.counters.Refused++
		return
	}
	for _, e := range offer {
		m.compare(e, reply)
	}
	reply.Offer = nil
	m.spendOn(reply)
}

// repaired plans the next repair and ends the joining when no bucket was left
// out.
func (m *Members) repaired(l *Listing) {
	if l.More {
		m.due.repair = m.clock + m.jitter(m.cfg.RepairAgain)
		return
	}
	m.joining = false
}

func (m *Members) takeWant(want []wire.NodeID, reply *Message) {
	if len(want) > m.cfg.MaxMembers {
		m.counters.Refused++
		return
	}
	if len(want) == 0 || !m.repairs.allow(m) {
		return
	}
	reply.Repair = true
	for _, id := range want {
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
	m.repairs.spend(recordsSize(reply.Records))
}

// tickReconnect tries one dead member in case it was only cut off.
func (m *Members) tickReconnect() {
	if m.clock < m.due.reconnect {
		return
	}
	m.due.reconnect = m.clock + m.jitter(m.cfg.ReconnectInterval)
	if m.lonely() {
		m.due.reconnect = m.clock + m.jitter(m.cfg.JoinInterval)
	}
	if len(m.gone) == 0 {
		return
	}
	const tries = 8
	for range tries {
		mem := m.gone[m.rng.IntN(len(m.gone))]
		if m.worthTrying(mem) {
			m.counters.Reconnects++
			m.startProbe(mem)
			return
		}
	}
}

func (m *Members) worthTrying(mem *member) bool {
	return mem.State == Dead && !mem.superseded && mem.PeerAddr != "" &&
		m.clock-mem.until < m.cfg.ReconnectFor
}
