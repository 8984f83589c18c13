package once

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/verdict"
)

// schedule is a sequence of steps, shrunk by hand from the random ones. It
// returns the last request; the naive versions named do break on it.
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

// via sends the action through the node at the address, to itself.
func (w *world) via(address int, act *action) *request {
	r := &request{action: act}
	w.send(w.nodes[address], w.nodes[address], r)
	return r
}

func (w *world) wait(d time.Duration) { w.now = w.now.Add(d) }

// refuse lets node 0 refuse an attempt by node 1 and returns a late copy of it.
func refuse1(w *world) (*request, packet) {
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
		// The caller is told "not run" and sends a new request; then a copy
		// of the refused attempt comes out of the network.
		name: "late copy at the node that refused it",
		run: func(w *world) *request {
			r, late := refuse1(w)
			late.run()
			w.flow(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0, breaks: []string{noMemory},
	}, {
		// As before, but the node restarts: the copy names an incarnation
		// that is gone, on an address that is in use again.
		name: "late copy at a node that restarted since",
		run: func(w *world) *request {
			r, late := refuse1(w)
			w.start(0)
			late.run()
			w.flow(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0,
	}, {
		// The cancellation is faster than its attempt and is answered "not
		// run", so the attempt must not run when it comes.
		name: "cancellation overtakes its attempt",
		run: func(w *world) *request {
			r := w.via(0, w.newAction(noKey))
			w.nodes[0].cancel(w.nodes[0].sent[1])
			w.flow(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0,
	}, {
		// The second node does not know the first one's cache.
		name: "key resent through another node",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.via(0, act)
			w.flow(true)
			r := w.via(1, act)
			w.flow(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{atEntry},
	}, {
		// Both nodes append for the key before they know of each other. The
		// first one reads its record back and runs; the later record is the
		// other's.
		name: "key sent through two nodes at once",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			r := w.via(1, act)
			w.deliver(0, false)
			w.nodes[1].poll()
			later := w.net[0]
			w.drop(0)
			w.nodes[1].frozen = true
			w.via(0, act)
			w.flow(true)
			w.nodes[1].frozen = false
			later.run()
			w.flow(true)
			w.flow(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{atEntry, lastWin},
	}, {
		// The resend waits for the run that is going on and gets its answer.
		name: "key resent while its first run is going",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.via(0, act)
			w.flow(false)
			w.nodes[0].exec(0)
			r := w.via(1, act)
			w.flow(false)
			w.flow(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{atEntry},
	}, {
		// The holder is paused with the request in its queue. A lease lapses
		// meanwhile and another node runs the key; the holder wakes and runs
		// what it had accepted.
		name: "frozen holder wakes",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.via(0, act)
			w.flow(false)
			w.nodes[0].frozen = true
			w.wait(leaseLife + time.Second)
			r := w.via(1, act)
			w.flow(true)
			w.nodes[0].frozen = false
			w.flow(true)
			return r
		},
		verdict: verdict.Ran, execs: 1, breaks: []string{byLease, atEntry},
	}, {
		// The holder has run the request and is gone. Nobody else may run it,
		// and nobody knows whether it ran.
		name:    "own key resent after its node restarted",
		run:     func(w *world) *request { return restart(w, ownKey) },
		verdict: verdict.MayHaveRun, execs: 1, breaks: []string{atEntry},
	}, {
		name:    "minted key resent after its node restarted",
		run:     func(w *world) *request { return restart(w, mintedKey) },
		verdict: verdict.MayHaveRun, execs: 1,
	}, {
		// No binding can be made, so nothing runs.
		name: "own key during a log outage",
		run: func(w *world) *request {
			w.log.Outage(w.now.Add(time.Hour))
			r := w.via(0, w.newAction(ownKey))
			w.flow(true)
			w.wait(w.cfg.PendingFor * 2)
			w.flow(true)
			return r
		},
		verdict: verdict.NotRun, execs: 0,
	}, {
		// A minted key needs no log.
		name: "minted key during a log outage",
		run: func(w *world) *request {
			w.log.Outage(w.now.Add(time.Hour))
			r := w.via(0, w.newAction(mintedKey))
			w.flow(true)
			return r
		},
		verdict: verdict.Ran, execs: 1,
	}, {
		// The append took effect, its answer did not come: the node finds its
		// own record and may append a second one, which changes nothing.
		name: "answer of the append lost",
		run: func(w *world) *request {
			w.log.LoseAnswers(1)
			r := w.via(0, w.newAction(ownKey))
			w.flow(true)
			return r
		},
		verdict: verdict.Ran, execs: 1,
	}, {
		// The promise has ended, as the caller was told: the key is new.
		name: "own key after its binding has left the log",
		run: func(w *world) *request {
			act := w.newAction(ownKey)
			w.via(0, act)
			w.flow(true)
			w.wait(retention + time.Second)
			r := w.via(1, act)
			w.flow(true)
			return r
		},
		verdict: verdict.Ran, execs: 2,
	},
}

func restart(w *world, kind int) *request {
	act := w.newAction(kind)
	w.via(0, act)
	w.flow(true)
	w.start(0)
	r := &request{action: act}
	w.route(w.nodes[1], r)
	w.flow(true)
	return r
}

func (s schedule) in(v naiveVersion) (*world, *request) {
	w := newWorld(v, func(int) int { return 0 })
	return w, s.run(w)
}

// Each schedule tells what happens in what order. Ours gives the caller the
// verdict that is true and keeps the count of runs; the naive versions that a
// schedule was shrunk for run an action twice, or one that was "not run".
func TestKeptSchedules(t *testing.T) {
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
