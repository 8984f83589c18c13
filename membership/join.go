package membership

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/wire"
)

// announcement is one record of the stream: where to find a few nodes. It is
// never believed, only dialled: what a log keeps may be long out of date.
type announcement struct {
	Nodes []hint `cbor:"1,keyasint"`
}

type hint struct {
	_    struct{} `cbor:",toarray"`
	ID   wire.NodeID
	Addr string
}

// seed is an address at which a node may be.
type seed struct {
	addr  string
	id    wire.NodeID
	tried bool
	fixed bool
}

// seedList is bounded; the newest from the log replace the oldest.
type seedList struct {
	list []seed
	next int
}

// add keeps room for what the log names: addresses of peers that are not
// members yet come in as fixed ones, too.
func (s *seedList) add(n seed, limit int) {
	n.fixed = n.fixed && s.fixedCount() < limit/2
	for i, have := range s.list {
		if have.addr == n.addr {
			n.fixed = n.fixed || have.fixed
			n.tried = n.tried || (have.tried && have.id == n.id)
			s.list[i] = n
			return
		}
	}
	if len(s.list) >= limit {
		i := slices.IndexFunc(s.list, func(have seed) bool { return !have.fixed })
		s.list = slices.Delete(s.list, i, i+1)
	}
	s.list = append(s.list, n)
}

func (s *seedList) fixedCount() (count int) {
	for _, have := range s.list {
		if have.fixed {
			count++
		}
	}
	return count
}

// logReader plans reading the log and announcing in it.
type logReader struct {
	known    bool
	next     uint64
	readAt   time.Duration
	readWait time.Duration
	sayAt    time.Duration
	sayWait  time.Duration
	seedAt   time.Duration
}

// tailRecords is how far back a node reads the log when it starts.
const tailRecords = 48

// announceSkew shapes the wait before a node announces itself: the chance to
// have done so at a share x of the time is x^8. Of 3,500 nodes started at once
// the first does at 36% of it; most of the others find it before their turn.
const announceSkew = 8

const (
	firstReadWait = time.Second
	maxReadWait   = 30 * time.Second
)

func (l *logReader) init(m *Members) {
	l.readWait = firstReadWait
	l.sayWait = m.cfg.AnnounceWithin
	l.sayAt = l.skewed(m)
	l.seedAt = m.jitter(newSeedWait)
}

func (l *logReader) skewed(m *Members) time.Duration {
	return m.clock + time.Duration(float64(l.sayWait)*math.Pow(m.rng.Float64(), 1.0/announceSkew))
}

// announcesPerRetention is how often a seed announces before its first record
// is forgotten: three may fail.
const announcesPerRetention = 4

// Seeds names addresses to try from the settings.
func (m *Members) Seeds(addrs []string) {
	for _, addr := range addrs {
		if validAddr(addr) && addr != m.self.PeerAddr {
			m.seeds.add(seed{addr: addr, fixed: true}, m.cfg.MaxSeeds)
		}
	}
}

// lonely reports whether this node knows no other live member.
func (m *Members) lonely() bool { return len(m.roster) == 0 }

// WantLog tells whether the stream should be read now, and from where.
func (m *Members) WantLog(now time.Time) (from uint64, limit int, ok bool) {
	m.advance(now)
	if m.clock < m.log.readAt {
		return 0, 0, false
	}
	m.log.readAt = m.clock + m.jitter(m.log.readWait)
	if m.lonely() {
		m.log.readWait = min(m.log.readWait*5/4, maxReadWait)
	} else {
		m.log.readWait = m.cfg.SeedsReadInterval
		if !m.isSeed() {
			return 0, 0, false
		}
	}
	if !m.log.known {
		return 0, 1, true
	}
	return m.log.next, tailRecords, true
}

// LogPage takes a page of the stream.
func (m *Members) LogPage(now time.Time, page applog.Page) {
	m.advance(now)
	l := &m.log
	if !l.known {
		l.known = true
		l.next = max(page.Oldest, page.Next-min(page.Next, tailRecords))
		l.readAt = m.clock
		return
	}
	for _, r := range page.Records {
		l.next = max(l.next, r.Offset+1)
		m.takeAnnouncement(r.Data)
	}
	if len(page.Records) == 0 {
		l.next = max(page.Next, page.Oldest)
	}
	if l.next < page.Next {
		l.readAt = m.clock
	}
}

func (m *Members) takeAnnouncement(data []byte) {
	var a announcement
	if err := wire.Unmarshal(data, &a); err != nil || len(a.Nodes) > m.cfg.MaxSeeds {
		m.counters.Refused++
		return
	}
	known := len(m.seeds.list)
	for _, h := range a.Nodes {
		if h.ID.IsZero() || !validAddr(h.Addr) {
			m.counters.Refused++
			continue
		}
		if h.ID != m.self.ID && h.Addr != m.self.PeerAddr && m.table[h.ID] == nil {
			m.seeds.add(seed{addr: h.Addr, id: h.ID}, m.cfg.MaxSeeds)
		}
	}
	if len(m.seeds.list) > known && m.lonely() {
		m.tryFirst()
	}
}

// tryFirst dials what the log just named before this node announces itself.
func (m *Members) tryFirst() {
	m.seeds.next = m.rng.IntN(len(m.seeds.list))
	m.due.join = m.clock + m.within(m.cfg.JoinInterval)
	m.log.sayAt = max(m.log.sayAt, m.log.skewed(m))
}

// tickJoin tries a few addresses: any when alone, else, as a seed, those that
// the log names and nobody here knows.
func (m *Members) tickJoin() {
	if m.clock < m.due.join {
		return
	}
	m.due.join = m.clock + m.jitter(m.cfg.JoinInterval)
	if m.lonely() {
		m.tryAlone()
		return
	}
	m.tryIsland()
}

// tryAlone starts at a random seed: else all nodes of a fleet that starts
// would dial the same one.
func (m *Members) tryAlone() {
	n := len(m.seeds.list)
	for range min(m.cfg.JoinAddrs, n) {
		m.contact(m.seeds.list[m.seeds.next%n].addr)
		m.seeds.next++
	}
}

func (m *Members) tryIsland() {
	for i := range m.seeds.list {
		s := &m.seeds.list[i]
		if s.tried || m.table[s.id] != nil {
			continue
		}
		s.tried = true
		m.contact(s.addr)
		return
	}
}

func (m *Members) contact(addr string) {
	m.counters.Contacts++
	m.send(wire.NodeID{}, addr, m.opening())
}

// WantAnnounce returns what should be appended to the stream now, if anything:
// a node without peers makes itself known, and seeds renew the list.
func (m *Members) WantAnnounce(now time.Time) ([]byte, bool) {
	m.advance(now)
	l := &m.log
	if m.self.State == Left {
		return nil, false
	}
	if m.lonely() {
		if m.clock < l.sayAt {
			return nil, false
		}
		l.sayWait = min(2*l.sayWait, m.cfg.Retention/announcesPerRetention)
		l.sayAt = m.clock + m.jitter(l.sayWait)
		return m.announce()
	}
	if m.clock < l.seedAt {
		return nil, false
	}
	if !m.isSeed() {
		l.seedAt = m.clock + m.jitter(newSeedWait)
		return nil, false
	}
	l.seedAt = m.clock + m.jitter(m.cfg.Retention/announcesPerRetention)
	return m.announce()
}

// AnnounceFailed reports that the append may not have taken effect.
func (m *Members) AnnounceFailed(now time.Time) {
	m.advance(now)
	again := m.clock + m.jitter(announceAgain)
	m.log.seedAt = min(m.log.seedAt, again)
	m.log.sayAt = min(m.log.sayAt, again)
}

// newSeedWait is how soon a node that became a seed announces itself. An
// island that formed while the log was out is found after that. It is long
// enough that at a start of all nodes most know by then that others are seeds.
const newSeedWait = time.Minute

// announceAgain spreads the retries of 18 seeds while the log is out.
const announceAgain = 30 * time.Second

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

// isSeed ranks the nodes of the own data centre by hash. Nodes that disagree
// for a while announce twice, which harms nothing.
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
