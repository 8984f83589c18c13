package retry

// Grant is a number of extra attempts handed to the callee of one attempt. The
// number alone travels in the message; the rest stays with the ledger, so that
// a reply can only return what this attempt was given, and only once.
type Grant struct {
	// Extra is what the callee may spend or hand on.
	Extra  uint32
	serial uint32
}

// Ledger holds the extra attempts of one running call, or of one request at
// the node where it entered. It is not safe for concurrent use.
type Ledger struct {
	left    uint32
	granted []Grant
	serial  uint32
	closed  bool
}

// LedgerState is the state of a Ledger for the dump.
type LedgerState struct {
	Left    uint32 `json:"left"`
	Granted uint32 `json:"granted"`
	Closed  bool   `json:"closed,omitempty"`
}

// New returns the ledger of a call that was given extra attempts.
func New(extra uint32) *Ledger {
	return &Ledger{left: extra}
}

// Left returns the extra attempts that are neither spent nor handed on.
func (l *Ledger) Left() uint32 { return l.left }

// Grant takes the share of one attempt at a child call out of the ledger.
// Height is the longest chain of calls below the callee; a callee that makes
// no calls gets nothing, since it has no use for it. Fanout is the number of
// child calls that may still share what is left.
//
// One is kept back for another attempt at this node when two or more are left:
// a retry close to the failure repeats the least work, but only this node can
// replace the callee itself.
func (l *Ledger) Grant(height, fanout int) Grant {
	if height <= 0 || l.left == 0 {
		return Grant{}
	}
	extra := share(l.left, fanout)
	l.left -= extra
	l.serial++
	g := Grant{Extra: extra, serial: l.serial}
	l.granted = append(l.granted, g)
	return g
}

// Return takes back what the callee reports as unused.
//
// A reply may arrive twice, or claim more than was granted. Were it believed,
// each copy would mint attempts and the bound over the chain would be gone.
// A grant is settled once and for no more than it held, so the sum of all
// ledgers never grows. Only a callee that spends its grant and claims that it
// did not goes beyond the bound, by its grant.
func (l *Ledger) Return(g Grant, unused uint32) {
	if !l.settle(g) || l.closed {
		return
	}
	l.left += min(unused, g.Extra)
}

// Forfeit ends a grant whose reply was lost: the callee may have spent it.
func (l *Ledger) Forfeit(g Grant) { l.settle(g) }

// Spend takes one extra attempt at this node.
func (l *Ledger) Spend() bool {
	if l.left == 0 {
		return false
	}
	l.left--
	return true
}

// Close ends the ledger, when its call is answered or cancelled, and returns
// what is left. Grants still out are forfeited: what comes back later is not
// taken, since this node's reply has already said what was unused.
func (l *Ledger) Close() uint32 {
	left := l.left
	l.left = 0
	l.granted = nil
	l.closed = true
	return left
}

// Dump returns the state for the dump.
func (l *Ledger) Dump() LedgerState {
	s := LedgerState{Left: l.left, Closed: l.closed}
	for _, g := range l.granted {
		s.Granted += g.Extra
	}
	return s
}

// settle removes g from the grants that are out. Each of those holds at least
// one attempt, so there are never more of them than the ledger was given.
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

func share(left uint32, fanout int) uint32 {
	if left == 1 {
		return 1
	}
	n := uint32(max(1, fanout))
	passed := left - 1
	// Rounded up without the sum that could overflow.
	extra := passed / n
	if passed%n != 0 {
		extra++
	}
	return extra
}
