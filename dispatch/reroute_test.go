package dispatch

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// scriptedNetwork answers the n-th attempt with the n-th reply of script, and repeats the
// last one.
type scriptedNetwork struct {
	d       *Dispatcher
	network *network
	script  []call.Reply
	asked   []wire.NodeID
	sent    []call.Request
}

func (a *scriptedNetwork) Link(_ context.Context, id wire.NodeID) (Link, error) {
	return &scriptedLink{a: a, to: id, done: make(chan struct{})}, nil
}

type scriptedLink struct {
	a    *scriptedNetwork
	to   wire.NodeID
	done chan struct{}
}

func (s *scriptedLink) Call(req call.Request) (func() bool, error) {
	r := s.a.script[min(len(s.a.asked), len(s.a.script)-1)]
	s.a.asked = append(s.a.asked, s.to)
	s.a.sent = append(s.a.sent, req)
	r.From, r.To, r.Seq, r.UnusedGrant = s.to, req.From, req.Seq, req.Grant
	s.a.d.Reply(s.to, r)
	return func() bool { return true }, nil
}

func (s *scriptedLink) Cancel(call.Cancel)    {}
func (s *scriptedLink) Done() <-chan struct{} { return s.done }
func (s *scriptedLink) Release()              {}
func (s *scriptedLink) MarkAnswered()         {}

func newScriptedNetwork(change func(*Config), script ...call.Reply) *scriptedNetwork {
	a := &scriptedNetwork{script: script}
	a.network = newNetwork(&network{})
	cfg := a.network.d.cfg
	change(&cfg)
	a.d = New(cfg, a, a.network, a.network.d.notes)
	return a
}

var (
	notOfferedReply = call.Reply{Verdict: verdict.NotRun, Reason: verdict.NoBackend}
	declinedReply   = call.Reply{Verdict: verdict.NotRun, Reason: verdict.Shed, ReachedBackend: true}
	servedReply     = call.Reply{Verdict: verdict.Ran, Status: 200}
	lostReply       = call.Reply{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}
)

// Guards against spending extra attempts on calls that nodes refused without offering them
// to their backend servers.
func TestReroutesTakeNoExtraAttempts(t *testing.T) {
	is := is.New(t)
	a := newScriptedNetwork(func(c *Config) { c.MaxReroutes = 3 }, notOfferedReply, notOfferedReply, servedReply)
	p := params(t, "once", 0)
	is.Equal(a.d.Call(t.Context(), p).Verdict, verdict.Ran)
	is.Equal(len(a.asked), 3)
	is.Equal(a.d.Counts().Retries, uint64(0))
}

// Guards against free attempts after a backend server declined: each offer takes one from
// the budget, and only those to further backend servers take one from the ledger.
func TestReoffersAreTakenFromTheBudget(t *testing.T) {
	is := is.New(t)
	a := newScriptedNetwork(func(c *Config) { c.MaxReroutes, c.MaxReoffers = 3, 5 }, declinedReply, declinedReply, declinedReply, servedReply)
	p := params(t, "once", 1)
	is.Equal(a.d.Call(t.Context(), p).Verdict, verdict.Ran)
	distinct := map[wire.NodeID]bool{}
	for _, id := range a.asked {
		distinct[id] = true
	}
	is.Equal(len(a.asked), 4)
	is.Equal(len(distinct), 2) // max-attempts of two
	is.Equal(a.d.Counts().Retries, uint64(3))
}

// Guards against endless offers of a call that all decline: reoffers and the budget limit
// them, and the outcome is "not run".
func TestReoffersAreLimited(t *testing.T) {
	is := is.New(t)
	a := newScriptedNetwork(func(c *Config) { c.MaxReoffers = 5 }, declinedReply)
	out := a.d.Call(t.Context(), params(t, "once", 1))
	is.Equal(out.Verdict, verdict.NotRun)
	is.Equal(len(a.asked), 7) // the first, one of the ledger, five reoffers
	a = newScriptedNetwork(func(c *Config) { c.MaxReoffers, c.Budget.Burst, c.Budget.MinPerSecond = 5, 2, 0 }, declinedReply)
	a.d.Call(t.Context(), params(t, "once", 1))
	is.Equal(len(a.asked), 3)
}

// Guards against repeats that look like first attempts, so that the calls of their runs are not
// counted as extra attempts: an attempt is marked after one that may have reached a backend
// server, whether that ran it, declined it or lost it.
func TestRepeatsAreMarked(t *testing.T) {
	for name, arrived := range map[string]call.Reply{"lost": lostReply, "declined": declinedReply} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			marks := func(script ...call.Reply) (marked []bool) {
				a := newScriptedNetwork(func(c *Config) { c.MaxReroutes = 3 }, script...)
				is.Equal(a.d.Call(t.Context(), params(t, "safe", 2)).Status, 200)
				for _, req := range a.sent {
					marked = append(marked, req.Repeat)
				}
				return marked
			}
			is.Equal(marks(notOfferedReply, arrived, servedReply), []bool{false, false, true})
			is.Equal(marks(arrived, notOfferedReply, servedReply), []bool{false, true, true})
		})
	}
}

// Guards against a repeat that looks like a first attempt since a node refused the hedge, while
// the attempt before it has no answer yet.
func TestAttemptAfterARefusedHedgeIsMarked(t *testing.T) {
	is := is.New(t)
	a := newAttempts(params(t, "safe", 2))
	d := newScriptedNetwork(func(*Config) {}, servedReply).d
	rest := make(chan call.Reply, 1)
	rest <- notOfferedReply
	is.Equal(d.firstUsable(&a, lostReply, rest).Reason, notOfferedReply.Reason)
	is.True(a.reached)
}

// Guards against refusing a call of an admitted request by an admission level, which would
// waste the request; all its calls carry the id that sets their priority.
func TestCallsOfAdmittedRequestsPassTheLevels(t *testing.T) {
	is := is.New(t)
	shed := servedReply
	shed.Levels = []call.Level{{Service: "s", Priority: 60000}}
	a := newScriptedNetwork(func(*Config) {}, shed)
	p := params(t, "safe", 0)
	p.FromCaller = true
	is.Equal(a.d.Call(t.Context(), p).Verdict, verdict.Ran)
	is.Equal(a.d.Call(t.Context(), p).Reason, verdict.Shed) // it has received the level
	p.Admitted, p.RootRequestID = true, "root"
	is.Equal(a.d.Call(t.Context(), p).Verdict, verdict.Ran)
	is.Equal(a.sent[len(a.sent)-1].RootID(), "root")
}

// Guards against accepting requests of a failing route. Calls of admitted requests and
// requests that fail at their own backend server are not deferred.
func TestRequestsAreDeferredWhileTheirRouteFails(t *testing.T) {
	is := is.New(t)
	failing := call.Reply{Verdict: verdict.Ran, Status: 500, SlotTimeUsed: []call.SlotTime{{Service: "below"}}}
	enter := func(a *scriptedNetwork) call.Outcome {
		p := params(t, "once", 0)
		p.FromCaller, p.CallerDeadline = true, 6*time.Second
		return a.d.Call(t.Context(), p)
	}
	a := newScriptedNetwork(func(c *Config) { c.RouteHealth = admission.DefaultRouteHealthConfig() }, failing)
	for range 10 {
		enter(a)
	}
	out := enter(a)
	is.Equal(out.Verdict, verdict.NotRun)
	is.Equal(out.Reason, verdict.Shed)
	is.True(out.RetryAfter > time.Second)
	asked := len(a.asked)
	p := params(t, "once", 0)
	p.Admitted, p.CallerDeadline = true, 6*time.Second
	is.Equal(a.d.Call(t.Context(), p).Status, 500)
	is.Equal(len(a.asked), asked+1)

	alone := call.Reply{Verdict: verdict.Ran, Status: 500}
	a = newScriptedNetwork(func(c *Config) { c.RouteHealth = admission.DefaultRouteHealthConfig() }, alone)
	for range 20 {
		is.Equal(enter(a).Status, 500)
	}
}

// Guards against a node that can't tell by which level a request was admitted: entering
// requests and their calls carry the admitted levels.
func TestRequestsCarryAdmittedLevels(t *testing.T) {
	is := is.New(t)
	low := servedReply
	low.Levels = []call.Level{{Service: "s", Priority: 1}}
	a := newScriptedNetwork(func(*Config) {}, low)
	p := params(t, "safe", 0)
	p.FromCaller = true
	is.Equal(a.d.Call(t.Context(), p).Verdict, verdict.Ran)
	is.Equal(a.d.Call(t.Context(), p).Verdict, verdict.Ran)
	is.Equal(a.sent[0].AdmittedLevel("s"), uint16(0)) // no level received yet
	is.Equal(a.sent[1].AdmittedLevel("s"), uint16(1))
	p.FromCaller, p.Admitted, p.RootRequestID = false, true, "root"
	p.AdmittedLevels = []call.Level{{Service: "below", Priority: 9}}
	is.Equal(a.d.Call(t.Context(), p).Verdict, verdict.Ran)
	is.Equal(a.sent[2].AdmittedLevel("below"), uint16(9))
	is.Equal(a.sent[2].RootRequestID, "root") // sets the priority of the request
}
