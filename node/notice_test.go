package node_test

import (
	"context"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against requests to a backend server that says in its answers, and in no heartbeat,
// that it is leaving.
func TestServerThatLeavesByItsAnswersGetsNoMoreRequests(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	var leaving atomic.Bool
	var runs atomic.Int64
	a := c.Add("a", func(_ context.Context, w *testnode.Work) testnode.Answer {
		runs.Add(1)
		answer := testnode.OK(w.Body)
		if leaving.Load() {
			answer.Header = http.Header{"Cassialoom-Leaving": {"1"}}
		}
		return answer
	})
	b := c.Add("b", testnode.Echo)
	c.AwaitReady()
	a.Node.Publish(routesText{Version: 1, Services: []string{"a", "b"}}.encode(t), "store")
	testnode.Await(t, "the entry has the routes", func() bool { return forward(b, "a", "r", "").Verdict == verdict.Ran })

	leaving.Store(true)
	is.Equal(forward(b, "a", "r", "").Verdict, verdict.Ran)
	before := runs.Load()
	for range 20 {
		is.Equal(forward(b, "a", "r", "").Verdict, verdict.NotRun)
	}
	is.Equal(runs.Load(), before)
}
