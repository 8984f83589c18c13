package limit

import (
	"math"
	"time"
)

// Pace measures how long a backend server itself works on a call, for backend servers that
// tell how much slower than usual they are at present.
//
// Load pattern: the backend servers of a service differ in speed, and share their machines
// with others, so that some become slower for a fraction of a second.
//
// A Pace is not safe for concurrent use. The zero Pace knows nothing.
type Pace struct {
	// logWork is the moving average of the logarithm of the time of a call at the usual
	// speed, in seconds. A logarithm keeps one very long call from moving it far.
	logWork  float64
	calls    int
	slowdown float64
}

const (
	// paceWeight is the weight of a new call in the average.
	paceWeight = 1.0 / 64
	// paceCalls is the number of calls from which the pace is known.
	paceCalls = 16
	// minWork keeps the logarithm finite.
	minWork = time.Microsecond
)

// Record adds a served call that the backend server worked on for own, without calls of its
// own. slowdown is what the backend server said with its answer: how many times as long as
// usual work takes, zero for nothing.
func (p *Pace) Record(own time.Duration, slowdown float64) {
	if slowdown <= 0 {
		return
	}
	// The speed changes while a call runs, so the mean of both ends is the better guess.
	during := slowdown
	if p.slowdown > 0 {
		during = (slowdown + p.slowdown) / 2
	}
	p.slowdown = slowdown
	p.calls++
	sample := math.Log(max(own, minWork).Seconds() / during)
	p.logWork += max(paceWeight, 1/float64(p.calls)) * (sample - p.logWork)
}

// Work returns how long a call takes at the usual speed and how many times as long at
// present; zero if that is not known.
func (p *Pace) Work() (usual time.Duration, slowdown float64) {
	if p.calls < paceCalls {
		return 0, 0
	}
	return time.Duration(math.Exp(p.logWork) * float64(time.Second)), p.slowdown
}
