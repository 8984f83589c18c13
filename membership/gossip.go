package membership

import (
	"math"
	"slices"
)

// Upper bounds on encoded CBOR sizes in bytes, used to limit the size of
// messages. nameCount is the number of strings in a Record.
const (
	arrayHeaderBytes = 1
	smallIntBytes    = 1
	idBytes          = 17
	nameHeaderBytes  = 2
	nameCount        = 6
	entryBytes       = arrayHeaderBytes + idBytes + 3
)

// uintSize is the encoded size of n in bytes.
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

// changeSize is an upper bound on the encoded size of the record's Change.
func changeSize(r *Record) int {
	return arrayHeaderBytes + idBytes + 2*smallIntBytes + uintSize(r.Incarnation) + uintSize(r.ContentIncarnation)
}

// recordSize is an upper bound on the encoded size of the record.
func recordSize(r *Record) int {
	return changeSize(r) + nameCount*nameHeaderBytes + len(r.Service) + len(r.DataCentre) + len(r.Region) +
		len(r.PeerAddr) + len(r.OpsAddr) + len(r.CallerAddr)
}

// rumor is a queued piece of gossip. A later rumor about the same member makes
// it stale.
type rumor struct {
	subject *member
	// seq is the member's rumor counter when this rumor was queued.
	seq uint32
	// full says that the whole record is sent, not only the change.
	full bool
}

// rumorQueue holds rumors by the number of times each was sent; the least sent
// go out first.
type rumorQueue struct {
	// sent[n] holds the rumors that were sent n times.
	sent  [][]rumor
	count int
	// compactAt is the count above which stale rumors are dropped.
	compactAt int
}

// push adds a rumor that was sent that many times.
func (q *rumorQueue) push(sent int, r rumor) {
	for len(q.sent) <= sent {
		q.sent = append(q.sent, nil)
	}
	q.sent[sent] = append(q.sent[sent], r)
	q.count++
	if q.count > q.compactAt {
		q.compact()
	}
}

// compact drops stale rumors. Otherwise they stay until it is their turn to be
// sent, and a peer that floods this node with changes could grow the queue
// without bound.
func (q *rumorQueue) compact() {
	q.count = 0
	for i, list := range q.sent {
		q.sent[i] = slices.DeleteFunc(list, rumor.stale)
		q.count += len(q.sent[i])
	}
	q.compactAt = max(minCompactSize, 2*q.count)
}

// minCompactSize is the smallest queue that is compacted.
const minCompactSize = 1024

// enqueueRumor queues the row for gossip.
func (m *Members) enqueueRumor(mem *member) {
	mem.rumor++
	mem.queued = true
	r := rumor{subject: mem, seq: mem.rumor}
	r.full = !mem.State.Gone() && mem.Incarnation == mem.ContentIncarnation
	if mem == m.self || mem.State == Draining || mem.State == Left {
		m.urgent.push(0, r)
		return
	}
	m.normal.push(0, r)
}

// minRetransmits is for small clusters, where fewer copies miss too many
// members.
const minRetransmits = 6

// urgentFactor multiplies the copies of a drain: a node that misses it sends
// work to a stopping server until its next repair.
const urgentFactor = 2

// retransmits is how many times each rumor is sent.
func (m *Members) retransmits() int {
	if m.storm {
		return stormRetransmits
	}
	digits := math.Ceil(math.Log10(float64(len(m.roster) + 2)))
	return max(minRetransmits, m.cfg.RetransmitFactor*int(digits))
}

// Thresholds on the number of queued rumors. Above busyRumors some members
// probably miss a rumor, so a repair follows when the queue falls below
// calmRumors.
//
// Above stormRumors the queue takes many seconds to send, for example when two
// regions reconnect. Each rumor is then sent stormRetransmits times only,
// because most receivers know it already; repair reaches the members that miss
// it.
const (
	busyRumors       = 24
	stormRumors      = 256
	calmRumors       = 8
	stormRetransmits = 4
)

// updateLoad notes whether the queue is long, and schedules a repair when it
// is short again.
func (m *Members) updateLoad() {
	queued := m.urgent.count + m.normal.count
	m.busy = m.busy || queued > busyRumors
	m.storm = m.storm || queued > stormRumors
	if m.busy && queued < calmRumors {
		m.busy = false
		m.storm = false
		m.repairSoon()
	}
}

// tickGossip sends queued rumors to random peers.
func (m *Members) tickGossip() {
	if m.clock < m.due.gossip {
		return
	}
	m.due.gossip = max(m.due.gossip+m.cfg.GossipInterval, m.clock)
	m.updateLoad()
	if m.urgent.count == 0 && m.normal.count == 0 {
		return
	}
	for _, peer := range m.pickPeers(m.cfg.GossipFanout, nil) {
		var msg Message
		m.addRumors(&msg, m.cfg.GossipBytes)
		if msg.empty() {
			return
		}
		m.send(peer.ID, peer.PeerAddr, msg)
	}
}

// piggyback adds rumors to a ping or an ack.
func (m *Members) piggyback(msg *Message) { m.addRumors(msg, m.cfg.PiggybackBytes) }

// addRumors adds the least sent rumors to msg, up to a size in bytes.
func (m *Members) addRumors(msg *Message, bytes int) {
	limit := m.retransmits()
	bytes = m.urgent.appendTo(msg, bytes, urgentFactor*limit)
	m.normal.appendTo(msg, bytes, limit)
}

// appendTo moves rumors into msg and requeues those sent fewer than limit
// times. It returns the bytes that remain.
func (q *rumorQueue) appendTo(msg *Message, bytes, limit int) int {
	if q.count == 0 {
		return bytes
	}
	var requeue []rumor
	var requeueSent []int
	for sent := range q.sent {
		list := q.sent[sent]
		taken := 0
		for _, r := range list {
			if r.stale() {
				taken++
				continue
			}
			size := r.size()
			if size > bytes {
				break
			}
			taken++
			bytes -= size
			r.addTo(msg)
			if sent+1 < limit {
				requeue = append(requeue, r)
				requeueSent = append(requeueSent, sent+1)
			} else {
				r.subject.queued = false
			}
		}
		q.removeFirst(sent, taken)
		if taken < len(list) {
			break
		}
	}
	for i, r := range requeue {
		q.push(requeueSent[i], r)
	}
	return bytes
}

// removeFirst removes the first n rumors, and releases the memory of an empty
// list.
func (q *rumorQueue) removeFirst(sent, n int) {
	q.count -= n
	if n == len(q.sent[sent]) {
		q.sent[sent] = nil
		return
	}
	q.sent[sent] = q.sent[sent][n:]
}

// stale reports whether the rumor was replaced by a later one or no longer has
// to be sent.
func (r rumor) stale() bool { return r.seq != r.subject.rumor || !r.subject.queued }

func (r rumor) size() int {
	if r.full {
		return recordSize(&r.subject.Record)
	}
	return changeSize(&r.subject.Record)
}

func (r rumor) addTo(msg *Message) {
	if r.full {
		msg.Records = append(msg.Records, r.subject.Record)
		return
	}
	msg.Changes = append(msg.Changes, r.subject.change())
}
