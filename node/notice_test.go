package node_test

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
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

// restartBeside kills a node and starts another one beside the same backend incarnation, whose
// heartbeats say that it is ready.
func restartBeside(c *testnode.Cluster, old *testnode.Instance, script testnode.Script) *testnode.Instance {
	old.Kill()
	started := c.Add("a", script)
	started.Node.ReceiveHeartbeat(time.Now(), heartbeatOf(started, 9))
	return started
}

// heartbeatOf returns a heartbeat of the backend incarnation i-1 beside a node.
func heartbeatOf(i *testnode.Instance, sequence uint64) node.Heartbeat {
	return node.Heartbeat{Start: node.Start{ID: "i-1", Born: 7}, URL: i.Backend.URL, Slots: 16, Sequence: sequence}
}

// Guards against a node that restarts beside a limited or leaving backend server and, before
// its first answer, hands over requests of nodes that have forwarded such an answer.
func TestRestartedNodeLearnsNoticesFromItsCallers(t *testing.T) {
	for name, field := range map[string]string{"limited": "Cassialoom-Rate-Limit", "leaving": "Cassialoom-Leaving"} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startWithRoutes(t, nil)
			value := map[string]string{"limited": "0", "leaving": "1"}[name]
			var runs atomic.Int64
			script := func(_ context.Context, w *testnode.Work) testnode.Answer {
				runs.Add(1)
				return testnode.Answer{Status: 200, Header: http.Header{field: {value}}, Body: w.Body}
			}
			a := c.Add("a", script)
			a.Node.ReceiveHeartbeat(time.Now(), heartbeatOf(a, 1))
			b := c.Add("b", testnode.Echo)
			c.AwaitReady()
			a.Node.Publish(routesText{Version: 1, Services: []string{"a", "b"}}.encode(t), "store")
			testnode.Await(t, "the entry has the routes", func() bool { return b.Node.Routes() != nil })
			is.Equal(forward(b, "a", "r", "").Verdict, verdict.Ran)

			again := restartBeside(c, a, script)
			before := runs.Load()
			testnode.Await(t, "the new node gets requests", func() bool {
				forward(b, "a", "r", "")
				return again.State().Serve.Counts.Arrived > 5 || runs.Load() > before
			})
			is.Equal(runs.Load(), before)
		})
	}
}

// Guards against a backend server that is handed requests after its leaving was acknowledged,
// since a heartbeat that was received just before takes effect just after.
func TestConcurrentReportsTakeEffectInOrder(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	a := c.Add("a", testnode.Echo)
	c.AwaitReady()
	for i := range 3000 {
		beat := node.Heartbeat{Start: node.Start{ID: "i-" + strconv.Itoa(i), Born: int64(i + 1)}, URL: a.Backend.URL, Slots: 4}
		ready, draining := beat, beat
		ready.Sequence, draining.Sequence, draining.Draining = 1, 2, true
		var both sync.WaitGroup
		both.Go(func() { a.Node.ReceiveHeartbeat(time.Now(), ready) })
		both.Go(func() { a.Node.ReceiveHeartbeat(time.Now(), draining) })
		both.Wait()
		is.True(!a.State().Serve.Ready)
	}
}
