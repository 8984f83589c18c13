package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
)

var start = time.Unix(1_000_000_000, 0)

const step = time.Millisecond

// drive offers perMS calls of each importance to g for one millisecond. The backend
// server serves at most served of them. decided, if not nil, receives the priority of
// each call and whether it was admitted.
func drive(g *Gate, rng *rand.Rand, now time.Time, perMS [importance.Count]int, served, queued int, decided func(uint16, bool)) {
	full := queued > 0
	for imp, n := range perMS {
		for range n {
			p := uint16(imp)<<HashBits | uint16(rng.IntN(importanceRange))
			ok := g.Admit(now, p, 0)
			if decided != nil {
				decided(p, ok)
			}
			if !ok {
				continue
			}
			if served == 0 {
				g.Observe(now, Sample{Event: Shed, Queued: queued, InFlight: 10, Limit: 10})
				continue
			}
			served--
			inFlight := 4
			if full {
				inFlight = 9
			}
			g.Observe(now, Sample{Event: Served, Queued: queued, InFlight: inFlight, Limit: 10})
		}
	}
}

// Guards against admitting a less important request while a more important one is
// refused, at one time or within an interval after the refusal.
func TestGateAdmitsInOrderOfPriority(t *testing.T) {
	proptest.Check(t, func(r *rapid.T) {
		cfg := DefaultGateConfig()
		g := NewGate(cfg)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(r, "seed"), 0))
		var refused [importance.Count]time.Time
		now := start
		for range rapid.IntRange(1, 8).Draw(r, "phases") {
			var load [importance.Count]int
			for i := range load {
				load[i] = rapid.IntRange(0, 6).Draw(r, "load")
			}
			served := rapid.IntRange(0, 8).Draw(r, "served")
			queued := rapid.IntRange(0, 40).Draw(r, "queued")
			for range rapid.IntRange(50, 400).Draw(r, "ms") {
				now = now.Add(step)
				least, most := uint16(1<<16-1), uint16(0)
				drive(g, rng, now, load, served, queued, func(p uint16, ok bool) {
					imp := Importance(p)
					if !ok {
						refused[imp] = now
						most = max(most, p)
						return
					}
					least = min(least, p)
					for more := imp + 1; more < importance.Count; more++ {
						if since := now.Sub(refused[more]); since < cfg.Interval {
							r.Fatalf("admitted %v %v after %v was refused", imp, since, more)
						}
					}
				})
				if least < most {
					r.Fatalf("admitted %d and refused %d at one time", least, most)
				}
				if g.OwnLevel(now) > g.Level(now) {
					r.Fatalf("own level %d above the published %d", g.OwnLevel(now), g.Level(now))
				}
			}
		}
	})
}

// Guards against a level that follows the load too slowly: after a surge begins,
// requests wait in vain; after it ends, they are still refused.
func TestGateFollowsSurgeWithoutDelay(t *testing.T) {
	is := is.New(t)
	cfg := DefaultGateConfig()
	g := NewGate(cfg)
	rng := rand.New(rand.NewPCG(1, 2))
	now := start
	surge := [importance.Count]int{40, 40, 15, 5}
	for range 2 * cfg.Interval / step {
		now = now.Add(step)
		drive(g, rng, now, surge, 10, 30, nil)
	}
	level := float64(g.Level(now))
	want := float64(2*importanceRange) + (1-5.0/15)*importanceRange // critical and a third of high
	is.True(level > want-0.15*importanceRange)
	is.True(level < want+0.25*importanceRange)

	calm := [importance.Count]int{1, 1, 1, 1}
	took := time.Duration(0)
	for g.Level(now) > 0 {
		now = now.Add(step)
		took += step
		drive(g, rng, now, calm, 10, 0, nil)
	}
	t.Logf("open %v after the surge", took)
	is.True(took <= importance.Count*3*cfg.Interval)
	after := g.RetryAfter(now, rng)
	is.True(after >= cfg.RetryMin/2)
	is.True(after < 2*time.Second)
}

// Guards against a gate that stays open while the backend server is frozen, so that
// requests wait for their whole deadline instead of being refused at once.
func TestGateClosesWhenNothingIsServed(t *testing.T) {
	is := is.New(t)
	g := NewGate(DefaultGateConfig())
	rng := rand.New(rand.NewPCG(1, 2))
	now := start
	load := [importance.Count]int{4, 4, 1, 1}
	for range 300 {
		now = now.Add(step)
		drive(g, rng, now, load, 10, 0, nil)
	}
	is.Equal(g.Level(now), uint16(0))
	for range 1500 {
		now = now.Add(step)
		drive(g, rng, now, load, 0, 40, nil)
	}
	is.True(g.Level(now) > 2*importanceRange)
}

// Guards against an oscillating level when calls arrive long after their requests were
// admitted: slots are idle and requests fail under way in turns.
func TestLevelDoesNotOscillateWhenCallsArriveLate(t *testing.T) {
	is := is.New(t)
	const (
		offered, served = 20, 10 // calls in a millisecond
		late            = 500    // milliseconds from the entry node
		settled         = 5000   // milliseconds
	)
	cfg := DefaultGateConfig()
	cfg.Queue, cfg.SettleIntervals = 4, 20
	g := NewGate(cfg)
	rng := rand.New(rand.NewPCG(1, 2))
	type call struct{ priority, admittedLevel uint16 }
	var inTransit [][]call
	queued, lowest, highest := 0, uint16(importanceRange), uint16(0)
	now := start
	for ms := range 10000 {
		now = now.Add(step)
		var sent []call
		for range offered {
			if p := uint16(rng.IntN(importanceRange)); p >= g.Level(now) {
				sent = append(sent, call{p, g.Level(now)})
			}
		}
		inTransit = append(inTransit, sent)
		if ms < late {
			continue
		}
		for _, c := range inTransit[ms-late] {
			g.Admit(now, c.priority, c.admittedLevel)
			queued++
		}
		for range min(served, queued) {
			queued--
			g.Observe(now, Sample{Event: Served, Queued: queued, InFlight: 99, Limit: 100})
		}
		if ms > settled {
			lowest, highest = min(lowest, g.Level(now)), max(highest, g.Level(now))
		}
	}
	t.Logf("level between %d and %d, %d waiting", lowest, highest, queued)
	is.True(lowest > importanceRange/3)
	is.True(highest < 2*importanceRange/3)
}

// Guards against a level that keeps its highest noisy estimate while the queue is too
// long: the most important requests are refused and the queue runs empty.
func TestNoisyEstimatesDoNotRaiseLevelTooFar(t *testing.T) {
	is := is.New(t)
	const (
		served    = 30 // calls in an interval
		late      = 10 // intervals
		slots     = 33
		intervals = 200
	)
	cfg := DefaultGateConfig()
	cfg.Queue, cfg.SettleIntervals = 4, 20
	offered := [importance.Count]float64{importance.Normal: 25, importance.Critical: 20}
	var emptied, refused, highest int
	for seed := range uint64(5) {
		g := NewGate(cfg)
		rng := rand.New(rand.NewPCG(seed, 2))
		type arrival struct{ priority, admittedLevel uint16 }
		var inTransit [][]arrival
		queued := 0
		now := start
		for i := range intervals {
			level := g.Level(now)
			if i > late && level > importanceFloor(importance.Critical) {
				refused++
			}
			var sent []arrival
			for imp, mean := range offered {
				for range poisson(rng, mean) {
					if p := uint16(imp)<<HashBits | uint16(rng.IntN(importanceRange)); p >= level {
						sent = append(sent, arrival{p, level})
					}
				}
			}
			inTransit = append(inTransit, sent)
			if i < late {
				now = now.Add(cfg.Interval)
				continue
			}
			for _, a := range inTransit[i-late] {
				g.Admit(now, a.priority, a.admittedLevel)
				queued++
			}
			for k := range served {
				now = now.Add(cfg.Interval / served)
				if queued == 0 {
					continue
				}
				queued--
				g.Observe(now, Sample{Event: Served, Queued: queued, InFlight: slots - 1, Limit: slots})
				if k == served-1 && i > 3*late && queued == 0 {
					emptied++
				}
			}
			highest = max(highest, queued)
		}
	}
	t.Logf("of %d intervals %d with the most important refused, %d with an empty queue, at most %d waiting", 5*intervals, refused, emptied, highest)
	is.True(refused < 5*intervals/8)
	is.True(emptied < 5*intervals/20)
}

func importanceFloor(i importance.Importance) uint16 { return uint16(i) << HashBits }

// poisson draws the number of independent events with the given mean.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		n++
	}
	return n
}
