package once

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/verdict"
)

// schedule is a fixed sequence of events. run returns the last request; breaks names
// the naive versions that violate the guarantees under it.
type schedule struct {
	name    string
	run     func(w *world) *request
	verdict verdict.Verdict
	execs   int
	breaks  []string
}

const (
	noMemory  = "no memory of a refusal"
	atEntry   = "cache at the entry node"
	lastWin   = "last record wins"
	byLease   = "ownership by lease"
	ownKey    = 0
	mintedKey = 1
	noKey     = 2
)

// sendVia sends the action from the node at the address to itself.
func (w *world) sendVia(address int, act *action) *request {
	r := &request{action: act}
	w.send(w.nodes[address], w.nodes[address], r)
	return r
}

func (w *world) advanceTime(d time.Duration) { w.now = w.now.Add(d) }

// refuseWithLateCopy has node 0 refuse an attempt from node 1 and returns the request and a late
// copy of the attempt.
func refuseWithLateCopy(w *world) (*request, packet) {
	r := &request{action: w.newAction(noKey)}
	w.send(w.nodes[1], w.nodes[0], r)
	late := w.net[0]
	w.deliver(0, false)
	w.nodes[0].shed(0)
	w.deliver(0, false)
	return r, late
}

var schedules = []schedule{
	{
		// A copy of an attempt arrives after the attempt was refused.
		name: "late copy at the node that refused it",
		run: func(w *world) *request {
			r, late := refuseWithLateCopy(w)
			late.run()
			w.advance(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0, breaks: []string{noMemory},
	}, {
		// The copy names an earlier incarnation at an address that is in use
		// again.
		name: "late copy at a node that restarted since",
		run: func(w *world) *request {
			r, late := refuseWithLateCopy(w)
			w.start(0)
			late.run()
			w.advance(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0,
	}, {
		// The cancellation arrives first and is answered NotRun, so the attempt
		// must not run.
		name: "cancellation overtakes its attempt",
		run: func(w *world) *request {
			r := w.sendVia(0, w.newAction(noKey))
			w.nodes[0].cancel(w.nodes[0].sent[1])
			w.advance(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0,
	}, {
		// The second node does not see the cache of the first one.
		name: "key resent through another node",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.sendVia(0, act)
			w.advance(true)
			r := w.sendVia(1, act)
			w.advance(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{atEntry},
	}, {
		// Both nodes append a record for the key before they read one. The node
		// of the first record runs the key; the other must not.
		name: "key sent through two nodes at once",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			r := w.sendVia(1, act)
			w.deliver(0, false)
			w.nodes[1].poll()
			later := w.net[0]
			w.drop(0)
			w.nodes[1].frozen = true
			w.sendVia(0, act)
			w.advance(true)
			w.nodes[1].frozen = false
			later.run()
			w.advance(true)
			w.advance(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{atEntry, lastWin},
	}, {
		// The resend joins the running request and gets its answer.
		name: "key resent while its first run is going",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.sendVia(0, act)
			w.advance(false)
			w.nodes[0].exec(0)
			r := w.sendVia(1, act)
			w.advance(false)
			w.advance(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{atEntry},
	}, {
		// The holder pauses with the request in its queue. A lease would expire
		// meanwhile and another node would run the key; the holder then resumes
		// and runs it too.
		name: "frozen holder wakes",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.sendVia(0, act)
			w.advance(false)
			w.nodes[0].frozen = true
			w.advanceTime(leaseTTL + time.Second)
			r := w.sendVia(1, act)
			w.advance(true)
			w.nodes[0].frozen = false
			w.advance(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{byLease, atEntry},
	}, {
		// The holder has run the request and restarted. No other incarnation
		// may run it, and none knows whether it ran.
		name:    "own key resent after its node restarted",
		run:     func(w *world) *request { return resendAfterRestart(w, ownKey) },
		verdict: verdict.MayHaveRun, execs: 1, breaks: []string{atEntry},
	}, {
		name:    "minted key resent after its node restarted",
		run:     func(w *world) *request { return resendAfterRestart(w, mintedKey) },
		verdict: verdict.MayHaveRun, execs: 1,
	}, {
		// The key can't be bound, so nothing runs.
		name: "own key during a log outage",
		run: func(w *world) *request {
			w.log.Outage(w.now.Add(time.Hour))
			r := w.sendVia(0, w.newAction(ownKey))
			w.advance(true)
			w.advanceTime(w.cfg.PendingFor * 2)
			w.advance(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0,
	}, {
		// A minted key needs no log.
		name: "minted key during a log outage",
		run: func(w *world) *request {
			w.log.Outage(w.now.Add(time.Hour))
			r := w.sendVia(0, w.newAction(mintedKey))
			w.advance(true)
			return r
		},
		verdict: verdict.Ran, execs: 1,
	}, {
		// The append took effect and its answer is lost. The node reads its own
		// record and may append a second one, which has no effect.
		name: "answer of the append lost",
		run: func(w *world) *request {
			w.log.LoseAnswers(1)
			r := w.sendVia(0, w.newAction(ownKey))
			w.advance(true)
			return r
		},
		verdict: verdict.Ran, execs: 1,
	}, {
		// The binding has ended, as announced to the caller: the key is new.
		name: "own key after its binding has left the log",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.sendVia(0, act)
			w.advance(true)
			w.advanceTime(retention + time.Second)
			r := w.sendVia(1, act)
			w.advance(true)
			return r
		},
		verdict: verdict.Ran, execs: 2,
	},
}

func resendAfterRestart(w *world, kind int) *request {
	act := w.newAction(kind)
	w.sendVia(0, act)
	w.advance(true)
	w.start(0)
	r := &request{action: act}
	w.route(w.nodes[1], r)
	w.advance(true)
	return r
}

func (s schedule) in(v naiveVersion) (*world, *request) {
	w := newWorld(v, func(int) int { return 0 })
	return w, s.run(w)
}

// Each schedule must give the expected verdict and number of runs, and the naive versions
// listed for it must run an action twice or after NotRun.
func TestFixedSchedules(t *testing.T) {
	for _, s := range schedules {
		t.Run(s.name, func(t *testing.T) {
			is := is.New(t)
			w, r := s.in(naiveVersion{})
			is.Equal(w.broken, "")
			is.True(r.answered)
			is.Equal(r.verdict, s.verdict)
			is.Equal(len(r.action.execs), s.execs)
			broken := map[string]bool{}
			for _, v := range naiveVersions() {
				n, _ := s.in(v)
				broken[v.name] = n.broken != ""
			}
			for _, name := range s.breaks {
				if !broken[name] {
					t.Errorf("%s does not break", name)
				}
			}
		})
	}
}
