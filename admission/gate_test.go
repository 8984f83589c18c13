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

// drive offers perMS calls of each importance every millisecond to a gate whose
// backend server serves served of them, and reports each decision.
func drive(g *Gate, rng *rand.Rand, now time.Time, perMS [importance.Count]int, served, queued int, decided func(uint16, bool)) {
	full := queued > 0
	for imp, n := range perMS {
		for range n {
			p := uint16(imp)<<HashBits | uint16(rng.IntN(band))
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

// The caller sees: a rescue crew's request refused, and an archive read let in,
// at one node within a moment. Random load with random queues goes through the
// gate: at one time it must admit everything above the least refused priority,
// and within one interval after a refusal nothing of a lesser importance.
func TestGateKeepsTheOrder(t *testing.T) {
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
				if g.Own(now) > g.Level(now) {
					r.Fatalf("own level %d above the published %d", g.Own(now), g.Level(now))
				}
			}
		}
	})
}

// The caller sees: a second of refusals after the surge has ended, or a second
// of useless waiting after it began. Ten times what can be served arrives; two
// intervals later the level must let in about what is served. Then the surge
// ends, and each importance may take until callers' nodes have heard to open.
func TestGateFindsTheLevelInOneStep(t *testing.T) {
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
	want := float64(2*band) + (1-5.0/15)*band // critical and a third of high
	is.True(level > want-0.15*band)
	is.True(level < want+0.25*band)

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

// The caller sees: its request waits at a frozen backend server for its whole
// deadline instead of being refused at once. Nothing is served any more and the
// queue sheds what comes; the level must rise although no call that was served
// tells of the queue.
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
	is.True(g.Level(now) > 2*band)
}

// The caller sees: refused, though slots stand idle, or let in and failed half way,
// by turns of a second. A request calls here half a second after it was let in: what
// comes now tells of the levels of then. The load that waits for nobody goes through
// a gate by way of a delay; once it has settled the level must stay near the one that
// lets in what is served, where it was taken for that of now it swung by more than a
// whole importance.
func TestLevelStaysWhereRequestsComeLate(t *testing.T) {
	is := is.New(t)
	const (
		offered, served = 20, 10 // calls in a millisecond
		late            = 500
		settled         = 5000
	)
	cfg := DefaultGateConfig()
	cfg.Queue, cfg.Settle = 4, 20
	g := NewGate(cfg)
	rng := rand.New(rand.NewPCG(1, 2))
	type call struct{ priority, bar uint16 }
	var way [][]call
	queued, lowest, highest := 0, uint16(band), uint16(0)
	now := start
	for ms := range 10000 {
		now = now.Add(step)
		var sent []call
		for range offered {
			if p := uint16(rng.IntN(band)); p >= g.Level(now) {
				sent = append(sent, call{p, g.Level(now)})
			}
		}
		way = append(way, sent)
		if ms < late {
			continue
		}
		for _, c := range way[ms-late] {
			g.Admit(now, c.priority, c.bar)
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
	t.Logf("level between %d and %d, %d wait", lowest, highest, queued)
	is.True(lowest > band/3)
	is.True(highest < 2*band/3)
}

// The caller sees: one of the most important refused while slots stand idle a second
// later. One of ten backend servers gets a few dozen calls an interval, by chance more
// or fewer, half a second after they were let in; a burst of half as much again as it
// can serve begins. A level that keeps the highest estimate while the queue is too long
// climbs far above the one needed, and the queue runs dry.
func TestLevelIsNotTheHighestOfItsEstimates(t *testing.T) {
	is := is.New(t)
	const (
		served = 30 // calls in an interval
		late   = 10 // intervals
		slots  = 33
		whole  = 200 // intervals
	)
	cfg := DefaultGateConfig()
	cfg.Queue, cfg.Settle = 4, 20
	offered := [importance.Count]float64{importance.Normal: 25, importance.Critical: 20}
	var dry, refused, highest int
	for seed := range uint64(5) {
		g := NewGate(cfg)
		rng := rand.New(rand.NewPCG(seed, 2))
		type arrival struct{ priority, bar uint16 }
		var way [][]arrival
		queued := 0
		now := start
		for i := range whole {
			level := g.Level(now)
			if i > late && level > importanceFloor(importance.Critical) {
				refused++
			}
			var sent []arrival
			for imp, mean := range offered {
				for range poisson(rng, mean) {
					if p := uint16(imp)<<HashBits | uint16(rng.IntN(band)); p >= level {
						sent = append(sent, arrival{p, level})
					}
				}
			}
			way = append(way, sent)
			if i < late {
				now = now.Add(cfg.Interval)
				continue
			}
			for _, a := range way[i-late] {
				g.Admit(now, a.priority, a.bar)
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
					dry++
				}
			}
			highest = max(highest, queued)
		}
	}
	t.Logf("of %d intervals %d with the most important refused, %d dry, at most %d wait", 5*whole, refused, dry, highest)
	is.True(refused < 5*whole/8)
	is.True(dry < 5*whole/20)
}

func importanceFloor(i importance.Importance) uint16 { return uint16(i) << HashBits }

// poisson draws how many of many independent events happen.
func poisson(rng *rand.Rand, mean float64) int {
	n := 0
	for at := rng.ExpFloat64(); at < mean; at += rng.ExpFloat64() {
		n++
	}
	return n
}
