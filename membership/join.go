package membership

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/wire"
)

// announcement is one record of the stream: the addresses of a few nodes. They
// are only dialled and never merged into the table, because records of the log
// may be outdated.
type announcement struct {
	Nodes []hint `cbor:"1,keyasint"`
}

// hint is where a node was when the announcement was written.
type hint struct {
	_    struct{} `cbor:",toarray"`
	ID   wire.NodeID
	Addr string
}

// seed is an address at which a node may be reached.
type seed struct {
	addr string
	id   wire.NodeID
	// tried says that this node dialled the seed in search of a separate
	// cluster.
	tried bool
	// pinned says that seeds from the log must not replace this one.
	pinned bool
}

// seedList is a bounded list; new seeds from the log replace the oldest ones.
type seedList struct {
	list []seed
	next int
}

// add adds a seed, or replaces the one with the same address. Pinned seeds
// take at most half of the list, so that seeds from the log always fit.
func (s *seedList) add(candidate seed, limit int) {
	candidate.pinned = candidate.pinned && s.pinnedCount() < limit/2
	for i, have := range s.list {
		if have.addr == candidate.addr {
			candidate.pinned = candidate.pinned || have.pinned
			candidate.tried = candidate.tried || (have.tried && have.id == candidate.id)
			s.list[i] = candidate
			return
		}
	}
	if len(s.list) >= limit {
		i := slices.IndexFunc(s.list, func(have seed) bool { return !have.pinned })
		s.list = slices.Delete(s.list, i, i+1)
	}
	s.list = append(s.list, candidate)
}

func (s *seedList) pinnedCount() (count int) {
	for _, have := range s.list {
		if have.pinned {
			count++
		}
	}
	return count
}

// logSchedule schedules reads of the log and announcements to it.
type logSchedule struct {
	// positionKnown says that nextOffset is set.
	positionKnown bool
	nextOffset    uint64
	nextRead      time.Duration
	// readInterval is the time between reads; it grows while the node is
	// isolated.
	readInterval time.Duration
	// nextAnnounce is when an isolated node announces itself, and
	// nextSeedAnnounce when a seed does.
	nextAnnounce     time.Duration
	announceInterval time.Duration
	nextSeedAnnounce time.Duration
}

// tailRecords is the number of records before the end of the log where a
// starting node begins to read.
const tailRecords = 48

// announceSkew is the exponent of the wait before a node announces itself: the
// probability of an announcement within a share x of the wait is
// x^announceSkew. When many nodes start at once, few announce early and the
// others find those.
const announceSkew = 8

const (
	firstReadWait = time.Second
	maxReadWait   = 30 * time.Second
)

func (l *logSchedule) init(m *Members) {
	l.readInterval = firstReadWait
	l.announceInterval = m.cfg.MaxAnnounceWait
	l.nextAnnounce = l.randomAnnounceTime(m)
	l.nextSeedAnnounce = m.jitter(newSeedWait)
}

// randomAnnounceTime draws the time of the first announcement.
func (l *logSchedule) randomAnnounceTime(m *Members) time.Duration {
	return m.clock + time.Duration(float64(l.announceInterval)*math.Pow(m.rng.Float64(), 1.0/announceSkew))
}

// announcesPerRetention is how often a seed announces itself before the log
// drops its first record; all but one may fail.
const announcesPerRetention = 4

// Seeds adds addresses from the settings or of connected peers to the seeds,
// as pinned ones. It ignores invalid addresses. A node that knows no member dials them with the
// next Tick.
func (m *Members) Seeds(addrs []string) {
	for _, addr := range addrs {
		if validAddr(addr) && addr != m.self.PeerAddr {
			m.seeds.add(seed{addr: addr, pinned: true}, m.cfg.MaxSeeds)
		}
	}
	if m.isolated() && len(addrs) > 0 {
		m.due.join = min(m.due.join, m.clock)
	}
}

// isolated reports whether this node knows no other live member.
func (m *Members) isolated() bool { return len(m.roster) == 0 }

// NextLogRead reports whether the shell should read the log now, from which offset
// and how many records.
func (m *Members) NextLogRead(now time.Time) (from uint64, limit int, ok bool) {
	m.advance(now)
	if m.clock < m.log.nextRead {
		return 0, 0, false
	}
	m.log.nextRead = m.clock + m.jitter(m.log.readInterval)
	if m.isolated() {
		m.log.readInterval = min(m.log.readInterval*5/4, maxReadWait)
	} else {
		m.log.readInterval = m.cfg.SeedReadInterval
		if !m.isSeed() {
			return 0, 0, false
		}
	}
	if !m.log.positionKnown {
		return 0, 1, true
	}
	return m.log.nextOffset, tailRecords, true
}

// ReceiveLogPage processes a page that the shell read from the log. The first page
// only sets the position to read from.
func (m *Members) ReceiveLogPage(now time.Time, page applog.Page) {
	m.advance(now)
	l := &m.log
	if !l.positionKnown {
		l.positionKnown = true
		l.nextOffset = max(page.Oldest, page.Next-min(page.Next, tailRecords))
		l.nextRead = m.clock
		return
	}
	for _, r := range page.Records {
		l.nextOffset = max(l.nextOffset, r.Offset+1)
		m.handleAnnouncement(r.Data)
	}
	if len(page.Records) == 0 {
		l.nextOffset = max(page.Next, page.Oldest)
	}
	if l.nextOffset < page.Next {
		l.nextRead = m.clock
	}
}

// handleAnnouncement adds the addresses of unknown nodes to the seeds.
func (m *Members) handleAnnouncement(data []byte) {
	var a announcement
	if err := wire.Unmarshal(data, &a); err != nil || len(a.Nodes) > m.cfg.MaxSeeds {
		m.counters.Rejected++
		return
	}
	before := len(m.seeds.list)
	for _, h := range a.Nodes {
		if h.ID.IsZero() || !validAddr(h.Addr) {
			m.counters.Rejected++
			continue
		}
		if h.ID != m.self.ID && h.Addr != m.self.PeerAddr && m.table[h.ID] == nil {
			m.seeds.add(seed{addr: h.Addr, id: h.ID}, m.cfg.MaxSeeds)
		}
	}
	if len(m.seeds.list) > before && m.isolated() {
		m.trySeedsFirst()
	}
}

// trySeedsFirst schedules a dial of the new seeds and delays this node's own
// announcement.
func (m *Members) trySeedsFirst() {
	m.seeds.next = m.rng.IntN(len(m.seeds.list))
	m.due.join = m.clock + m.uniform(m.cfg.JoinInterval)
	m.log.nextAnnounce = max(m.log.nextAnnounce, m.log.randomAnnounceTime(m))
}

// tickJoin dials a few seeds: any if this node is isolated, otherwise those
// that are not members.
func (m *Members) tickJoin() {
	if m.clock < m.due.join {
		return
	}
	m.due.join = m.clock + m.jitter(m.cfg.JoinInterval)
	if m.isolated() {
		m.contactSeeds()
		return
	}
	m.contactUnknownSeed()
}

// contactSeeds dials the next seeds in turn. The first one is random, so that
// nodes that start together do not all dial the same seed.
func (m *Members) contactSeeds() {
	n := len(m.seeds.list)
	for range min(m.cfg.JoinAddrs, n) {
		m.contactAddr(m.seeds.list[m.seeds.next%n].addr)
		m.seeds.next++
	}
}

// contactUnknownSeed dials one seed that is not a member, to merge clusters
// that formed apart.
func (m *Members) contactUnknownSeed() {
	for i := range m.seeds.list {
		s := &m.seeds.list[i]
		if s.tried || m.table[s.id] != nil {
			continue
		}
		s.tried = true
		m.contactAddr(s.addr)
		return
	}
}

// contactAddr sends a repair request to whoever answers at the address.
func (m *Members) contactAddr(addr string) {
	m.counters.SeedDials++
	m.send(wire.NodeID{}, addr, m.repairRequest())
}

// NextAnnouncement returns the record that the shell should append to the log now,
// if any. An isolated node announces itself; seeds renew their announcements
// before the log drops them.
func (m *Members) NextAnnouncement(now time.Time) ([]byte, bool) {
	m.advance(now)
	l := &m.log
	if m.self.State == Left {
		return nil, false
	}
	if m.isolated() {
		if m.clock < l.nextAnnounce {
			return nil, false
		}
		l.announceInterval = min(2*l.announceInterval, m.cfg.Retention/announcesPerRetention)
		l.nextAnnounce = m.clock + m.jitter(l.announceInterval)
		return m.announce()
	}
	if m.clock < l.nextSeedAnnounce {
		return nil, false
	}
	if !m.isSeed() {
		l.nextSeedAnnounce = m.clock + m.jitter(newSeedWait)
		return nil, false
	}
	l.nextSeedAnnounce = m.clock + m.jitter(m.cfg.Retention/announcesPerRetention)
	return m.announce()
}

// AnnounceFailed reports that the append may have failed, and schedules a
// retry.
func (m *Members) AnnounceFailed(now time.Time) {
	m.advance(now)
	retryAt := m.clock + m.jitter(announceRetryWait)
	m.log.nextSeedAnnounce = min(m.log.nextSeedAnnounce, retryAt)
	m.log.nextAnnounce = min(m.log.nextAnnounce, retryAt)
}

// newSeedWait is the mean time until a new seed announces itself, and so until
// a cluster that formed apart during a log outage is found. It is long enough
// for a starting cluster to agree on its seeds.
const newSeedWait = time.Minute

// announceRetryWait is the mean time until a failed announcement is retried.
// It is jittered, so that seeds do not retry together.
const announceRetryWait = 30 * time.Second

// announce encodes this node and a few random members as an announcement.
func (m *Members) announce() ([]byte, bool) {
	a := announcement{Nodes: []hint{{ID: m.self.ID, Addr: m.self.PeerAddr}}}
	for range min(m.cfg.AnnounceRecords-1, len(m.roster)) {
		mem := m.roster[m.rng.IntN(len(m.roster))]
		if mem.State == Alive {
			a.Nodes = append(a.Nodes, hint{ID: mem.ID, Addr: mem.PeerAddr})
		}
	}
	data, err := wire.Marshal(a)
	if err != nil {
		return nil, false
	}
	m.counters.Announcements++
	return data, true
}

// isSeed reports whether this node ranks among the seeds of its data centre,
// by hash of the identity. Nodes with different tables may choose different
// seeds; that only adds announcements.
func (m *Members) isSeed() bool {
	mine := seedRank(m.self.ID)
	above := 0
	for _, mem := range m.roster {
		if mem.DataCentre == m.self.DataCentre && mem.State == Alive && seedRank(mem.ID) > mine {
			above++
		}
	}
	return above < m.cfg.SeedsPerDataCentre
}

func seedRank(id wire.NodeID) uint64 { return xxhash.Sum64(id[:]) }
