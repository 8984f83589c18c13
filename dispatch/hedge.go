package dispatch

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

// usual is the usual time of an answer from one service, as an average that
// fades.
type usual struct {
	mean    time.Duration
	samples int
}

const (
	// usualWeight of a new sample: the last sixteen or so decide.
	usualWeight = 16
	// hedgeSamples is the number of answers before the average is used.
	hedgeSamples = 20
	// hedgeFactor times the average is beyond nearly all answers: of work
	// whose spread is half of its mean fewer than one in a hundred takes so
	// long, and waiting in a queue moves the average itself.
	hedgeFactor = 4
	// hedgeLeast keeps services that answer at once from being hedged for a
	// late timer.
	hedgeLeast = 20 * time.Millisecond
	// hedgeWithin is the part of the time left after which another attempt
	// would hardly be answered any more.
	hedgeWithin = 0.6
)

func (u *usual) add(d time.Duration) {
	u.samples++
	if u.samples == 1 {
		u.mean = d
		return
	}
	u.mean += (d - u.mean) / usualWeight
}

// hedgeAfter returns how long to wait for an answer before another backend
// server is asked as well; false if that is not worth it.
func (u *usual) hedgeAfter(left time.Duration) (time.Duration, bool) {
	if u.samples < hedgeSamples {
		return 0, false
	}
	after := max(hedgeLeast, hedgeFactor*u.mean)
	return after, float64(after) < hedgeWithin*float64(left)
}

// hedged makes one attempt, and another one beside it if the first stays
// without an answer for unusually long: a backend server whose answers are
// lost, or a link that has gone silent, otherwise shows only when the call's
// time is over. The first usable answer counts, and the other attempt is
// cancelled. Only idempotent calls are hedged, out of the same bounds as any
// extra attempt, and only while no service that they lead to is short.
func (d *Dispatcher) hedged(ctx context.Context, p Params, a *attempts, to target, hop *int) call.Reply {
	after, ok := d.hedgeAfter(p)
	a.tried = append(a.tried, to.id)
	if !ok {
		return d.once(ctx, p, to)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	answers := make(chan call.Reply, 2) // nobody waits for the second
	ask := func(p Params, to target) { answers <- d.once(ctx, p, to) }
	go ask(p, to)
	timer := time.NewTimer(after)
	defer timer.Stop()
	select {
	case first := <-answers:
		return first
	case <-timer.C:
	}
	var second target
	silent := call.Reply{Verdict: verdict.MayHaveRun, Reason: verdict.Lost, Detail: "no answer yet"}
	if !d.spend(ctx, p, a, silent, &second, hop) {
		return <-answers
	}
	d.count(func(c *Counts) { c.Hedges++ })
	d.noteAgain(p, a, silent)
	a.tried = append(a.tried, second.id)
	p.repeated = true
	go ask(p, second)
	return d.better(a, <-answers, answers)
}

// better returns the first usable answer of two.
func (d *Dispatcher) better(a *attempts, first call.Reply, rest <-chan call.Reply) call.Reply {
	if usable(first) {
		return first
	}
	second := <-rest
	a.note(first.Verdict)
	return second
}

// usable reports whether an answer is the backend server's own and no failure
// of it.
func usable(r call.Reply) bool { return r.Reason == verdict.None }

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
	u, known := d.usual[usualKey(p)]
	if !known {
		return 0, false
	}
	return u.hedgeAfter(p.Deadline.Sub(now))
}

func usualKey(p Params) string { return p.Operation.Service + " " + p.Operation.Name }

// maxUsual bounds the operations whose usual time is known.
const maxUsual = 4096

// timed notes how long an answer took.
func (d *Dispatcher) timed(p Params, took time.Duration, r call.Reply) {
	if !d.cfg.Hedge || !usable(r) {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	key := usualKey(p)
	u, known := d.usual[key]
	if !known {
		if len(d.usual) >= maxUsual {
			return
		}
		u = &usual{}
		d.usual[key] = u
	}
	u.add(took)
}

// The wait of a call under way for a backend server that takes work.
const (
	// patienceStep is the pause between two looks.
	patienceStep = 25 * time.Millisecond
	// patienceShare of the time left is what the wait may take.
	patienceShare = 0.5
)

// awaitTarget waits a while for a backend server to appear. A call of a request
// under way that fails at once fails all of it, while the last backend server
// of a service may only be changing hands.
func (d *Dispatcher) awaitTarget(ctx context.Context, p Params) (target, bool) {
	until := time.Now().Add(time.Duration(patienceShare * float64(time.Until(p.Deadline))))
	for {
		to, ok := d.firstTarget(p)
		if ok || !p.Admitted || !time.Now().Before(until) {
			return to, ok
		}
		select {
		case <-ctx.Done():
			return target{}, false
		case <-time.After(patienceStep):
		}
	}
}
