package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against a node that refuses all requests of a new backend incarnation, since a request
// of the earlier one that was lost in its crash is reported late.
func TestLateCrashReportDoesNotStopTheNextIncarnation(t *testing.T) {
	is := is.New(t)
	c := newCallee(8)
	lost := c.arrive(importance.Normal, time.Minute).Start[0]
	c.now = c.now.Add(time.Second)
	c.BackendRestarted(c.now)
	c.SetReady(c.now, true)
	c.Done(c.now, lost.ID, Result{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Crashed: true})
	is.Equal(len(c.arrive(importance.Normal, time.Minute).Start), 1)
	is.Equal(c.counts.Crashes, uint64(1))
}
