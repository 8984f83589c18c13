package serve

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against a third crash: a retry that overtakes the notices of a crash starts like any
// other request at each further node.
func TestRetryCarriesTheSuspicion(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 4)
	action := m.newAction()
	var suspicions []poison.Notice
	crashes := 0
	to := 0
	for range 6 { // no notice is delivered but those that replies and attempts carry
		req := m.send(action, to, "", importance.Normal).req
		req.Suspicions = suspicions
		e := m.servers[to].Arrive(m.now, req, m.op, true)
		if len(e.Start) > 0 {
			crashes++
			lost := Result{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Crashed: true}
			e = m.servers[to].Done(m.now, e.Start[0].ID, lost)
		}
		is.Equal(len(e.Replies), 1)
		if carried := e.Replies[0].Suspicions; len(carried) > 0 {
			suspicions = carried
		}
		to = m.next(to, e.Replies[0])
	}
	is.Equal(crashes, 2)
}

// next returns the node of the next attempt: the one that the reply names, or else another.
func (m *machine) next(to int, r call.Reply) int {
	for i, id := range m.ids {
		if id == r.BoundTo {
			return i
		}
	}
	return (to + 1) % len(m.ids)
}

// Guards against a crashing request that is cleared by a run that ended before its crash, at the
// deadline or with a failed call: its copies would run like any others again.
func TestRunsCutShortClearNoSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		result  Result
		cleared bool
	}{
		"success":                  {Result{Verdict: verdict.Ran, Status: 200}, true},
		"client error":             {Result{Verdict: verdict.Ran, Status: 404}, true},
		"failure of its own":       {Result{Verdict: verdict.Ran, Status: 500}, true},
		"success without a call":   {Result{Verdict: verdict.Ran, Status: 200, CallsFailed: true}, true},
		"deadline":                 {Result{Verdict: verdict.Ran, Status: 504}, false},
		"failed call":              {Result{Verdict: verdict.Ran, Status: 500, CallsFailed: true}, false},
		"answer broken off":        {Result{Verdict: verdict.Ran, Status: 200, Reason: verdict.Incomplete}, false},
		"no answer, still at work": {Result{Verdict: verdict.MayHaveRun, Reason: verdict.Deadline}, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			l := newIsolationLoad(1)
			l.send(1)
			is.Equal(len(l.running), 1)
			is.True(l.running[0].mustIsolate)
			l.apply(l.Done(l.now, l.running[0].ID, c.result))
			is.Equal(l.guard.Check(l.now, 1) == poison.Normal, c.cleared)
		})
	}
}
