package membership

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// addressCheck dials the address that this node publishes, to find out whether
// this process answers there. Without the check, two nodes with the same
// address, after a wrong setting or a restart, would mark each other failed
// forever.
type addressCheck struct {
	pending bool
	// nextAt is when to dial next, and wait the delay after that.
	nextAt time.Duration
	wait   time.Duration
	// failures counts the dials that reached nobody.
	failures int
	// claimed is the highest incarnation at which a peer reported this node as
	// superseded.
	claimed uint64
	// taken says that another process answers at the address.
	taken bool
}

const (
	minAddressWait = 5 * time.Second
	maxAddressWait = 5 * time.Minute
	// maxAddressFailures is the number of failed dials after which a node
	// refutes without the check: on some networks a node cannot dial itself.
	maxAddressFailures = 3
)

// start schedules the check, unless one is pending.
func (a *addressCheck) start(m *Members) {
	if a.pending {
		return
	}
	a.pending = true
	a.nextAt = m.clock
	a.wait = minAddressWait
	a.failures = 0
}

// onSuperseded notes a claim that this node is superseded and starts the
// check.
func (a *addressCheck) onSuperseded(m *Members, claimed uint64) {
	a.claimed = max(a.claimed, claimed)
	a.start(m)
}

// tickAddress dials this node's own address while the check is pending.
func (m *Members) tickAddress() {
	a := &m.address
	if !a.pending || m.clock < a.nextAt {
		return
	}
	a.nextAt = m.clock + m.jitter(a.wait)
	a.wait = min(2*a.wait, maxAddressWait)
	m.seq++
	m.send(wire.NodeID{}, m.self.PeerAddr, Message{Ping: m.seq})
}

// PeerAnswered reports which process answered at an address. The shell calls it
// after each handshake on a connection that this node opened.
func (m *Members) PeerAnswered(now time.Time, addr string, id wire.NodeID) {
	m.advance(now)
	m.markSuperseded(addr, id)
	if addr == m.self.PeerAddr {
		m.ownAddressAnswered(id)
		return
	}
	if m.table[id] == nil && id != m.self.ID {
		m.send(id, addr, Message{RecordRequests: []wire.NodeID{id}})
	}
}

// markSuperseded marks every other member with this address as failed.
func (m *Members) markSuperseded(addr string, id wire.NodeID) {
	for i := len(m.roster) - 1; i >= 0; i-- {
		if mem := m.roster[i]; mem.PeerAddr == addr && mem.ID != id {
			m.counters.Superseded++
			m.markFailed(mem, true)
		}
	}
}

// ownAddressAnswered ends the check if this process answered at its own
// address.
func (m *Members) ownAddressAnswered(id wire.NodeID) {
	a := &m.address
	if id != m.self.ID {
		a.taken = true
		return
	}
	a.taken = false
	a.pending = false
	m.refuteSuperseded()
}

// refuteSuperseded refutes the claim that made the check necessary, if any.
func (m *Members) refuteSuperseded() {
	if claimed := m.address.claimed; claimed >= m.self.Incarnation && m.self.State != Left {
		m.refute(claimed, false)
	}
	m.address.claimed = 0
}

// AddrUnreachable reports that no process could be reached at an address.
func (m *Members) AddrUnreachable(now time.Time, addr string) {
	m.advance(now)
	a := &m.address
	if addr != m.self.PeerAddr || !a.pending {
		return
	}
	a.failures++
	if a.failures < maxAddressFailures {
		return
	}
	a.pending = false
	m.refuteSuperseded()
}
