package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against latencies that contain a pause of the process: after it every call would be
// expected to take too long.
func TestPauseIsNotLatency(t *testing.T) {
	is := is.New(t)
	const class, runTime, calls = 1, 6 * time.Millisecond, 12
	l := New(DefaultConfig())
	now := time.Unix(1000, 0)
	run := func() {
		n := l.Begin(now)
		now = now.Add(runTime)
		l.End(now, Sample{Latency: runTime, InFlight: n, Class: class})
	}
	for range 1000 {
		run()
	}
	began := now
	for range calls {
		l.Begin(now)
	}
	now = now.Add(8 * time.Second)
	l.Resumed(now)
	for range calls {
		l.End(now, Sample{Latency: now.Sub(began), InFlight: calls, Class: class})
	}
	for range 300 {
		l.Begin(now)
		is.True(l.ExpectedRunTime(class) < 2*runTime)
		l.End(now, Sample{Latency: 0, Outcome: Ignore, Class: class})
		run()
	}
}
