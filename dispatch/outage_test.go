package dispatch

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/verdict"
)

// callOfRun returns the parameters of a call of a run of a node with 8 slots.
func callOfRun(t *testing.T, run uint64, imp importance.Importance) Params {
	p := params(t, "once", 0)
	p.ForRun, p.RunID, p.Slots, p.Importance = true, run, 8, imp
	p.Deadline = time.Now().Add(5 * time.Second)
	return p
}

// newRequest is a request that is about to run at a node with 8 slots.
var newRequest = outage.Request{Runs: true, Slots: 8, Priority: 1}

// Guards against runs that wait for a lost service in most slots of their node. The more
// important ones wait, the others give up at once.
func TestFewRunsWaitForALostService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now().Add(time.Hour))
		var all sync.WaitGroup
		waited := make([]time.Duration, 7)
		for run := 1; run <= 6; run++ {
			imp := importance.Normal
			if run > 4 {
				imp = importance.Critical
			}
			p := callOfRun(t, uint64(run), imp)
			start := time.Now()
			all.Go(func() {
				out := n.d.Call(t.Context(), p)
				waited[run] = time.Since(start)
				is.Equal(out.Verdict, verdict.NotRun)
				is.Equal(out.Reason, verdict.ConnectionLost)
				is.True(out.RetryAfter > 0)
			})
			time.Sleep(600 * time.Millisecond)
		}
		all.Wait()
		is.Equal(waited[3:5], []time.Duration{0, 0}) // the first two hold a quarter of the slots
		is.True(waited[1] < 4*time.Second)           // they end for the critical ones
		is.True(waited[2] < 4*time.Second)
		is.True(waited[5] > 4*time.Second)
		is.True(waited[6] > 4*time.Second)
		is.Equal(n.d.Outages(time.Now()).Waiting, 0)
	})
}

// Guards against a node that drains giving up the calls of its last runs, although no other
// request needs their slots.
func TestAllRunsOfADrainingNodeWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now().Add(3 * time.Second))
		var all sync.WaitGroup
		for run := range uint64(20) {
			p := callOfRun(t, run, importance.Normal)
			p.Slots = 0
			p.RequestID = fmt.Sprint("r", run)
			all.Go(func() { is.Equal(n.d.Call(t.Context(), p).Verdict, verdict.Ran) })
		}
		all.Wait()
	})
}

// Guards against requests that start although their call of a lost service is certain to fail,
// and against a return that only a failing request can notice.
func TestRequestsThatNeedALostServiceAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		up := time.Now().Add(10 * time.Second)
		n := newNetworkDownUntil(up)
		p := callOfRun(t, 1, importance.Normal)
		needed := []outage.Target{{Service: p.Operation.Service, Operation: p.Operation.Name}}
		is.True(n.d.RefuseFor(needed, newRequest) == nil)
		n.d.Call(t.Context(), p)

		for time.Now().Before(up) {
			err := n.d.RefuseFor(needed, newRequest)
			is.True(err != nil)
			is.Equal(err.Verdict, verdict.NotRun)
			is.Equal(err.Reason, verdict.DependencyLost)
			is.True(err.RetryAfter > 0)
			probeLost(t, n.d)
			time.Sleep(10 * time.Millisecond)
		}
		probeLost(t, n.d)
		is.True(n.d.RefuseFor(needed, newRequest) == nil)
		changes := n.d.OutageChanges()
		is.Equal(len(changes), 2)
		is.True(changes[0].Lost)
		is.True(!changes[1].Lost)
	})
}

// probeLost probes the lost services once.
func probeLost(t *testing.T, d *Dispatcher) {
	for _, service := range d.ServicesToProbe() {
		d.Probe(t.Context(), service)
	}
}

// Guards against a service whose callees refuse for a lost service of theirs being called by
// runs that are certain to fail.
func TestLossIsLearnedFromRefusals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now())
		lost := true
		n.script = func() event {
			if lost {
				return refusedForDependency
			}
			return answered
		}
		p := params(t, "once", 4)
		other := outage.Target{Service: p.Operation.Service, Operation: "other"}
		needed := []outage.Target{{Service: p.Operation.Service, Operation: p.Operation.Name}}
		out := n.d.Call(t.Context(), p)
		is.Equal(out.Reason, verdict.DependencyLost)
		is.True(n.d.RefuseFor(needed, newRequest) != nil)
		is.True(n.d.RefuseFor([]outage.Target{other}, newRequest) == nil)

		lost = false
		time.Sleep(time.Second)
		is.True(n.d.RefuseFor(needed, newRequest) == nil) // let through
		is.True(n.d.RefuseFor(needed, newRequest) != nil)
		p.ForRun = true
		is.Equal(n.d.Call(t.Context(), p).Verdict, verdict.Ran)
		is.True(n.d.RefuseFor(needed, newRequest) == nil)
	})
}

// Guards against a slot that counts as waiting while its call runs elsewhere.
func TestSentCallDoesNotWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now().Add(time.Second))
		n.forge = func(call.Request) []forgery {
			is.Equal(n.d.Outages(time.Now()).Waiting, 1) // ends once the call is queued
			return nil
		}
		is.Equal(n.d.Call(t.Context(), callOfRun(t, 1, importance.Normal)).Verdict, verdict.Ran)
		is.Equal(n.d.Outages(time.Now()).Waiting, 0)
	})
}
