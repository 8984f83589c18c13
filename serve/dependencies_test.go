package serve

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

var deepRead = outage.Target{Service: "deep", Operation: "read"}

// lossOf refuses requests that need a target while it is set.
type lossOf struct {
	target outage.Target
	// repeatFloor is that of runs that call deepRead.
	repeatFloor uint16
}

func (l *lossOf) RefuseFor(targets []outage.Target, _ outage.Request) *verdict.Error {
	for _, target := range targets {
		if target == l.target {
			return verdict.Refuse(verdict.DependencyLost, "%s can't be reached", target).WithRetryAfter(time.Second)
		}
	}
	return nil
}

func (l *lossOf) RepeatFloor(_ time.Time, calls []outage.Target) uint16 {
	if slices.Contains(calls, deepRead) {
		return l.repeatFloor
	}
	return 0
}

// newDependentCallee returns a callee with one slot whose requests are known to call deepRead.
func newDependentCallee() (*callee, *lossOf) {
	c, loss := newCallee(1), &lossOf{}
	c.SetDependencies(loss)
	for range 20 {
		e := c.arrive(importance.Normal, time.Minute)
		c.finish(e, Result{Verdict: verdict.Ran, Status: 200, Calls: []outage.Call{{Target: deepRead, Succeeded: true}}})
	}
	return c, loss
}

func (c *callee) finish(e Effects, r Result) Effects {
	c.now = c.now.Add(10 * time.Millisecond)
	r.Latency = 10 * time.Millisecond
	return c.Done(c.now, e.Start[0].ID, r)
}

// Guards against a run that begins although a service that it needs is lost.
func TestRequestThatNeedsALostServiceDoesNotStart(t *testing.T) {
	is := is.New(t)
	c, loss := newDependentCallee()
	loss.target = deepRead
	e := c.arrive(importance.Critical, time.Minute)
	is.Equal(len(e.Start), 0)
	is.Equal(e.Replies[0].Verdict, verdict.NotRun)
	is.Equal(e.Replies[0].Reason, verdict.DependencyLost)
	is.Equal(e.Replies[0].RetryAfter, time.Second)
	is.Equal(c.Dump(c.now).Counts.DependencyLost, uint64(1))

	c.op.Name = "other"
	c.seq++
	e = c.Arrive(c.now, call.Request{From: wire.NodeID{2}, To: wire.NodeID{1}, Seq: c.seq, Service: "s", Operation: "other", Budget: time.Minute}, c.op, true)
	is.Equal(len(e.Start), 1) // calls nothing
}

// Guards against a request that starts from the queue after a service that it needs was lost.
func TestQueuedRequestThatNeedsALostServiceDoesNotStart(t *testing.T) {
	is := is.New(t)
	c, loss := newDependentCallee()
	running := c.arrive(importance.Normal, time.Minute)
	is.Equal(len(c.arrive(importance.Normal, time.Minute).Start), 0)
	loss.target = deepRead
	c.now = c.now.Add(time.Second)
	e := c.finish(running, Result{Verdict: verdict.Ran, Status: 502})
	is.Equal(len(e.Start), 0)
	is.Equal(e.Replies[len(e.Replies)-1].Reason, verdict.DependencyLost)
	is.Equal(c.TaskCount(), 0)
}

// Guards against a caller's key that is bound to a node which does not run its request.
func TestKeyOfARefusedRequestIsNotBound(t *testing.T) {
	is := is.New(t)
	c, loss := newDependentCallee()
	loss.target = deepRead
	c.seq++
	req := call.Request{From: wire.NodeID{2}, To: wire.NodeID{1}, Seq: c.seq, Service: "s", Operation: "o", Key: "own", Budget: time.Minute}
	e := c.Arrive(c.now, req, c.op, true)
	is.Equal(e.Replies[0].Reason, verdict.DependencyLost)
	_, due := c.NextBindingRecord(c.now)
	is.True(!due)
}

// Guards against a failed run that teaches that a call is not needed: it may have ended before.
func TestFailedRunsTeachNothing(t *testing.T) {
	is := is.New(t)
	c, loss := newDependentCallee()
	for range 100 {
		c.finish(c.arrive(importance.Normal, time.Minute), Result{Verdict: verdict.Ran, Status: 500})
	}
	loss.target = deepRead
	is.Equal(len(c.arrive(importance.Normal, time.Minute).Start), 0)
}

// Guards against callers that repeat attempts for whose calls this node lacks extra attempts: the
// answer of a backend server tells them, also if it declined the request before any call.
func TestAnswersTellTheRepeatFloor(t *testing.T) {
	is := is.New(t)
	c, loss := newDependentCallee()
	loss.repeatFloor = 0x8000
	for _, r := range []Result{{Verdict: verdict.Ran, Status: 200}, {Verdict: verdict.NotRun, Reason: verdict.Shed, ReachedBackend: true}} {
		e := c.finish(c.arrive(importance.Normal, time.Minute), r)
		is.Equal(e.Replies[0].RepeatFloor, uint16(0x8000))
	}
}
