package dispatch

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against extra attempts whose runs make calls for which no extra attempts are left: an
// attempt is not repeated below the floor that the callee's node tells.
func TestAttemptIsNotRepeatedBelowTheFloorOfTheCallee(t *testing.T) {
	for name, test := range map[string]struct {
		importance importance.Importance
		asked      int
	}{"below": {importance.Normal, 1}, "above": {importance.Critical, 3}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			declined := declinedReply
			declined.RepeatFloor = 0xf000
			a := newScriptedNetwork(func(*Config) {}, declined)
			p := params(t, "safe", 2)
			p.Importance = test.importance
			p.RequestID = requestAbove(p, 0xf000, test.importance == importance.Critical)
			for range 100 { // the floor is an average
				a.d.receiveRepeatFloor(p, replyFrom(declined))
			}
			a.d.Call(t.Context(), p)
			is.Equal(len(a.asked), test.asked)
		})
	}
}

// requestAbove returns the id of a request whose priority is at least floor, or below it.
func requestAbove(p Params, floor uint16, above bool) string {
	for {
		p.RequestID += "x"
		if (p.priority() >= floor) == above {
			return p.RequestID
		}
	}
}

// replyFrom returns r as a reply of a node.
func replyFrom(r call.Reply) call.Reply {
	r.From[0] = 1
	return r
}

// Guards against a floor that no reply can lower, since no attempt is made below it.
func TestFloorOfACalleeEnds(t *testing.T) {
	is := is.New(t)
	f := make(repeatFloors)
	start := time.Now()
	op := outage.Target{Service: "s", Operation: "safe"}
	f.record(start, op, 0x8000)
	is.True(f.at(start, op) > 0)
	is.Equal(f.at(start.Add(2*floorTTL), op), uint16(0))
	for range 100 {
		f.record(start, op, 0)
	}
	is.Equal(f.at(start, op), uint16(0))
}

// Guards against repeats far above a service without extra attempts, and against nodes of a
// cycle that keep up each other's floors.
func TestFloorIsForwardedToCallers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		a := newScriptedNetwork(func(c *Config) {
			c.Budget.Window, c.Budget.Burst = 10*time.Second, 0
		}, servedReply)
		p := params(t, "safe", 0)
		callee := []outage.Target{p.target()}
		is.Equal(a.d.RepeatFloor(time.Now(), callee), uint16(0))
		a.d.SetForwarded([]string{"s"})
		now := time.Now()
		budget := a.d.budgets.ForService(now, "s")
		for range 100 {
			budget.RecordCall(now)
		}
		is.Equal(a.d.RepeatFloor(now, callee), uint16(0))
		for budget.TryTake(now, 1<<16-1) {
		}
		is.Equal(a.d.RepeatFloor(now, callee), uint16(1<<16-1))
		a.d.SetForwarded(nil) // s calls back to this node's service
		is.Equal(a.d.RepeatFloor(now, callee), uint16(0))
	})
}

// Guards against a call of a repeated run that exceeds the extra attempts allowed: it is refused
// before it is sent, as not run.
func TestCallOfARepeatedRunNeedsAnExtraAttempt(t *testing.T) {
	is := is.New(t)
	a := newScriptedNetwork(func(c *Config) { c.Budget.Window, c.Budget.Burst = 10*time.Second, 1 }, servedReply)
	p := params(t, "safe", 0)
	p.ForRun, p.Admitted, p.Repeat = true, true, true
	is.Equal(a.d.Call(t.Context(), p).Status, 200)
	out := a.d.Call(t.Context(), p)
	is.Equal(out.Verdict, verdict.NotRun)
	is.True(out.RetryAfter > 0)
	is.Equal(len(a.asked), 1)
	p.Repeat = false
	is.Equal(a.d.Call(t.Context(), p).Status, 200)
}
