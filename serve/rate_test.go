package serve

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/internal/ratebound"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/verdict"
)

// origin is the node from which all requests come, and noLimit names no limit.
const (
	origin  = "entry"
	noLimit = -1
)

// limitedBackend is a callee whose backend server takes runTime for each request.
type limitedBackend struct {
	*callee
	runTime time.Duration
	ends    []endingTask
	oracle  ratebound.Record
	named   limit.Statement
	// starts counts all requests that started.
	starts int
	// critical counts the critical requests that started.
	critical int
	// jitter draws the time by which an answer is late; nil is none.
	jitter func() time.Duration
}

// endingTask is a task whose answer says what the backend server named when it was done.
type endingTask struct {
	task *Task
	at   time.Time
}

// name makes the backend server name a limit in its answers from now on; a negative one is
// none.
func (b *limitedBackend) name(perSecond float64) {
	b.named = limit.Statement{Named: perSecond >= 0, PerSecond: perSecond}
}

func (b *limitedBackend) apply(e Effects) {
	for _, t := range e.Start {
		b.starts++
		b.oracle.Arrived(b.now, origin)
		if t.Request.Importance == importance.Critical {
			b.critical++
		}
		end := b.now.Add(b.runTime)
		if b.jitter != nil {
			end = end.Add(b.jitter())
		}
		b.ends = append(b.ends, endingTask{t, end})
	}
}

// step moves the time by one tick and answers the requests that are done.
func (b *limitedBackend) step() {
	b.now = b.now.Add(10 * time.Millisecond)
	slices.SortStableFunc(b.ends, func(x, y endingTask) int { return x.at.Compare(y.at) })
	for len(b.ends) > 0 && !b.ends[0].at.After(b.now) {
		done := b.ends[0].task
		b.ends = b.ends[1:]
		if b.named.Named {
			b.oracle.Name(b.now, b.named.PerSecond)
			b.oracle.Forwarded(origin, b.now)
		} else {
			b.oracle.Name(b.now, noLimit)
		}
		b.apply(b.Done(b.now, done.ID, Result{Verdict: verdict.Ran, Status: 200, Latency: b.runTime, Answered: true, Limit: b.named}))
	}
	b.apply(b.Tick(b.now))
}

// restart replaces the backend server by an incarnation that names no limit.
func (b *limitedBackend) restart() {
	b.apply(b.BackendRestarted(b.now))
	for _, e := range b.ends {
		b.apply(b.Done(b.now, e.task.ID, Result{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}))
	}
	b.ends = nil
	b.name(noLimit)
	b.oracle.Name(b.now, noLimit)
	b.apply(b.SetReady(b.now, true))
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
	is.NoErr(b.oracle.Check())
}

// Guards against a limit that is kept by starving the backend server.
func TestRateLimitedServerGetsNearlyWhatItTakes(t *testing.T) {
	for _, perSecond := range []float64{0.5, 2, 19.2, 150} {
		is := is.New(t)
		b := &limitedBackend{callee: newCallee(168), runTime: 300 * time.Millisecond}
		b.name(perSecond)
		b.run(200, 4*time.Second)
		before := b.starts
		b.run(200, 20*time.Second)
		is.NoErr(b.oracle.Check())
		is.True(float64(b.starts-before) >= 0.9*20*perSecond)
	}
}

// Guards against a burst that a high limit allows and that comes right before the limit falls to
// nothing.
func TestBurstBeforeTheLimitFalls(t *testing.T) {
	is := is.New(t)
	b := &limitedBackend{callee: newCallee(168), runTime: 10 * time.Millisecond}
	b.name(300)
	b.run(300, 4*time.Second)
	b.run(0, time.Second)
	for range 40 {
		b.apply(b.arrive(importance.Normal, 6*time.Second))
	}
	b.name(0)
	b.run(100, 6*time.Second)
	is.NoErr(b.oracle.Check())
}

// Guards against important requests that are refused while others take the few starts that a
// limit leaves.
func TestImportantRequestsGetTheStartsOfALimitedServer(t *testing.T) {
	is := is.New(t)
	b := &limitedBackend{callee: newCallee(168), runTime: 100 * time.Millisecond}
	b.name(20)
	b.run(20, 4*time.Second)
	for i := range 1000 {
		b.step()
		imp := importance.Normal
		if i%10 == 0 {
			imp = importance.Critical
		}
		b.apply(b.arrive(imp, 6*time.Second))
	}
	is.NoErr(b.oracle.Check())
	is.True(b.critical >= 95)
}

// Guards against a refusal for the rate limit that comes late, names no time to come back, or
// is not "not run".
func TestRefusalForTheRateLimitComesAtOnce(t *testing.T) {
	is := is.New(t)
	b := &limitedBackend{callee: newCallee(168), runTime: 100 * time.Millisecond}
	b.name(0)
	b.run(10, 2*time.Second)
	refused := 0
	for range 100 {
		b.step()
		e := b.arrive(importance.Normal, 6*time.Second)
		for _, r := range e.Replies {
			refused++
			is.Equal(r.Verdict, verdict.NotRun)
			is.True(r.RetryAfter > 0)
		}
	}
	is.True(refused >= 95)
}

// Guards against answers that overtake each other: one from before the limit was named must
// not end it.
func TestOlderAnswerDoesNotEndTheLimit(t *testing.T) {
	is := is.New(t)
	c := newCallee(8)
	answer := func(task *Task, s limit.Statement) {
		c.Done(c.now, task.ID, Result{Verdict: verdict.Ran, Status: 200, Answered: true, Limit: s})
	}
	limited := func() bool { _, named := c.rate.Limit(); return named }
	first := c.arrive(importance.Normal, time.Minute).Start[0]
	second := c.arrive(importance.Normal, time.Minute).Start[0]
	c.now = c.now.Add(time.Second)
	answer(second, limit.Statement{Named: true, PerSecond: 5})
	answer(first, limit.Statement{})
	is.True(limited())
	c.now = c.now.Add(time.Second)
	third := c.arrive(importance.Normal, time.Minute).Start[0]
	c.now = c.now.Add(time.Second)
	answer(third, limit.Statement{})
	is.True(!limited())
}

// Guards against the limit of an earlier backend incarnation that applies to the next one.
func TestLimitEndsWithItsIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCallee(8)
	task := c.arrive(importance.Normal, time.Minute).Start[0]
	c.now = c.now.Add(time.Second)
	c.BackendRestarted(c.now)
	c.SetReady(c.now, true)
	c.Done(c.now, task.ID, Result{Verdict: verdict.Ran, Status: 200, Answered: true, Limit: limit.Statement{Named: true, PerSecond: 1}})
	_, named := c.rate.Limit()
	is.True(!named)
}

// Guards against a schedule of bursts, changing limits, late answers and restarts of the
// backend server in which it gets more requests than it takes.
func TestPropRateLimitHolds(t *testing.T) {
	proptest.CheckSteps(t, 60, func(rt *rapid.T) {
		b := &limitedBackend{callee: newCallee(rapid.IntRange(1, 200).Draw(rt, "slots")), runTime: time.Duration(rapid.IntRange(1, 900).Draw(rt, "run ms")) * time.Millisecond}
		b.jitter = func() time.Duration {
			return time.Duration(rapid.IntRange(0, 400).Draw(rt, "jitter ms")) * time.Millisecond
		}
		rt.Repeat(map[string]func(*rapid.T){
			"load": func(rt *rapid.T) {
				b.run(rapid.SampledFrom([]int{1, 20, 100, 400}).Draw(rt, "per second"), time.Duration(rapid.IntRange(10, 2500).Draw(rt, "ms"))*time.Millisecond)
			},
			"name": func(rt *rapid.T) {
				b.name(rapid.SampledFrom([]float64{noLimit, 0, 0.3, 1, 5, 19.2, 80, 300}).Draw(rt, "limit"))
			},
			"restart": func(rt *rapid.T) { b.restart() },
			"important": func(rt *rapid.T) {
				for range rapid.IntRange(1, 50).Draw(rt, "n") {
					b.apply(b.arrive(importance.Critical, time.Duration(rapid.IntRange(1, 6000).Draw(rt, "budget ms"))*time.Millisecond))
				}
			},
			"": func(rt *rapid.T) { check(rt, b.oracle.Check()) },
		})
	})
}
