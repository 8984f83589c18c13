package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/verdict"
)

// The bound on the starts at a backend server that names a rate limit: in any window, at most
// boundFactor times what the limit allows and boundSlack more, from boundDelay after the
// first statement on.
const (
	boundWindow = 4 * time.Second
	boundFactor = 1.5
	boundSlack  = 5
	boundDelay  = 3 * time.Second
)

// rateOracle checks the bound from the starts and the limits that the backend server names.
type rateOracle struct {
	starts []time.Time
	// limits holds the limit from each moment on; a negative one is none.
	limits []namedLimit
}

type namedLimit struct {
	from      time.Time
	perSecond float64
}

// name records the limit from now on; a negative one is none.
func (o *rateOracle) name(now time.Time, perSecond float64) {
	o.limits = append(o.limits, namedLimit{now, perSecond})
}

// check returns an error for the first window in which too many requests started.
func (o *rateOracle) check() error {
	for i, from := range o.starts {
		allowed, applies := o.allowed(from)
		if !applies {
			continue
		}
		n := 0
		for _, at := range o.starts[i:] {
			if at.Sub(from) < boundWindow {
				n++
			}
		}
		if float64(n) > allowed {
			return fmt.Errorf("%d starts in the window from %v on, allowed %.1f", n, from.Sub(o.limits[0].from), allowed)
		}
	}
	return nil
}

// allowed returns the number of starts allowed in a window, and false if no limit applies in
// all of it.
func (o *rateOracle) allowed(from time.Time) (n float64, applies bool) {
	to := from.Add(boundWindow)
	var firstNamed time.Time
	sum := 0.0
	for i, l := range o.limits {
		end := to
		if i+1 < len(o.limits) && o.limits[i+1].from.Before(to) {
			end = o.limits[i+1].from
		}
		switch {
		case l.perSecond < 0 && end.After(from) && l.from.Before(to):
			return 0, false
		case l.perSecond < 0:
			firstNamed = time.Time{}
			continue
		case firstNamed.IsZero():
			firstNamed = l.from
		}
		begin := l.from
		if begin.Before(from) {
			begin = from
		}
		sum += max(0, end.Sub(begin).Seconds()) * l.perSecond
	}
	if firstNamed.IsZero() || from.Before(firstNamed.Add(boundDelay)) {
		return 0, false
	}
	return boundFactor*sum + boundSlack, true
}

// limitedBackend is a callee whose backend server takes runTime for each request.
type limitedBackend struct {
	*callee
	runTime time.Duration
	ends    []endingTask
	oracle  rateOracle
	named   limit.Statement
	replies int
	refused int
}

type endingTask struct {
	task *Task
	at   time.Time
}

// name makes the backend server name a limit in its answers from now on; a negative one is
// none.
func (b *limitedBackend) name(perSecond float64) {
	b.oracle.name(b.now, perSecond)
	b.named = limit.Statement{Named: perSecond >= 0, PerSecond: perSecond}
}

func (b *limitedBackend) apply(e Effects) {
	for _, t := range e.Start {
		b.oracle.starts = append(b.oracle.starts, b.now)
		b.ends = append(b.ends, endingTask{t, b.now.Add(b.runTime)})
	}
	for _, r := range e.Replies {
		b.replies++
		if r.Verdict == verdict.NotRun {
			b.refused++
		}
	}
}

// step moves the time by one tick and answers the requests that are done.
func (b *limitedBackend) step() {
	b.now = b.now.Add(10 * time.Millisecond)
	for len(b.ends) > 0 && !b.ends[0].at.After(b.now) {
		done := b.ends[0].task
		b.ends = b.ends[1:]
		b.apply(b.Done(b.now, done.ID, Result{Verdict: verdict.Ran, Status: 200, Latency: b.runTime, Answered: true, Limit: b.named}))
	}
	b.apply(b.Tick(b.now))
}

// run sends perSecond requests a second for a time.
func (b *limitedBackend) run(perSecond int, d time.Duration) {
	due := 0.0
	for end := b.now.Add(d); b.now.Before(end); {
		b.step()
		for due += float64(perSecond) / 100; due >= 1; due-- {
			b.apply(b.arrive(importance.Normal, 6*time.Second))
		}
	}
}

// Guards against a backend server that gets far more requests a second than it says it
// takes, though most of its slots are free.
func TestRateLimitedServerGetsNoMoreThanItTakes(t *testing.T) {
	is := is.New(t)
	b := &limitedBackend{callee: newCallee(168), runTime: 300 * time.Millisecond}
	b.run(60, 4*time.Second)
	b.name(19.2)
	b.run(60, 12*time.Second)
	is.NoErr(b.oracle.check())
}
