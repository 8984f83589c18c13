package poison

import (
	"container/list"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// entry is what is known of one fingerprint.
type entry struct {
	fp         uint64
	state      State
	generation uint8
	until      time.Time
	crashed    []wire.NodeID
	origin     wire.NodeID
	place      *list.Element
}

// yields reports whether a claim of the given state and generation overrides
// the entry. A conviction holds against everything until it expires: it rests
// on a crash with nothing else in flight.
func (e *entry) yields(state State, generation uint8) bool {
	if e.state == Convicted || state == Convicted {
		return e.state != Convicted
	}
	if generation != e.generation {
		return generation > e.generation
	}
	return state > e.state
}

// addCrashed adds nodes up to the bound and reports whether any was new.
func (e *entry) addCrashed(nodes ...wire.NodeID) bool {
	added := false
	for _, id := range nodes {
		if len(e.crashed) >= maxCrashed || slices.Contains(e.crashed, id) {
			continue
		}
		// A new slice: notices already handed out share the old one.
		e.crashed = append(slices.Clip(e.crashed), id)
		added = true
	}
	return added
}

// table holds the entries within a bound.
type table struct {
	entries map[uint64]*entry
	// order has the entry that was changed or repeated longest ago first.
	order     *list.List
	convicted int
	swept     time.Time
}

// sweepEvery keeps a full table from being searched for expired entries at
// each insertion of a flood.
const sweepEvery = time.Second

func newTable() table {
	return table{entries: make(map[uint64]*entry), order: list.New()}
}

// get returns the entry unless it has expired.
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
	e.place = t.order.PushBack(e)
	t.entries[fp] = e
	return e
}

func (t *table) set(e *entry, state State, generation uint8, until time.Time) {
	if e.state == Convicted {
		t.convicted--
	}
	if state == Convicted {
		t.convicted++
	}
	e.state, e.generation, e.until = state, generation, until
	t.order.MoveToBack(e.place)
}

func (t *table) remove(e *entry) {
	if e.state == Convicted {
		t.convicted--
	}
	t.order.Remove(e.place)
	delete(t.entries, e.fp)
}

// sweep drops expired entries.
func (t *table) sweep(now time.Time) {
	if now.Sub(t.swept) < sweepEvery {
		return
	}
	t.swept = now
	for el := t.order.Front(); el != nil; {
		e := el.Value.(*entry)
		el = el.Next()
		if !now.Before(e.until) {
			t.remove(e)
		}
	}
}

// evict drops the oldest entry that is not convicted and reports whether there
// was one.
func (t *table) evict() bool {
	for el := t.order.Front(); el != nil; el = el.Next() {
		if e := el.Value.(*entry); e.state != Convicted {
			t.remove(e)
			return true
		}
	}
	return false
}
