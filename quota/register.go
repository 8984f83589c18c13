package quota

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// RegisterEntry names the last node that used a partition. The store keeps the entries. A
// node writes them only if none has changed since it read them, and uses a partition only
// after it has written its own entry.
type RegisterEntry struct {
	Registrant
	// Era is the era of the store in which the entry was written. After a restore, entries
	// of later users may be missing.
	Era uint64
	// Released says that the node has stopped using the partition.
	Released bool
	// ShortWait and LongWait are for how long after the entry was written an earlier user may
	// go on to use each of the two halves.
	ShortWait, LongWait time.Duration
}

// Registrant identifies a node in the register.
type Registrant struct {
	// Member is the name by which the node joins the group of owners. An earlier process with
	// the same name has ended.
	Member  string
	Process wire.NodeID
}

// RegistrationDue reports whether the register must be read, because it may need new entries.
func (t *LeaseTerm) RegistrationDue(now time.Time) bool {
	if len(t.lost) > 0 {
		return true
	}
	for _, held := range t.terms {
		if !held.registered || held.waitIsOver(now) {
			return true
		}
	}
	return false
}

// waitIsOver reports whether the entry of a term names a wait that has ended.
func (m term) waitIsOver(now time.Time) bool { return m.waits && !now.Before(m.longFrom) }

// NewEntries returns the entries that this node must write, given all entries of the register
// in the present era of the store.
func (t *LeaseTerm) NewEntries(now time.Time, self Registrant, era uint64, register map[int]RegisterEntry) map[int]RegisterEntry {
	entries := make(map[int]RegisterEntry)
	for p, held := range t.terms {
		e := RegisterEntry{Registrant: self, Era: era}
		if !held.registered {
			last, known := register[p]
			e.ShortWait, e.LongWait = t.waits(last, known, self, era)
			if held.resumed && last.Process == self.Process && last.Era == era {
				e.ShortWait, e.LongWait = held.remaining(now)
			}
		} else if !held.waitIsOver(now) {
			continue
		}
		entries[p] = e
	}
	for p, e := range register {
		former, lost := t.lost[p]
		if !lost || e.Process != self.Process || e.Released {
			continue
		}
		e.Released = true
		if former.registered || former.resumed {
			e.ShortWait, e.LongWait = former.remaining(now)
		}
		entries[p] = e
	}
	return entries
}

// waits returns for how long another node may use the two halves of a partition, given its last
// entry.
func (t *LeaseTerm) waits(last RegisterEntry, known bool, self Registrant, era uint64) (short, long time.Duration) {
	switch {
	case !known && era == 0: // nothing was ever lost
		return 0, 0
	case known && last.Era == era && (last.Released || last.Member == self.Member):
		return min(last.ShortWait, t.shortTTL), min(last.LongWait, t.longTTL)
	default:
		return t.shortTTL, t.longTTL
	}
}

// remaining returns for how long after now an earlier user may use each half.
func (m term) remaining(now time.Time) (short, long time.Duration) {
	return max(0, m.shortFrom.Sub(now)), max(0, m.longFrom.Sub(now))
}

// EntriesWritten records that the store has written the entries, which was known at the given
// time. The lease has not changed since NewEntries returned them.
func (t *LeaseTerm) EntriesWritten(at time.Time, entries map[int]RegisterEntry) {
	clear(t.lost)
	for p, e := range entries {
		held, holds := t.terms[p]
		switch {
		case !holds:
			continue
		case held.registered:
			held.waits = false
		default:
			held = term{registered: true, waits: e.LongWait > 0, start: at, shortFrom: at.Add(e.ShortWait), longFrom: at.Add(e.LongWait)}
		}
		t.terms[p] = held
	}
}
