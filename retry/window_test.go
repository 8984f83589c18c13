package retry

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

var start = time.Unix(1_000_000_000, 0)

// Property: in every window of ten seconds, extra attempts stay within the ratio of the
// calls in it, in the window before it or in the one half a window earlier, plus the burst.
func TestPropWindowsKeepTheBound(t *testing.T) {
	const (
		span  = 10 * time.Second
		ratio = 0.2
		slack = 5.0
	)
	proptest.Check(t, func(r *rapid.T) {
		cfg := DefaultConfig()
		cfg.Window, cfg.Ratio, cfg.Burst = span, ratio, slack
		b := NewBudget(cfg, start)
		now := start
		var calls, extra []time.Time
		for range rapid.IntRange(1, 40).Draw(r, "phases") {
			now = now.Add(time.Duration(rapid.IntRange(0, 9000).Draw(r, "pause")) * time.Millisecond)
			step := time.Duration(rapid.IntRange(1, 300).Draw(r, "step")) * time.Millisecond
			fails := rapid.IntRange(0, 4).Draw(r, "attempts")
			for range rapid.IntRange(0, 60).Draw(r, "calls") {
				now = now.Add(step)
				b.RecordCall(now)
				calls = append(calls, now)
				for range fails {
					if b.TryTake(now, 1<<16-1) {
						extra = append(extra, now)
					}
				}
			}
		}
		count := func(list []time.Time, after, until time.Time) (n float64) {
			for _, at := range list {
				if at.After(after) && !at.After(until) {
					n++
				}
			}
			return n
		}
		for _, end := range extra {
			for _, end := range []time.Time{end, end.Add(span / 3), end.Add(span * 3 / 4)} {
				from := end.Add(-span)
				most := max(count(calls, from, end), count(calls, from.Add(-span/2), end.Add(-span/2)), count(calls, from.Add(-span), from))
				if n := count(extra, from, end); n > ratio*most+slack {
					r.Fatalf("%v extra attempts in the window that ends %v after the start, %v calls", n, end.Sub(start), most)
				}
			}
		}
	})
}

// Guards against losing the extra attempts earned in a calm period: the window allows them
// at the start of an outage, the first to any request, the last to the most important.
func TestWindowKeepsAttemptsOfCalmPeriods(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Window, cfg.Ratio, cfg.Burst = 10*time.Second, 0.2, 2
	b := NewBudget(cfg, start)
	now := start
	for range 2000 {
		now = now.Add(10 * time.Millisecond)
		b.RecordCall(now)
	}
	spend := func(priority uint16) (n int) {
		for b.TryTake(now, priority) {
			n++
		}
		return n
	}
	// 1,000 calls earn 200. Any request gets seven in ten of them, and one of low priority a
	// quarter of the rest.
	lowest, low, highest := spend(0), spend(1<<14), spend(1<<16-1)
	is.True(lowest > 125 && lowest <= 142)
	is.True(low > 10 && low < 20)
	is.True(lowest+low+highest > 190 && lowest+low+highest <= 202)
	is.Equal(b.TryTake(now.Add(5*time.Second), 1<<16-1), false)
	is.Equal(b.TryTake(now.Add(time.Minute), 1<<16-1), true)
}

// Guards against a burst that grows with the number of nodes.
func TestBurstIsSharedByAllNodes(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Window, cfg.Ratio, cfg.MinPerSecond, cfg.Burst, cfg.FullBurstNodes = 10*time.Second, 0.2, 0, 4, 16
	b := NewBudgets(cfg)
	spend := func(service string) (n int) {
		for b.ForService(start, service).TryTake(start, 1<<16-1) {
			n++
		}
		return n
	}
	is.Equal(spend("a"), 4)
	b.SetNodes(8)
	is.Equal(spend("b"), 4)
	b.SetNodes(32)
	is.Equal(spend("c"), 2)
	b.SetNodes(3500)
	is.Equal(spend("c")+spend("d"), 0)
}

// Guards against more extra attempts than allowed where the calls of repeated runs gather at a few
// nodes: with a window they are rejected, too, once it is exhausted.
func TestChargesStayWithinTheWindow(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Window, cfg.Ratio, cfg.Burst = 10*time.Second, 0.2, 1
	b := NewBudget(cfg, start)
	for range 100 {
		b.RecordCall(start)
	}
	charged := 0
	for b.Charge(start) {
		charged++
	}
	most := cfg.ChargeFactor * 21
	is.True(float64(charged) > most-1 && float64(charged) <= most)
	is.True(!b.TryTake(start, 1<<16-1))
	is.Equal(b.Dump().Charged, uint64(charged))
	is.True(b.Charge(start.Add(time.Minute)))
}

// Guards against an operator who can't tell repeated attempts from the calls of repeated runs, or
// reads of services that lacked nothing.
func TestUsageTellsWhatWasSpent(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Window, cfg.Ratio, cfg.Burst, cfg.ChargeFactor = 10*time.Second, 0, 2, 1
	b := NewBudgets(cfg)
	b.ForService(start, "calm").RecordCall(start)
	earlier := b.Dump()
	scarce := b.ForService(start, "scarce")
	for range 3 {
		scarce.RecordCall(start)
	}
	is.True(scarce.Charge(start))
	is.True(scarce.TryTake(start, 1<<16-1))
	is.True(!scarce.TryTake(start, 1<<16-1))
	is.Equal(UsageBetween(earlier, b.Dump()), []Usage{{Service: "scarce", Calls: 3, Allowed: 1, Charged: 1, Denied: 1}})
	is.Equal(len(UsageBetween(b.Dump(), b.Dump())), 0)
}
