package loadmodel

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
)

// Guards against wasted work in a surge and failures after it: the slots must go to whole
// requests of the highest importance, and two seconds later all requests succeed.
func TestSurgeServesTheMostImportant(t *testing.T) {
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
		r := Run(c.sc, Production())
		t.Log(c.sc.Name, r.Row())
		during := &r.Phases[1]
		is.True(during.Goodput() >= c.goodput)
		is.True(during.GoodputFrom(importance.Critical) >= 0.95)
		is.True(during.WastedShare() < 0.05)
		is.True(r.Recovery <= 2*time.Second)
		is.True(!r.Down)
		is.Equal(r.Inversions, 0)
	}
}

// Guards against refusals below capacity: at 0.7 of it nothing is shed after the limit has
// adapted, with one service and along a chain.
func TestNothingIsShedWithoutOverload(t *testing.T) {
	for _, sc := range []Scenario{single(0.7), chain(0.7)} {
		is := is.New(t)
		r := Run(sc, Production())
		is.Equal(r.Phases[1].FailedShare(), 0.0)
		is.Equal(r.Phases[2].FailedShare(), 0.0)
	}
}

// Guards against less important calls that start before more important ones, and against a
// service that stays overloaded after a surge, as with a FIFO queue or without admission.
func TestOutperformsFIFOQueueAndNoAdmission(t *testing.T) {
	is := is.New(t)
	sc := single(3)
	plain := Run(sc, FixedFIFO(1000))
	none := Run(sc, NoAdmission())
	ours := Run(sc, Production())
	is.True(plain.Inversions > 1000)
	is.True(none.Down)
	is.Equal(ours.Inversions, 0)
	is.True(!ours.Down)
	for _, imp := range []importance.Importance{importance.High, importance.Critical} {
		is.True(ours.Phases[1].GoodputFrom(imp) > 2*plain.Phases[1].GoodputFrom(imp))
	}
	is.True(ours.Phases[1].WastedShare() < plain.Phases[1].WastedShare())
}

// Guards against a limit that stays too low after a slowdown or too high at a cold start.
func TestSlowdownAndColdStart(t *testing.T) {
	for _, sc := range []Scenario{
		slowdown(single(1), 3, 0, false),
		slowdown(single(1), 5, 0, true),
		slowdown(chain(1), 20, 3, false),
	} {
		is := is.New(t)
		r := Run(sc, Production())
		t.Log(sc.Name, r.Row())
		is.True(r.Phases[1].Goodput() >= 0.85)
		is.True(r.Recovery <= 2*time.Second)
		is.Equal(r.Inversions, 0)
	}
}

// Guards against a call that starts after a more important one was shed at the same node,
// for random services, mixes, loads and slowdowns.
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
				Duration:    time.Second,
				Load:        rapid.Float64Range(0.2, 8).Draw(r, "load"),
				SlowFactor:  rapid.SampledFrom([]float64{0, 3, 20}).Draw(r, "slow"),
				SlowService: rapid.IntRange(0, 3).Draw(r, "slow service"),
			})
		}
		if report := Run(sc, Production()); report.Inversions > 0 {
			r.Fatalf("%d of %d calls begun against the order", report.Inversions, report.Started)
		}
	})
}
