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

// begin begins a wait in a long loss.
func begin(w *Waits, service string, run uint64, priority uint16, slots int) *Wait {
	return w.Begin(Waiter{Service: service, Run: run, Priority: priority, Slots: slots, Long: true})
}

// Guards against runs that wait for a lost service in all slots, and against less important
// runs that keep the place of more important ones.
func TestMoreImportantRunsWait(t *testing.T) {
	is := is.New(t)
	w := NewWaits(DefaultWaitsConfig())
	first, second := begin(w, "a", 1, 10, 8), begin(w, "a", 2, 20, 8)
	is.True(begin(w, "a", 3, 10, 8) == nil) // two of eight slots are taken
	is.True(!w.HasRoom(Waiter{Service: "a", Priority: 10, Slots: 8, Long: true}))
	is.True(w.HasRoom(Waiter{Service: "a", Priority: 30, Slots: 8, Long: true}) && w.HasRoom(Waiter{Service: "b", Priority: 10, Slots: 8, Long: true}) && w.HasRoom(Waiter{Service: "a", Priority: 10, Slots: 0, Long: true}))
	is.True(!isOver(first))
	is.True(begin(w, "a", 4, 30, 8) != nil)
	is.True(isOver(first))
	is.True(!isOver(second))
	is.True(begin(w, "a", 5, 5, 0) != nil) // the node starts no further runs
	is.Equal(w.GivenUp(), uint64(2))
	w.End(first)
	w.End(second)
	is.Equal(w.Len(), 2)
	is.True(w.Begin(Waiter{Service: "a", Run: 6, Priority: 5, Slots: 8}) != nil) // a short loss
}

// Guards against a run whose two calls count as two slots.
func TestCallsOfARunHoldOneSlot(t *testing.T) {
	is := is.New(t)
	w := NewWaits(DefaultWaitsConfig())
	first, second := begin(w, "a", 1, 10, 4), begin(w, "a", 1, 10, 4)
	is.True(first != nil && second != nil)
	is.True(begin(w, "b", 2, 10, 4) != nil)
	is.True(begin(w, "c", 3, 10, 4) == nil) // half of the slots wait
	is.True(begin(w, "a", 4, 11, 4) != nil)
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
			wait := begin(w, service, uint64(1+rng.IntN(60)), priority, slots)
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
