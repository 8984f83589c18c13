package membership

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// probe is one probe in progress.
type probe struct {
	target   *member
	inc      uint64
	seq      uint64
	indirect time.Duration
	deadline time.Duration
	asked    int
	heard    bool
}

// relay is a ping sent on behalf of another node.
type relay struct {
	seq      uint64
	origin   wire.NodeID
	addr     string
	originNo uint64
	deadline time.Duration
}

// doubted is a member that somebody holds for dead or could not reach.
type doubted struct {
	about *member
	claim Change
	at    time.Duration
}

// verifyWithin spreads the extra probes. When a process ends, all its peers
// lose their connections in one moment; its successor would get a hundred
// connections in the next. Most hear that it left before they probe.
const verifyWithin = 2 * time.Second

// contact is a peer heard from lately.
type contact struct {
	peer *member
	at   time.Duration
}

// Bounds of what peers can make a node hold.
const (
	maxProbes = 32
	maxRelays = 128
	maxVerify = 512
)

// youngProbes is how many times as fast a young node probes. It waits until it
// knows youngRoster members: at a start of all nodes the few that are known
// first would get everybody's probes.
const (
	youngProbes = 4
	youngRoster = 32
)

func (m *Members) stretched(d time.Duration) time.Duration {
	return d * time.Duration(1+m.penalty)
}

// penalize makes the node slower to blame others: it failed to hear anybody,
// or had to refute its own death.
func (m *Members) penalize() { m.penalty = min(m.penalty+1, m.cfg.MaxHealthPenalty) }

// suspicion is how long a suspect has to refute.
func (m *Members) suspicion() time.Duration {
	scale := max(1, math.Log10(float64(len(m.roster)+2)))
	d := time.Duration(m.cfg.SuspicionFactor * scale * float64(m.cfg.ProbeInterval))
	return m.stretched(d)
}

func (m *Members) tickProbes() {
	m.expireRelays()
	m.expireProbes()
	if m.clock < m.due.probe {
		return
	}
	interval := m.cfg.ProbeInterval
	if m.clock < m.young && len(m.roster) >= youngRoster {
		interval /= youngProbes
	}
	m.due.probe = max(m.due.probe+interval, m.clock)
	if target := m.nextTarget(); target != nil {
		m.startProbe(target)
	}
}

// nextTarget goes round the roster and shuffles it after each round.
func (m *Members) nextTarget() *member {
	if len(m.roster) == 0 {
		return nil
	}
	if m.next >= len(m.roster) {
		m.next = 0
		m.rng.Shuffle(len(m.roster), func(i, j int) {
			m.roster[i], m.roster[j] = m.roster[j], m.roster[i]
			m.roster[i].roster, m.roster[j].roster = int32(i), int32(j)
		})
	}
	target := m.roster[m.next]
	m.next++
	return target
}

// startProbe pings the member and tells it what is claimed about it, so that
// it can refute.
func (m *Members) startProbe(target *member, claims ...Change) {
	if len(m.probes) >= maxProbes || m.probing(target) != nil {
		return
	}
	m.seq++
	p := &probe{target: target, inc: target.Incarnation, seq: m.seq}
	p.indirect = m.clock + m.stretched(m.cfg.ProbeTimeout)
	p.deadline = p.indirect + m.stretched(m.cfg.IndirectTimeout)
	m.probes = append(m.probes, p)
	msg := Message{Ping: p.seq, Changes: claims}
	if target.State == Suspect || target.State == Dead {
		msg.Changes = append(msg.Changes, target.change())
	}
	m.piggyback(&msg)
	m.send(target.ID, target.PeerAddr, msg)
}

func (m *Members) probing(target *member) *probe {
	for _, p := range m.probes {
		if p.target == target {
			return p
		}
	}
	return nil
}

func (m *Members) expireProbes() {
	kept := m.probes[:0]
	for _, p := range m.probes {
		if p.target.State.Gone() && p.target.gone < 0 {
			continue
		}
		if p.asked == 0 && m.clock >= p.indirect {
			m.askPeers(p)
		}
		if m.clock >= p.deadline {
			m.probeFailed(p)
			continue
		}
		kept = append(kept, p)
	}
	clear(m.probes[len(kept):])
	m.probes = kept
}

func (m *Members) askPeers(p *probe) {
	if p.target.State.Gone() {
		return
	}
	req := &ProbeRequest{Seq: p.seq, Target: p.target.ID, Addr: p.target.PeerAddr}
	for _, peer := range m.pickPeers(m.cfg.IndirectProbes, p.target) {
		p.asked++
		m.send(peer.ID, peer.PeerAddr, Message{Probe: req})
	}
}

func (m *Members) probeFailed(p *probe) {
	if p.asked > 0 && !p.heard {
		m.penalize()
	}
	mem := p.target
	if mem.State != Alive && mem.State != Draining {
		return
	}
	if mem.Incarnation != p.inc {
		// It has spoken since: the probe began when it was held for dead, or
		// was lost in a cut that is over.
		return
	}
	m.counters.Suspected++
	old := mem.Record
	mem.State = Suspect
	m.moved(mem, old)
	m.spread(mem)
}

// tickSuspects declares dead who did not refute in time.
func (m *Members) tickSuspects() {
	kept := m.suspects[:0]
	for _, mem := range m.suspects {
		if mem.State != Suspect {
			continue
		}
		if m.clock < mem.until {
			kept = append(kept, mem)
			continue
		}
		m.kill(mem, false)
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
}

func (m *Members) kill(mem *member, superseded bool) {
	old := mem.Record
	mem.State = Dead
	mem.Ready = false
	mem.superseded = superseded
	m.moved(mem, old)
	m.spread(mem)
}

// takePing answers pings and does indirect probes.
func (m *Members) takePing(from wire.NodeID, msg *Message, reply *Message) {
	if msg.Ping != 0 {
		reply.Ack = msg.Ping
		m.piggyback(reply)
	}
	req := msg.Probe
	if req == nil {
		return
	}
	if req.Target.IsZero() || !validAddr(req.Addr) || len(m.relays) >= maxRelays {
		m.counters.Refused++
		return
	}
	m.seq++
	m.relays = append(m.relays, relay{
		seq: m.seq, origin: from, addr: m.addrOf(from), originNo: req.Seq,
		deadline: m.clock + m.cfg.ProbeTimeout,
	})
	ping := Message{Ping: m.seq}
	m.send(req.Target, req.Addr, ping)
}

func (m *Members) takeAck(from wire.NodeID, msg *Message) {
	if msg.Nack != 0 {
		for _, p := range m.probes {
			if p.seq == msg.Nack {
				p.heard = true
			}
		}
	}
	if msg.Ack == 0 {
		return
	}
	for i, p := range m.probes {
		if p.seq == msg.Ack {
			m.probes = append(m.probes[:i], m.probes[i+1:]...)
			m.penalty = max(m.penalty-1, 0)
			return
		}
	}
	for i, r := range m.relays {
		if r.seq == msg.Ack {
			m.relays = append(m.relays[:i], m.relays[i+1:]...)
			m.send(r.origin, r.addr, Message{Ack: r.originNo})
			return
		}
	}
}

func (m *Members) expireRelays() {
	kept := m.relays[:0]
	for _, r := range m.relays {
		if m.clock < r.deadline {
			kept = append(kept, r)
			continue
		}
		m.send(r.origin, r.addr, Message{Nack: r.originNo})
	}
	m.relays = kept
}

// doubt puts a member on the list of extra probes.
func (m *Members) doubt(mem *member, claim Change) {
	if mem.verifying || mem == m.self || len(m.verify) >= maxVerify {
		return
	}
	mem.verifying = true
	m.verify = append(m.verify, doubted{mem, claim, m.clock + m.within(verifyWithin)})
}

func (m *Members) tickVerify() {
	if len(m.verify) == 0 || m.clock < m.due.verify {
		return
	}
	m.due.verify = m.clock + time.Second/time.Duration(m.cfg.VerifyPerSecond)
	d := m.verify[0]
	if m.clock < d.at {
		return
	}
	m.verify = m.verify[1:]
	d.about.verifying = false
	if d.about.State.Gone() {
		return
	}
	if d.about.newer(d.claim.Incarnation, d.claim.State) {
		m.startProbe(d.about, d.claim)
		return
	}
	m.startProbe(d.about)
}

// Failed reports that the shell could not reach a member or lost its
// connection: the indirect probes need not wait for the timeout.
func (m *Members) Failed(now time.Time, id wire.NodeID) {
	m.advance(now)
	mem := m.table[id]
	if mem == nil || mem.State.Gone() {
		return
	}
	if p := m.probing(mem); p != nil {
		p.indirect = min(p.indirect, m.clock)
		return
	}
	m.doubt(mem, mem.change())
}

// heard notes a peer whose connection is open.
func (m *Members) heard(mem *member) {
	oldest := 0
	for i := range m.recent {
		if m.recent[i].peer == mem {
			m.recent[i].at = m.clock
			return
		}
		if m.recent[i].at < m.recent[oldest].at {
			oldest = i
		}
	}
	if len(m.recent) < m.cfg.MaxRecent {
		m.recent = append(m.recent, contact{mem, m.clock})
		return
	}
	m.recent[oldest] = contact{mem, m.clock}
}

// pickPeers draws up to n different peers, rather those heard from lately:
// their connections are open, and probing renews them at random.
func (m *Members) pickPeers(n int, except *member) []*member {
	picked := make([]*member, 0, n)
	take := func(mem *member) {
		if mem == except || mem.State.Gone() {
			return
		}
		for _, have := range picked {
			if have == mem {
				return
			}
		}
		picked = append(picked, mem)
	}
	for range 2 * n {
		if len(m.recent) == 0 || len(picked) == n {
			break
		}
		c := m.recent[m.rng.IntN(len(m.recent))]
		if m.clock-c.at <= m.cfg.RecentFor && c.peer.State != Suspect {
			take(c.peer)
		}
	}
	for range 2 * n {
		if len(m.roster) == 0 || len(picked) == n {
			break
		}
		take(m.roster[m.rng.IntN(len(m.roster))])
	}
	return picked
}

func (m *Members) recentIDs() []wire.NodeID {
	ids := make([]wire.NodeID, 0, len(m.recent))
	for _, c := range m.recent {
		if m.clock-c.at <= m.cfg.RecentFor {
			ids = append(ids, c.peer.ID)
		}
	}
	return ids
}
