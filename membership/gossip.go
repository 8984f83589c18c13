package membership

import (
	"math"
	"slices"
)

// Sizes in CBOR; the bounds on messages go by them.
const (
	arrayHead  = 1
	byteSize   = 1
	idSize     = 17
	nameHead   = 2
	names      = 6
	entryBytes = arrayHead + idSize + 3
)

func uintSize(n uint64) int {
	switch {
	case n < 24:
		return 1
	case n < 1<<8:
		return 2
	case n < 1<<16:
		return 3
	case n < 1<<32:
		return 5
	default:
		return 9
	}
}

func changeSize(r *Record) int {
	return arrayHead + idSize + 2*byteSize + uintSize(r.Incarnation) + uintSize(r.Content)
}

func recordSize(r *Record) int {
	return changeSize(r) + names*nameHead + len(r.Service) + len(r.DataCentre) + len(r.Region) +
		len(r.PeerAddr) + len(r.OpsAddr) + len(r.CallerAddr)
}

// rumor is a place in the queue; a newer rumor about the same member makes it
// void.
type rumor struct {
	about *member
	no    uint32
	whole bool
}

// rumors is a queue of news by how often each was sent, least first.
type rumors struct {
	sent  [][]rumor
	count int
	limit int
}

func (q *rumors) push(sent int, r rumor) {
	for len(q.sent) <= sent {
		q.sent = append(q.sent, nil)
	}
	q.sent[sent] = append(q.sent[sent], r)
	q.count++
	if q.count > q.limit {
		q.compact()
	}
}

// compact drops what is void. Void rumors leave when their turn comes; a peer
// that floods a node with changes would keep the turns from coming.
func (q *rumors) compact() {
	q.count = 0
	for i, list := range q.sent {
		q.sent[i] = slices.DeleteFunc(list, rumor.void)
		q.count += len(q.sent[i])
	}
	q.limit = max(minCompact, 2*q.count)
}

const minCompact = 1024

// spread queues the row as news.
func (m *Members) spread(mem *member) {
	mem.rumor++
	mem.queued = true
	r := rumor{about: mem, no: mem.rumor}
	r.whole = !mem.State.Gone() && mem.Incarnation == mem.Content
	if mem == m.self || mem.State == Draining || mem.State == Left {
		m.urgent.push(0, r)
		return
	}
	m.normal.push(0, r)
}

// minRetransmits is for small fleets, where three copies leave out one member
// in twenty.
const minRetransmits = 6

// urgentFactor doubles the copies of a drain: the one node in thousands that
// missed it would send work to a server that stops, until its next repair.
const urgentFactor = 2

// retransmits is how often one piece of news is passed on.
func (m *Members) retransmits() int {
	if m.storm {
		return stormRetransmits
	}
	digits := math.Ceil(math.Log10(float64(len(m.roster) + 2)))
	return max(minRetransmits, m.cfg.RetransmitFactor*int(digits))
}

// Of much news at once some is missed: each piece by one member in ten
// thousand. After more than busyNews a repair follows at once.
//
// A storm is more than goes out in a few seconds, for example when two regions
// find each other again. To pass on all of it as often as a single change
// would take minutes at the bounded rate, and most copies would say what the
// receiver knows. So each piece goes out less often, and the one in fifty that
// is missed comes by the repair.
const (
	busyNews         = 24
	stormNews        = 256
	calmNews         = 8
	stormRetransmits = 4
)

func (m *Members) watchNews() {
	news := m.urgent.count + m.normal.count
	m.busy = m.busy || news > busyNews
	m.storm = m.storm || news > stormNews
	if m.busy && news < calmNews {
		m.busy = false
		m.storm = false
		m.repairSoon()
	}
}

func (m *Members) tickGossip() {
	if m.clock < m.due.gossip {
		return
	}
	m.due.gossip = max(m.due.gossip+m.cfg.GossipInterval, m.clock)
	m.watchNews()
	if m.urgent.count == 0 && m.normal.count == 0 {
		return
	}
	for _, peer := range m.pickPeers(m.cfg.GossipFanout, nil) {
		var msg Message
		m.fill(&msg, m.cfg.GossipBytes)
		if msg.empty() {
			return
		}
		m.send(peer.ID, peer.PeerAddr, msg)
	}
}

func (m *Members) piggyback(msg *Message) { m.fill(msg, m.cfg.PiggybackBytes) }

// fill adds the news that was sent least, up to a size.
func (m *Members) fill(msg *Message, bytes int) {
	limit := m.retransmits()
	bytes = m.urgent.take(msg, bytes, urgentFactor*limit)
	m.normal.take(msg, bytes, limit)
}

func (q *rumors) take(msg *Message, bytes, limit int) int {
	if q.count == 0 {
		return bytes
	}
	var again []rumor
	var from []int
	for sent := range q.sent {
		list := q.sent[sent]
		used := 0
		for _, r := range list {
			if r.void() {
				used++
				continue
			}
			size := r.size()
			if size > bytes {
				break
			}
			used++
			bytes -= size
			r.add(msg)
			if sent+1 < limit {
				again = append(again, r)
				from = append(from, sent+1)
			} else {
				r.about.queued = false
			}
		}
		q.drop(sent, used)
		if used < len(list) {
			break
		}
	}
	for i, r := range again {
		q.push(from[i], r)
	}
	return bytes
}

// drop removes the first n rumors and lets go of the memory when all went.
func (q *rumors) drop(sent, n int) {
	q.count -= n
	if n == len(q.sent[sent]) {
		q.sent[sent] = nil
		return
	}
	q.sent[sent] = q.sent[sent][n:]
}

func (r rumor) void() bool { return r.no != r.about.rumor || !r.about.queued }

func (r rumor) size() int {
	if r.whole {
		return recordSize(&r.about.Record)
	}
	return changeSize(&r.about.Record)
}

func (r rumor) add(msg *Message) {
	if r.whole {
		msg.Records = append(msg.Records, r.about.Record)
		return
	}
	msg.Changes = append(msg.Changes, r.about.change())
}
