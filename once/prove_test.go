package once

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/verdict"
)

const stepsPerSchedule = 300

// submit sends an action through an entry node, unless the node is frozen.
func (w *world) submit(entry int, act *action) *request {
	r := &request{action: act}
	w.reqs = append(w.reqs, r)
	if !w.nodes[entry].frozen {
		w.route(w.nodes[entry], r)
	}
	return r
}

func (w *world) newAction(kind int) *action {
	act := &action{}
	switch kind {
	case 0:
		act.key, act.own = fmt.Sprintf("own-%d", len(w.actions)), true
	case 1:
		n := w.nodes[w.choose(addresses)]
		act.key = n.mint.Mint(n.clock(), service, operation)
	}
	w.actions = append(w.actions, act)
	return act
}

// step performs one randomly chosen event.
func (w *world) step() {
	n := w.nodes[w.choose(addresses)]
	kind := w.choose(30)
	if len(w.net) > 0 && kind < 14 {
		w.netStep(kind)
		return
	}
	if n.frozen {
		n.frozen = w.choose(4) != 3
		w.now = w.now.Add(time.Duration(w.choose(1000)) * time.Millisecond)
		return
	}
	switch kind {
	case 14:
		w.newRequest(n.address)
	case 15, 16, 17:
		w.resend(n.address)
	case 18, 19:
		w.advance(true)
	case 20:
		w.now = w.now.Add(time.Duration(1+w.choose(200)) * time.Millisecond)
	case 21:
		w.now = w.now.Add(time.Duration(1+w.choose(5)) * time.Second)
	case 22:
		w.faultStep(n)
	case 23:
		w.abandonAttempt(n)
	case 24:
		n.appended(n.append, false)
		n.readDone(n.read, 0, noPage, errTimeout)
	default:
		n.workStep(w.choose(8))
	}
}

func (w *world) netStep(kind int) {
	i := w.choose(len(w.net))
	switch kind {
	case 12:
		w.deliver(i, true)
	case 13:
		w.drop(i)
	default:
		w.deliver(i, false)
	}
}

// newRequest sends a new action. With fewKeys it resends the first few actions, so
// that their bindings end and are made again.
func (w *world) newRequest(entry int) {
	switch {
	case !w.fewKeys:
		w.submit(entry, w.newAction(w.choose(3)))
	case len(w.actions) < 3:
		w.submit(entry, w.newAction(0))
	default:
		w.resend(entry)
	}
}

// advance advances the world for a while without faults. Unless work is set, nothing is
// handed to the backend servers and nothing ends there.
func (w *world) advance(work bool) {
	for range 8 + w.choose(16) {
		for _, n := range w.nodes {
			if n.frozen {
				continue
			}
			n.poll()
			if work {
				n.workStep(3)
				n.workStep(6 + w.choose(2))
			}
		}
		for range 3 {
			w.deliverFirst()
		}
		w.now = w.now.Add(10 * time.Millisecond)
	}
}

// deliverFirst delivers the oldest packet whose receiver is not frozen.
func (w *world) deliverFirst() {
	for i, p := range w.net {
		if p.address == toLog || !w.nodes[p.address].frozen {
			w.deliver(i, false)
			return
		}
	}
}

// resend resends a recent action if it has a key; without a key it would be a new
// request.
func (w *world) resend(entry int) {
	if len(w.actions) == 0 {
		return
	}
	act := w.actions[len(w.actions)-1-w.choose(min(4, len(w.actions)))]
	if act.key != "" {
		w.submit(entry, act)
	}
}

func (w *world) faultStep(n *node) {
	switch w.choose(4) {
	case 0:
		n.frozen = true
	case 1:
		w.start(n.address) // the state of the old incarnation is lost
	case 2:
		w.log.Outage(w.now.Add(time.Duration(w.choose(w.choose(15)+1)) * time.Second))
	case 3:
		w.log.LoseAnswers(1 + w.choose(2))
	}
}

// abandonAttempt stops waiting for an attempt, and cancels it or not.
func (w *world) abandonAttempt(n *node) {
	for seq := uint64(1); seq <= n.seq; seq++ {
		a := n.sent[seq]
		if a == nil || w.choose(2) == 1 {
			continue
		}
		if w.choose(2) == 0 {
			target := w.find(a.to)
			if target != nil {
				w.enqueue(target.address, false, func() { w.nodes[target.address].cancel(a) })
			}
			return
		}
		w.answer(a.req, verdict.MayHaveRun)
		return
	}
}

func (n *node) workStep(kind int) {
	switch {
	case kind < 3:
		n.poll()
	case kind < 5 && len(n.queue) > 0:
		n.exec(n.w.choose(len(n.queue)))
	case kind == 5 && len(n.queue) > 0:
		n.shed(n.w.choose(len(n.queue)))
	case kind == 6 && len(n.running) > 0:
		n.finish(n.w.choose(len(n.running)), verdict.Ran)
	case kind == 7 && len(n.running) > 0:
		n.finish(n.w.choose(len(n.running)), verdict.MayHaveRun)
	}
}

func (w *world) run(steps int) {
	for i := 0; i < steps && w.broken == ""; i++ {
		w.step()
	}
}

// uniformInt draws uniformly distributed integers; those of rapid are biased to small ones.
var uniformInt = rapid.Custom(func(t *rapid.T) int {
	v := 0
	for range 9 {
		v <<= 1
		if rapid.Bool().Draw(t, "bit") {
			v++
		}
	}
	return v
})

// Under random faults of the network, the nodes and the log, no action may run twice
// and no request may run after the answer NotRun.
func TestAtMostOnceAndNotRunUnderRandomFaults(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		w := newWorld(naiveVersion{}, func(n int) int { return uniformInt.Draw(t, "choice") % n })
		w.run(stepsPerSchedule)
		if w.broken != "" {
			t.Fatal(w.broken)
		}
	})
}

func randomWorld(v naiveVersion, seed uint64) *world {
	r := rand.New(rand.NewPCG(seed, 4))
	w := newWorld(v, r.IntN)
	w.run(stepsPerSchedule)
	return w
}

// Checks that the oracle detects the fault of each naive version under the random
// schedules that the package passes.
func TestRandomSchedulesBreakEachNaiveVersion(t *testing.T) {
	const seeds = 400
	for _, v := range append([]naiveVersion{{name: "ours"}}, naiveVersions()...) {
		broken, ran, notRun := 0, 0, 0
		for seed := range uint64(seeds) {
			w := randomWorld(v, seed)
			if w.broken != "" {
				broken++
			}
			ran += len(w.execs)
			for _, r := range w.reqs {
				if r.answered && r.verdict == verdict.NotRun {
					notRun++
				}
			}
		}
		t.Logf("%s: broken in %d of %d schedules; %d runs, %d answers not run", v.name, broken, seeds, ran, notRun)
		is.New(t).Equal(broken > 0, v.name != "ours")
	}
}
