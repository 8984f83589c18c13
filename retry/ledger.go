package retry

// Grant is a number of extra attempts passed to the callee with one attempt. Only the
// number is sent; the serial stays in the ledger, so that a reply can return only what its
// attempt was given, and only once.
type Grant struct {
	// Extra is the number that the callee may spend or pass on.
	Extra  uint32
	serial uint32
}

// Ledger holds the extra attempts of one running call, or of one request at the node where
// it entered. It is not safe for concurrent use.
type Ledger struct {
	available uint32
	granted   []Grant
	serial    uint32
	closed    bool
}

// LedgerState is the state of a Ledger.
type LedgerState struct {
	Available uint32 `json:"left"`
	Granted   uint32 `json:"granted"`
	Closed    bool   `json:"closed,omitempty"`
}

// NewLedger returns a ledger that holds the given number of extra attempts.
func NewLedger(extra uint32) *Ledger {
	return &Ledger{available: extra}
}

// Available returns the extra attempts that are neither spent nor granted.
func (l *Ledger) Available() uint32 { return l.available }

// Grant takes extra attempts for one attempt at a child call from the ledger. height is
// the length of the longest chain of calls below the callee; a callee that makes no calls
// gets none. fanout is the number of child calls that still share the ledger.
//
// If two or more are available, one stays for another attempt by this node: only this node
// can choose another callee.
func (l *Ledger) Grant(height, fanout int) Grant {
	if height <= 0 || l.available == 0 {
		return Grant{}
	}
	extra := grantSize(l.available, fanout)
	l.available -= extra
	l.serial++
	g := Grant{Extra: extra, serial: l.serial}
	l.granted = append(l.granted, g)
	return g
}

// Return takes back the extra attempts that the callee reports as unused.
//
// Each grant is settled once and for at most its own number, so that duplicated or
// forged replies can't create extra attempts. A callee that spends its grant and reports
// it as unused exceeds the bound by no more than that grant.
func (l *Ledger) Return(g Grant, unused uint32) {
	if !l.settle(g) || l.closed {
		return
	}
	l.available += min(unused, g.Extra)
}

// Forfeit settles a grant whose reply was lost, as if the callee had spent all of it.
func (l *Ledger) Forfeit(g Grant) { l.settle(g) }

// Spend takes one extra attempt for this node; it returns false if none is available.
func (l *Ledger) Spend() bool {
	if l.available == 0 {
		return false
	}
	l.available--
	return true
}

// Close ends the ledger when its call is answered or cancelled, and returns the unused
// extra attempts. Outstanding grants are forfeited, since this node's reply has already
// reported its unused attempts.
func (l *Ledger) Close() uint32 {
	available := l.available
	l.available = 0
	l.granted = nil
	l.closed = true
	return available
}

// Dump returns the state of the ledger.
func (l *Ledger) Dump() LedgerState {
	s := LedgerState{Available: l.available, Closed: l.closed}
	for _, g := range l.granted {
		s.Granted += g.Extra
	}
	return s
}

// settle removes g from the outstanding grants and reports whether it was there. Each
// grant holds at least one attempt, which bounds the length of the list.
func (l *Ledger) settle(g Grant) bool {
	for i, out := range l.granted {
		if out == g {
			last := len(l.granted) - 1
			l.granted[i] = l.granted[last]
			l.granted = l.granted[:last]
			return true
		}
	}
	return false
}

// grantSize returns the extra attempts for one of fanout child calls: all but one of
// those left, divided evenly and rounded up.
func grantSize(left uint32, fanout int) uint32 {
	if left == 1 {
		return 1
	}
	n := uint32(max(1, fanout))
	passed := left - 1
	// Rounding up by adding n-1 first could overflow.
	extra := passed / n
	if passed%n != 0 {
		extra++
	}
	return extra
}
