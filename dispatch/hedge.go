package dispatch

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

// averageLatency is the moving average of the latency of one operation.
type averageLatency struct {
	mean    time.Duration
	samples int
}

const (
	// averageWeight is the inverse weight of a new sample.
	averageWeight = 16
	// hedgeSamples is the number of answers before the average is used.
	hedgeSamples = 20
	// hedgeFactor times the average latency is the delay of a hedge. It is beyond nearly
	// all answers; queueing raises the average itself.
	hedgeFactor = 4
	// minHedgeDelay keeps fast services from being hedged because of timer jitter.
	minHedgeDelay = 20 * time.Millisecond
	// maxHedgeDelayShare is the share of the remaining deadline after which a hedge is
	// unlikely to be answered in time.
	maxHedgeDelayShare = 0.6
)

func (u *averageLatency) add(d time.Duration) {
	u.samples++
	if u.samples == 1 {
		u.mean = d
		return
	}
	u.mean += (d - u.mean) / averageWeight
}

// hedgeAfter returns the delay before the second attempt, and false if hedging is not
// useful.
func (u *averageLatency) hedgeAfter(remaining time.Duration) (time.Duration, bool) {
	if u.samples < hedgeSamples {
		return 0, false
	}
	after := max(minHedgeDelay, hedgeFactor*u.mean)
	return after, float64(after) < maxHedgeDelayShare*float64(remaining)
}

// attemptHedged makes one attempt, and a second one at another backend server if the first
// gets no answer for unusually long. It handles lost answers and silent connections, which
// otherwise show only at the deadline. The first usable answer wins and the other attempt
// is cancelled. Only idempotent calls are hedged, within the limits of all extra attempts,
// and only while no service that they reach is overloaded.
func (d *Dispatcher) attemptHedged(ctx context.Context, p Params, a *attempts, to target, hopAttemptsLeft *int) call.Reply {
	after, ok := d.hedgeAfter(p)
	a.tried = append(a.tried, to.id)
	p.repeated = a.reached
	if !ok {
		return d.sendAndRecord(ctx, p, to)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan call.Reply, 2) // buffered: the second may never be read
	ask := func(p Params, to target) { answers <- d.sendAndRecord(ctx, p, to) }
	go ask(p, to)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case first := <-answers:
		return first
	case <-timer.C:
	}
	var second target
	silent := call.Reply{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Detail: "no answer yet"}
	if !d.acquireRetry(ctx, p, a, silent, &second, hopAttemptsLeft) {
		return <-answers
	}
	d.count(func(c *Counts) { c.Hedges++ })
	d.noteRetry(p, a, silent)
	a.tried = append(a.tried, second.id)
	a.reached = true // by the attempt without an answer
	p.repeated = true
	go ask(p, second)
	return d.firstUsable(a, <-answers, answers)
}

// firstUsable returns the first answer if it is usable, otherwise the second.
func (d *Dispatcher) firstUsable(a *attempts, first call.Reply, rest <-chan call.Reply) call.Reply {
	if usable(first) {
		return first
	}
	second := <-rest
	a.record(first)
	return second
}

// usable reports whether the answer comes from the backend server and is not a failure.
func usable(r call.Reply) bool { return r.Reason == verdict.None }

// hedgeAfter returns the hedge delay of a call, and false if it must not be hedged.
func (d *Dispatcher) hedgeAfter(p Params) (time.Duration, bool) {
	if !d.cfg.Hedge || !p.Operation.Idempotent || p.Key != "" {
		return 0, false
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, name := range p.reach() {
		if d.levels(p).Level(now, name) > 0 {
			return 0, false
		}
	}
	u, known := d.averageLatency[operationKey(p)]
	if !known {
		return 0, false
	}
	return u.hedgeAfter(p.Deadline.Sub(now))
}

func operationKey(p Params) string { return p.Operation.Service + " " + p.Operation.Name }

// maxAverages is the maximum number of operations whose latency is tracked.
const maxAverages = 4096

// recordLatency adds the latency of a usable answer to the operation's average.
func (d *Dispatcher) recordLatency(p Params, took time.Duration, r call.Reply) {
	if !d.cfg.Hedge || !usable(r) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key := operationKey(p)
	u, known := d.averageLatency[key]
	if !known {
		if len(d.averageLatency) >= maxAverages {
			return
		}
		u = &averageLatency{}
		d.averageLatency[key] = u
	}
	u.add(took)
}

// Limits of the wait for a backend server that accepts work.
const (
	// targetPollInterval is the pause between two checks.
	targetPollInterval = 25 * time.Millisecond
	// maxTargetWaitShare is the share of the remaining deadline that the wait may use.
	maxTargetWaitShare = 0.5
)

// awaitTarget returns the node for the first attempt. For a call of a running request it waits
// some time for one: failing a single call would fail the whole request, while the last backend
// server of a service may only be in the process of being replaced.
func (d *Dispatcher) awaitTarget(ctx context.Context, p Params) (target, bool) {
	until := shareOfTime(&p, maxTargetWaitShare)
	for {
		to, ok := d.firstTarget(p)
		if ok {
			return to, true
		}
		d.outages.noNode(p.Operation.Service)
		if !p.ForRun || !p.wait.pause(ctx, targetPollInterval, until) {
			return target{}, false
		}
	}
}
