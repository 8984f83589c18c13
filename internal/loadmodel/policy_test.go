package loadmodel

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
)

// The caller sees: its rescue crew's forecast fails in a surge that ten times
// the slots could not serve, or still fails after the surge. The surge comes
// and goes; callers send failed requests again at once. What the slots allow
// must nearly all be whole requests of the greatest importance, hardly any work
// may be lost, and two seconds after the surge all requests succeed.
func TestSurge(t *testing.T) {
	cases := []struct {
		sc      Scenario
		goodput float64
	}{
		{single(1.5), 0.95},
		{single(3), 0.95},
		{single(10), 0.9},
		{chain(1.5), 0.9},
		{chain(10), 0.8},
	}
	for _, c := range cases {
		is := is.New(t)
		r := Run(c.sc, Ours())
		t.Log(c.sc.Name, r.Row())
		during := &r.Phases[1]
		is.True(during.Goodput() >= c.goodput)
		is.True(during.Important(importance.Critical) >= 0.95)
		is.True(during.Wasted() < 0.05)
		is.True(r.Recovery <= 2*time.Second)
		is.True(!r.Down)
		is.Equal(r.Inversions, 0)
	}
}

// The caller sees: refusals although there is room for all. At 0.7 of what the
// slots allow nothing is shed, with one service and along a chain, once a cold
// node has found its limit.
func TestNothingIsShedWithoutOverload(t *testing.T) {
	for _, sc := range []Scenario{single(0.7), chain(0.7)} {
		is := is.New(t)
		r := Run(sc, Ours())
		is.Equal(r.Phases[1].Failed(), 0.0)
		is.Equal(r.Phases[2].Failed(), 0.0)
	}
}

// The caller sees: the unimportant half of the requests served while its own
// fails. On the same arrivals a fixed limit with a plain queue begins thousands
// of calls after it shed a more important one that had come in the meantime,
// and without admission retries keep everything down long after the surge; here
// neither happens.
func TestAgainstPlainQueueAndNoAdmission(t *testing.T) {
	is := is.New(t)
	sc := single(3)
	plain := Run(sc, FixedFIFO(1000))
	none := Run(sc, NoAdmission())
	ours := Run(sc, Ours())
	is.True(plain.Inversions > 1000)
	is.True(none.Down)
	is.Equal(ours.Inversions, 0)
	is.True(!ours.Down)
	for _, imp := range []importance.Importance{importance.High, importance.Critical} {
		is.True(ours.Phases[1].Important(imp) > 2*plain.Phases[1].Important(imp))
	}
	is.True(ours.Phases[1].Wasted() < plain.Phases[1].Wasted())
}

// The caller sees: a service that slowed down and is never used fully again, or
// one that is flooded while it is cold.
func TestSlowAndCold(t *testing.T) {
	for _, sc := range []Scenario{
		slowdown(single(1), 3, 0, false),
		slowdown(single(1), 5, 0, true),
		slowdown(chain(1), 20, 3, false),
	} {
		is := is.New(t)
		r := Run(sc, Ours())
		t.Log(sc.Name, r.Row())
		is.True(r.Phases[1].Goodput() >= 0.85)
		is.True(r.Recovery <= 2*time.Second)
		is.Equal(r.Inversions, 0)
	}
}

// The caller sees: a less important call taken off the queue after its own was
// shed there. Random services, mixes, loads and slow-downs; however badly the
// limit fits them, the order holds at each node.
func TestOrderHoldsUnderAnyLoad(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		sc := chain(1)
		sc.Seed = rapid.Uint64().Draw(r, "seed")
		sc.Spread = rapid.Float64Range(0.1, 2).Draw(r, "spread")
		sc.Resends = rapid.IntRange(0, 3).Draw(r, "resends")
		for i := range sc.Services {
			s := &sc.Services[i]
			s.Slots = rapid.IntRange(1, 30).Draw(r, "slots")
			s.Backlog = rapid.SampledFrom([]int{0, 10, 1000}).Draw(r, "backlog")
			s.Work = time.Duration(rapid.IntRange(1, 30).Draw(r, "work")) * time.Millisecond
		}
		for i := range sc.Operations {
			op := &sc.Operations[i]
			op.Importance = importance.Importance(rapid.IntRange(0, 3).Draw(r, "importance"))
			op.Deadline = time.Duration(rapid.IntRange(20, 1500).Draw(r, "deadline")) * time.Millisecond
			op.Path = op.Path[:rapid.IntRange(1, len(op.Path)).Draw(r, "depth")]
		}
		sc.Phases = nil
		for range rapid.IntRange(1, 3).Draw(r, "phases") {
			sc.Phases = append(sc.Phases, Phase{
				For:         time.Second,
				Load:        rapid.Float64Range(0.2, 8).Draw(r, "load"),
				Slow:        rapid.SampledFrom([]float64{0, 3, 20}).Draw(r, "slow"),
				SlowService: rapid.IntRange(0, 3).Draw(r, "slow service"),
			})
		}
		if report := Run(sc, Ours()); report.Inversions > 0 {
			r.Fatalf("%d of %d calls begun against the order", report.Inversions, report.Started)
		}
	})
}
