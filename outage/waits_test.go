package outage

import (
	"math/rand/v2"
	"testing"

	"github.com/matryer/is"
)

func isOver(w *Wait) bool {
	select {
	case <-w.Over():
		return true
	default:
		return false
	}
}

// Guards against runs that wait for a lost service in all slots, and against less important
// runs that keep the place of more important ones.
func TestMoreImportantRunsWait(t *testing.T) {
	is := is.New(t)
	w := NewWaits(DefaultWaitsConfig())
	first, second := w.Begin("a", 1, 10, 8), w.Begin("a", 2, 20, 8)
	is.True(w.Begin("a", 3, 10, 8) == nil) // two of eight slots are taken
	is.True(w.Begin("a", 4, 30, 8) != nil)
	is.True(isOver(first))
	is.True(!isOver(second))
	is.True(w.Begin("a", 5, 5, 0) != nil) // the node starts no further runs
	is.Equal(w.GivenUp(), uint64(2))
	w.End(first)
	w.End(second)
	is.Equal(w.Len(), 2)
}

// Guards against a run whose two calls count as two slots.
func TestCallsOfARunHoldOneSlot(t *testing.T) {
	is := is.New(t)
	w := NewWaits(DefaultWaitsConfig())
	first, second := w.Begin("a", 1, 10, 4), w.Begin("a", 1, 10, 4)
	is.True(first != nil && second != nil)
	is.True(w.Begin("b", 2, 10, 4) != nil)
	is.True(w.Begin("c", 3, 10, 4) == nil) // half of the slots wait
	is.True(w.Begin("a", 4, 11, 4) != nil)
	is.True(isOver(first) && isOver(second))
}

// Property: the runs that wait never hold more slots than the shares allow, and no run gives
// up for one that is not more important.
func TestPropWaitsStayWithinTheirShares(t *testing.T) {
	is := is.New(t)
	const slots = 20
	cfg := DefaultWaitsConfig()
	for seed := range uint64(300) {
		rng := rand.New(rand.NewPCG(seed, 0))
		w := NewWaits(cfg)
		var waiting []*Wait
		for range 200 {
			if len(waiting) > 0 && rng.IntN(3) == 0 {
				i := rng.IntN(len(waiting))
				w.End(waiting[i])
				waiting = append(waiting[:i], waiting[i+1:]...)
				continue
			}
			priority := uint16(rng.IntN(100))
			service := string(rune('a' + rng.IntN(4)))
			wait := w.Begin(service, uint64(rng.IntN(60)), priority, slots)
			var kept []*Wait
			for _, other := range waiting {
				if !isOver(other) {
					kept = append(kept, other)
					continue
				}
				is.True(other.priority < priority)
			}
			waiting = kept
			if wait != nil {
				waiting = append(waiting, wait)
			}
			all, ofService := make(map[uint64]bool), make(map[string]map[uint64]bool)
			for _, other := range waiting {
				all[other.run] = true
				if ofService[other.service] == nil {
					ofService[other.service] = make(map[uint64]bool)
				}
				ofService[other.service][other.run] = true
			}
			is.True(len(all) <= int(cfg.NodeShare*slots))
			for _, runs := range ofService {
				is.True(len(runs) <= int(cfg.ServiceShare*slots))
			}
		}
	}
}
