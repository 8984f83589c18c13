package poison

import (
	"container/list"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// entry is the state of one fingerprint.
type entry struct {
	fp         uint64
	state      State
	generation uint8
	until      time.Time     // end of the state
	crashed    []wire.NodeID // nodes whose backend server crashed with it in flight
	origin     wire.NodeID   // node that observed the state
	element    *list.Element // in table.order
}

// overriddenBy reports whether a claim with the given state and generation overrides the
// entry. Nothing overrides a quarantine before it expires, because it follows from
// a crash with nothing else in flight.
func (e *entry) overriddenBy(state State, generation uint8) bool {
	if e.state == Quarantined || state == Quarantined {
		return e.state != Quarantined
	}
	if generation != e.generation {
		return generation > e.generation
	}
	return state > e.state
}

// addCrashed adds nodes, up to maxCrashed, and reports whether any was new.
func (e *entry) addCrashed(nodes ...wire.NodeID) bool {
	added := false
	for _, id := range nodes {
		if len(e.crashed) >= maxCrashed || slices.Contains(e.crashed, id) {
			continue
		}
		// Copy on append: notices already returned share the old slice.
		e.crashed = append(slices.Clip(e.crashed), id)
		added = true
	}
	return added
}

// table holds the entries by fingerprint. Its users enforce the limit on the number
// of entries.
type table struct {
	entries map[uint64]*entry
	// order lists the entries, least recently changed or gossiped first.
	order       *list.List
	quarantined int       // number of quarantined entries
	lastSweep   time.Time // time of the last sweep
}

// sweepInterval is the minimum interval between sweeps, so that a flood of insertions
// does not scan a full table each time.
const sweepInterval = time.Second

func newTable() table {
	return table{entries: make(map[uint64]*entry), order: list.New()}
}

// get returns the entry of a fingerprint, or nil. It removes an expired entry.
func (t *table) get(now time.Time, fp uint64) *entry {
	if len(t.entries) == 0 {
		return nil
	}
	e := t.entries[fp]
	if e == nil {
		return nil
	}
	if !now.Before(e.until) {
		t.remove(e)
		return nil
	}
	return e
}

func (t *table) add(fp uint64) *entry {
	e := &entry{fp: fp}
	e.element = t.order.PushBack(e)
	t.entries[fp] = e
	return e
}

func (t *table) set(e *entry, state State, generation uint8, until time.Time) {
	if e.state == Quarantined {
		t.quarantined--
	}
	if state == Quarantined {
		t.quarantined++
	}
	e.state, e.generation, e.until = state, generation, until
	t.order.MoveToBack(e.element)
}

func (t *table) remove(e *entry) {
	if e.state == Quarantined {
		t.quarantined--
	}
	t.order.Remove(e.element)
	delete(t.entries, e.fp)
}

// sweep removes expired entries, at most once per sweepInterval.
func (t *table) sweep(now time.Time) {
	if now.Sub(t.lastSweep) < sweepInterval {
		return
	}
	t.lastSweep = now
	for el := t.order.Front(); el != nil; {
		e := el.Value.(*entry)
		el = el.Next()
		if !now.Before(e.until) {
			t.remove(e)
		}
	}
}

// evict removes the oldest entry whose state may be evicted and reports whether there
// was one.
func (t *table) evict(may func(State) bool) bool {
	for el := t.order.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*entry); may(e.state) {
			t.remove(e)
			return true
		}
	}
	return false
}
