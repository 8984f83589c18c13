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
	// LongWait is for how long after the entry was written an earlier user may go on to use
	// the long half.
	LongWait time.Duration
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
func (m term) waitIsOver(now time.Time) bool { return m.entryWaits && !now.Before(m.longFrom) }

// NewEntries returns the entries that this node must write, given all entries of the register
// in the present era of the store. A partition that another node may still use in full gets
// none yet: that node may let go meanwhile.
func (t *LeaseTerm) NewEntries(now time.Time, self Registrant, era uint64, register map[int]RegisterEntry) map[int]RegisterEntry {
	entries := t.releases(now, self, register)
	for p, held := range t.terms {
		e := RegisterEntry{Registrant: self, Era: era}
		switch {
		case !held.registered:
			held.see(now, era, register[p])
			t.terms[p] = held
			short, long := t.usableByOthers(now, held, self)
			if short == 0 {
				e.LongWait = long
				entries[p] = e
			}
		case held.waitIsOver(now):
			entries[p] = e
		}
	}
	return entries
}

// releases returns the entries which say that this node has stopped using the partitions that
// it has lost.
func (t *LeaseTerm) releases(now time.Time, self Registrant, register map[int]RegisterEntry) map[int]RegisterEntry {
	entries := make(map[int]RegisterEntry)
	for p, former := range t.lost {
		e, known := register[p]
		if !known || e.Process != self.Process || e.Released {
			continue
		}
		e.Released = true
		if former.registered || former.resumed {
			e.LongWait = former.remaining(now)
		}
		entries[p] = e
	}
	return entries
}

// lastEntry is the last entry of a partition in the register, zero if there is none, and since
// when a node that may register has seen it there.
type lastEntry struct {
	RegisterEntry
	present uint64 // the era of the store
	since   time.Time
}

// see records the last entry of the partition.
func (m *term) see(now time.Time, era uint64, e RegisterEntry) {
	if m.last.since.IsZero() || m.last.present != era || m.last.RegisterEntry != e {
		m.last = lastEntry{RegisterEntry: e, present: era, since: now}
	}
}

// usableByOthers returns for how long other nodes may use the two halves of a partition that
// this node is to register.
func (t *LeaseTerm) usableByOthers(now time.Time, held term, self Registrant) (short, long time.Duration) {
	last := held.last
	switch {
	case last.present == 0 && last.RegisterEntry == RegisterEntry{}:
		return 0, 0 // the store has never lost an entry
	case last.Era != last.present:
		return last.remaining(now, t.shortTTL), last.remaining(now, t.longTTL)
	case held.resumed && last.Process == self.Process:
		return 0, held.remaining(now)
	case last.Released, last.Member == self.Member:
		return 0, last.remaining(now, min(last.LongWait, t.longTTL))
	default:
		return last.remaining(now, t.shortTTL), last.remaining(now, t.longTTL)
	}
}

// remaining returns what is left of a wait that began when the entry was first seen.
func (e lastEntry) remaining(now time.Time, wait time.Duration) time.Duration {
	return max(0, e.since.Add(wait).Sub(now))
}

// remaining returns for how long after now an earlier user may use the long half.
func (m term) remaining(now time.Time) time.Duration { return max(0, m.longFrom.Sub(now)) }

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
			held.entryWaits = false
		default:
			held = term{registered: true, entryWaits: e.LongWait > 0, start: at, longFrom: at.Add(e.LongWait)}
		}
		t.terms[p] = held
	}
}
