package membership

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// probe is a direct probe in progress.
type probe struct {
	target *member
	// incarnation is the target's when the probe started.
	incarnation uint64
	seq         uint64
	// indirectAt is when the indirect probes start, and deadline when the
	// probe fails.
	indirectAt time.Duration
	deadline   time.Duration
	// relaysAsked is the number of peers asked for an indirect probe. gotNack
	// says that one of them reported that it got no ack either.
	relaysAsked int
	gotNack     bool
}

// relay is a ping sent for another node's indirect probe.
type relay struct {
	seq       uint64
	origin    wire.NodeID
	addr      string
	originSeq uint64
	deadline  time.Duration
}

// verification is an extra probe of a member that a peer marked failed or that
// the shell could not reach.
type verification struct {
	subject *member
	claim   Change
	at      time.Duration
}

// maxVerifyDelay spreads the extra probes. When a process ends, all its peers
// lose their connections at once; probes at once would all reach its
// successor. Most peers receive the Left state before they probe.
const maxVerifyDelay = 2 * time.Second

// recentPeer is a peer that sent a message recently, and when.
type recentPeer struct {
	peer *member
	// at is the earliest time of the probe.
	at time.Duration
}

// Bounds on the state that peers can make a node hold.
const (
	maxProbes        = 32
	maxRelays        = 128
	maxVerifications = 512
)

// A young node probes youngProbeFactor times as fast, once it knows
// minYoungMembers members. With fewer, when all nodes start at once, the first
// known members would be probed by every node.
const (
	youngProbeFactor = 4
	minYoungMembers  = 32
)

// scaleTimeout stretches a timeout by the health penalty.
func (m *Members) scaleTimeout(d time.Duration) time.Duration {
	return d * time.Duration(1+m.penalty)
}

// penalize raises the health penalty, as in Lifeguard: a node that reached
// nobody or had to refute a claim may itself be at fault, and waits longer
// before it suspects others.
func (m *Members) penalize() { m.penalty = min(m.penalty+1, m.cfg.MaxHealthPenalty) }

// suspicionTimeout is how long a suspect has to refute.
func (m *Members) suspicionTimeout() time.Duration {
	scale := max(1, math.Log10(float64(len(m.roster)+2)))
	d := time.Duration(m.cfg.SuspicionFactor * scale * float64(m.cfg.ProbeInterval))
	return m.scaleTimeout(d)
}

// tickProbes ends overdue probes and starts the next one when it is due.
func (m *Members) tickProbes() {
	m.expireRelays()
	m.expireProbes()
	if m.clock < m.due.probe {
		return
	}
	interval := m.cfg.ProbeInterval
	if m.clock < m.youngUntil && len(m.roster) >= minYoungMembers {
		interval /= youngProbeFactor
	}
	m.due.probe = max(m.due.probe+interval, m.clock)
	if target := m.nextTarget(); target != nil {
		m.startProbe(target)
	}
}

// nextTarget returns the next member in round-robin order. It shuffles the
// roster after each round.
func (m *Members) nextTarget() *member {
	if len(m.roster) == 0 {
		return nil
	}
	if m.nextProbe >= len(m.roster) {
		m.nextProbe = 0
		m.rng.Shuffle(len(m.roster), func(i, j int) {
			m.roster[i], m.roster[j] = m.roster[j], m.roster[i]
			m.roster[i].roster, m.roster[j].roster = int32(i), int32(j)
		})
	}
	target := m.roster[m.nextProbe]
	m.nextProbe++
	return target
}

// startProbe pings the target. The ping carries the claims about the target,
// so that it can refute them.
func (m *Members) startProbe(target *member, claims ...Change) {
	if len(m.probes) >= maxProbes || m.probeOf(target) != nil {
		return
	}
	m.seq++
	p := &probe{target: target, incarnation: target.Incarnation, seq: m.seq}
	p.indirectAt = m.clock + m.scaleTimeout(m.cfg.ProbeTimeout)
	p.deadline = p.indirectAt + m.scaleTimeout(m.cfg.IndirectTimeout)
	m.probes = append(m.probes, p)
	msg := Message{Ping: p.seq, Changes: claims}
	if target.State == Suspect || target.State == Dead {
		msg.Changes = append(msg.Changes, target.change())
	}
	m.piggyback(&msg)
	m.send(target.ID, target.PeerAddr, msg)
}

func (m *Members) probeOf(target *member) *probe {
	for _, p := range m.probes {
		if p.target == target {
			return p
		}
	}
	return nil
}

// expireProbes starts indirect probes for late acks and ends probes past their
// deadline.
func (m *Members) expireProbes() {
	kept := m.probes[:0]
	for _, p := range m.probes {
		if p.target.State.Gone() && p.target.gone < 0 {
			continue
		}
		if p.relaysAsked == 0 && m.clock >= p.indirectAt {
			m.sendIndirectProbes(p)
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

func (m *Members) sendIndirectProbes(p *probe) {
	if p.target.State.Gone() {
		return
	}
	req := &ProbeRequest{Seq: p.seq, Target: p.target.ID, Addr: p.target.PeerAddr}
	for _, peer := range m.pickPeers(m.cfg.IndirectProbes, p.target) {
		p.relaysAsked++
		m.send(peer.ID, peer.PeerAddr, Message{IndirectProbe: req})
	}
}

// probeFailed suspects the target. If none of the relaying peers answered
// either, this node may itself be at fault.
func (m *Members) probeFailed(p *probe) {
	if p.relaysAsked > 0 && !p.gotNack {
		m.penalize()
	}
	mem := p.target
	if mem.State != Alive && mem.State != Draining {
		return
	}
	if mem.Incarnation != p.incarnation {
		// The member published a new incarnation since: the probe started
		// while it was marked failed, or was lost in a partition that ended.
		return
	}
	m.counters.Suspected++
	old := mem.Record
	mem.State = Suspect
	m.updateLists(mem, old)
	m.enqueueRumor(mem)
}

// tickSuspects marks failed the suspects that did not refute in time.
func (m *Members) tickSuspects() {
	kept := m.suspects[:0]
	for _, mem := range m.suspects {
		if mem.State != Suspect {
			continue
		}
		if m.clock < mem.stateTime {
			kept = append(kept, mem)
			continue
		}
		m.markFailed(mem, false)
	}
	clear(m.suspects[len(kept):])
	m.suspects = kept
}

// markFailed sets the member's state to Dead and gossips it.
func (m *Members) markFailed(mem *member, superseded bool) {
	old := mem.Record
	mem.State = Dead
	mem.Ready = false
	mem.superseded = superseded
	m.updateLists(mem, old)
	m.enqueueRumor(mem)
}

// handlePing answers a ping and relays an indirect probe.
func (m *Members) handlePing(from wire.NodeID, msg *Message, reply *Message) {
	if msg.Ping != 0 {
		reply.Ack = msg.Ping
		m.piggyback(reply)
	}
	req := msg.IndirectProbe
	if req == nil {
		return
	}
	if req.Target.IsZero() || !validAddr(req.Addr) || len(m.relays) >= maxRelays {
		m.counters.Rejected++
		return
	}
	m.seq++
	m.relays = append(m.relays, relay{
		seq: m.seq, origin: from, addr: m.addrOf(from), originSeq: req.Seq,
		deadline: m.clock + m.cfg.ProbeTimeout,
	})
	ping := Message{Ping: m.seq}
	m.send(req.Target, req.Addr, ping)
}

// handleAck ends the probe or relay that the ack answers, and notes a nack.
func (m *Members) handleAck(from wire.NodeID, msg *Message) {
	if msg.Nack != 0 {
		for _, p := range m.probes {
			if p.seq == msg.Nack {
				p.gotNack = true
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
			m.send(r.origin, r.addr, Message{Ack: r.originSeq})
			return
		}
	}
}

// expireRelays sends a nack for each relayed ping without an ack in time.
func (m *Members) expireRelays() {
	kept := m.relays[:0]
	for _, r := range m.relays {
		if m.clock < r.deadline {
			kept = append(kept, r)
			continue
		}
		m.send(r.origin, r.addr, Message{Nack: r.originSeq})
	}
	m.relays = kept
}

// scheduleVerification queues an extra probe of a member, unless one is
// queued.
func (m *Members) scheduleVerification(mem *member, claim Change) {
	if mem.verifying || mem == m.self || len(m.verify) >= maxVerifications {
		return
	}
	mem.verifying = true
	m.verify = append(m.verify, verification{mem, claim, m.clock + m.uniform(maxVerifyDelay)})
}

// tickVerify starts the next extra probe, at most VerifyPerSecond.
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
	d.subject.verifying = false
	if d.subject.State.Gone() {
		return
	}
	if d.subject.newer(d.claim.Incarnation, d.claim.State) {
		m.startProbe(d.subject, d.claim)
		return
	}
	m.startProbe(d.subject)
}

// PeerUnreachable reports that the shell could not reach a member or lost its
// connection. A direct probe in progress continues with indirect probes at
// once; otherwise an extra probe is scheduled.
func (m *Members) PeerUnreachable(now time.Time, id wire.NodeID) {
	m.advance(now)
	mem := m.table[id]
	if mem == nil || mem.State.Gone() {
		return
	}
	if p := m.probeOf(mem); p != nil {
		p.indirectAt = min(p.indirectAt, m.clock)
		return
	}
	m.scheduleVerification(mem, mem.change())
}

// markRecent notes a peer whose connection is open. If the list is full it
// replaces the oldest entry.
func (m *Members) markRecent(mem *member) {
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
		m.recent = append(m.recent, recentPeer{mem, m.clock})
		return
	}
	m.recent[oldest] = recentPeer{mem, m.clock}
}

// pickPeers draws up to n different members at random, preferring recent
// peers, whose connections are open.
func (m *Members) pickPeers(n int, except *member) []*member {
	picked := make([]*member, 0, n)
	add := func(mem *member) {
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
		if m.clock-c.at <= m.cfg.RecentPeerTTL && c.peer.State != Suspect {
			add(c.peer)
		}
	}
	for range 2 * n {
		if len(m.roster) == 0 || len(picked) == n {
			break
		}
		add(m.roster[m.rng.IntN(len(m.roster))])
	}
	return picked
}

// recentIDs returns the peers that sent a message within RecentPeerTTL.
func (m *Members) recentIDs() []wire.NodeID {
	ids := make([]wire.NodeID, 0, len(m.recent))
	for _, c := range m.recent {
		if m.clock-c.at <= m.cfg.RecentPeerTTL {
			ids = append(ids, c.peer.ID)
		}
	}
	return ids
}
