package membership

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// addressCheck finds out whether this process is the one that answers at the
// address that it names, by dialling it. Two nodes with one address, by a
// wrong setting or a restart, would else declare each other dead for ever.
type addressCheck struct {
	pending bool
	at      time.Duration
	wait    time.Duration
	failed  int
	// heard is the incarnation at which this node was superseded.
	heard uint64
	// taken says that another process answers at the address.
	taken bool
}

const (
	minAddressWait = 5 * time.Second
	maxAddressWait = 5 * time.Minute
	// maxAddressFailures: on a network where a node cannot dial itself, it
	// refutes without the check after this many attempts.
	maxAddressFailures = 3
)

func (a *addressCheck) dispute(m *Members) {
	if a.pending {
		return
	}
	a.pending = true
	a.at = m.clock
	a.wait = minAddressWait
	a.failed = 0
}

func (a *addressCheck) superseded(m *Members, heard uint64) {
	a.heard = max(a.heard, heard)
	a.dispute(m)
}

func (m *Members) tickAddress() {
	a := &m.address
	if !a.pending || m.clock < a.at {
		return
	}
	a.at = m.clock + m.jitter(a.wait)
	a.wait = min(2*a.wait, maxAddressWait)
	m.seq++
	m.send(wire.NodeID{}, m.self.PeerAddr, Message{Ping: m.seq})
}

// Answered reports which process answered at an address, after each handshake
// on a connection that this node opened.
func (m *Members) Answered(now time.Time, addr string, id wire.NodeID) {
	m.advance(now)
	m.supersede(addr, id)
	if addr == m.self.PeerAddr {
		m.answeredOwn(id)
		return
	}
	if m.table[id] == nil && id != m.self.ID {
		m.send(id, addr, Message{Want: []wire.NodeID{id}})
	}
}

// supersede declares dead whoever else claims the address.
func (m *Members) supersede(addr string, id wire.NodeID) {
	for i := len(m.roster) - 1; i >= 0; i-- {
		if mem := m.roster[i]; mem.PeerAddr == addr && mem.ID != id {
			m.counters.Superseded++
			m.kill(mem, true)
		}
	}
}

func (m *Members) answeredOwn(id wire.NodeID) {
	a := &m.address
	if id != m.self.ID {
		a.taken = true
		return
	}
	a.taken = false
	a.pending = false
	m.refuteSuperseded()
}

func (m *Members) refuteSuperseded() {
	if heard := m.address.heard; heard >= m.self.Incarnation && m.self.State != Left {
		m.refute(heard, false)
	}
	m.address.heard = 0
}

// FailedAddr reports that nobody could be reached at an address.
func (m *Members) FailedAddr(now time.Time, addr string) {
	m.advance(now)
	a := &m.address
	if addr != m.self.PeerAddr || !a.pending {
		return
	}
	a.failed++
	if a.failed < maxAddressFailures {
		return
	}
	a.pending = false
	m.refuteSuperseded()
}
