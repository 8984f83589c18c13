package node_test

import (
	"context"
	"encoding/json"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/verdict"
)

// routesText is a version of the routes: each service NAME serves testHost/NAME/.
type routesText struct {
	Version  uint64
	Services []string
}

const testHost = "x.example"

func (r routesText) encode(t testing.TB) []byte {
	text, err := json.Marshal(r)
	if err != nil {
		t.Fatal(err)
	}
	return text
}

func decodeTestRoutes(text []byte) (*routes.Table, error) {
	var r routesText
	if err := json.Unmarshal(text, &r); err != nil {
		return nil, err
	}
	var list []routes.Route
	for _, s := range r.Services {
		list = append(list, routes.Route{
			Name: "to-" + s, Host: testHost, Prefix: "/" + s + "/", Idempotent: true, Timeout: 5 * time.Second,
			MaxAttempts: 2, Shares: []routes.Share{{Service: s, Weight: 1}},
		})
	}
	return routes.New(r.Version, list, routes.Limits{MaxHeaderBytes: 1, HeaderTimeout: 1, IdleTimeout: 1})
}

// startWithRoutes starts a cluster of nodes that serve published routes. change, if not
// nil, changes the configuration of each node.
func startWithRoutes(t *testing.T, change func(*node.Config)) *testnode.Cluster {
	cfg := testnode.DefaultConfig()
	cfg.Change = func(c *node.Config) {
		c.DecodeRoutes = decodeTestRoutes
		c.Dispatch.MaxReroutes = 3
		if change != nil {
			change(c)
		}
	}
	return testnode.Start(t, cfg)
}

// forward sends a request to a service through a node. parent names the request that
// it is a call of, empty for none.
func forward(i *testnode.Instance, service, id, parent string) call.Outcome {
	return i.Node.Forward(context.Background(), entry.Incoming{
		RequestID: id,
		Parent:    parent,
		Received:  time.Now(),
		HTTP:      call.HTTP{Method: "GET", Host: testHost, Target: "/" + service + "/x"},
	}, "/"+service+"/x")
}

// proxyCall calls another service through node i, with the running request as parent,
// and responds with its answer.
func proxyCall(i **testnode.Instance, service string) testnode.Script {
	return func(_ context.Context, w *testnode.Work) testnode.Answer {
		out := forward(*i, service, w.RequestID+".c", w.RequestID)
		if out.Reason != verdict.None {
			return testnode.Answer{Status: 502}
		}
		return testnode.Answer{Status: out.Status, Body: out.Body}
	}
}

// Nodes that cannot reach the store get new routes from their peers. An older version
// and a text that cannot be decoded are ignored.
func TestRoutesSpreadWithoutTheStore(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	a := c.Add("a", testnode.Echo)
	first := routesText{Version: 3, Services: []string{"a"}}.encode(t)
	a.Node.Publish(first, "store")
	is.Equal(a.Node.Routes().Version, uint64(3))
	b := c.Add("b", testnode.Echo)
	testnode.Await(t, "the new node has the routes", func() bool { return b.Node.Routes() != nil })

	c.AwaitReady()
	b.Node.Publish(routesText{Version: 7, Services: []string{"a", "b"}}.encode(t), "store")
	testnode.Await(t, "replies announce the new version", func() bool {
		forward(a, "a", "r", "")
		forward(b, "a", "r", "")
		forward(a, "b", "r", "")
		return a.Node.Routes().Version == 7
	})
	a.Node.Publish(first, "store")
	a.Node.Publish([]byte("{"), "store")
	is.Equal(a.Node.Routes().Version, uint64(7))
	is.Equal(a.Counters.RoutesRejected.Value(), int64(1))
	is.Equal(forward(a, "nowhere", "r", "").Reason, verdict.UnknownOperation)
}

// The entry node records the services that a route reaches from the replies. A request
// whose parent does not run at the node counts as a caller's request.
func TestReachIsRecordedFromReplies(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	var top, middle *testnode.Instance
	top = c.Add("top", proxyCall(&top, "middle"))
	middle = c.Add("middle", proxyCall(&middle, "deep"))
	c.Add("deep", testnode.Echo)
	c.AwaitReady()
	top.Node.Publish(routesText{Version: 1, Services: []string{"top", "middle", "deep"}}.encode(t), "store")
	testnode.Await(t, "all have the routes", func() bool {
		return forward(top, "top", "r1", "no-such-request").Status == 200
	})

	learned := map[string]string{}
	for _, r := range top.State().Routes.Reach {
		learned[strings.Fields(r.Route)[0]] = strings.Join(r.Services, " ")
	}
	is.Equal(learned["to-top"], "deep middle top")
	is.Equal(learned["to-middle"], "") // its requests entered at other nodes
}

// A backend server that has announced its stop gets no requests, even if a delayed
// heartbeat of it or of an earlier backend incarnation arrives. The next one does.
func TestLateHeartbeatsReviveNoBackendServer(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	a := c.Add("a", testnode.Echo)
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	beat := func(instance string, sequence uint64, leaving bool) {
		a.Node.ReceiveHeartbeat(time.Now(), node.Heartbeat{Start: node.Start{ID: instance}, URL: a.Backend.URL, Slots: 4, Sequence: sequence, Draining: leaving})
	}
	serves := func() bool { return forward(a, "a", "r", "").Verdict == verdict.Ran }

	beat("one", 5, false)
	testnode.Await(t, "the first backend incarnation serves", serves)
	beat("one", 6, true)
	is.True(!serves())
	beat("one", 4, false)
	beat("one", 7, false)
	is.True(!serves())
	beat("two", 1, false)
	testnode.Await(t, "the next backend incarnation serves", serves)
	beat("one", 9, false)
	is.Equal(a.State().Backend.Incarnation, "two")
	a.Node.BackendStopped(node.Start{ID: "two"})
	beat("two", 2, false)
	is.True(!serves())
	is.Equal(a.Counters.LateHeartbeats.Value(), int64(4))
}

// A backend server that restarts with the same ID is in use from its first heartbeat.
// Delayed messages of the previous backend incarnation change nothing.
func TestBackendServerRestartsWithSameID(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	a := c.Add("a", testnode.Echo)
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	start := func(born int64) node.Start { return node.Start{ID: "x", Born: born} }
	beat := func(born int64, sequence uint64) {
		a.Node.ReceiveHeartbeat(time.Now(), node.Heartbeat{Start: start(born), URL: a.Backend.URL, Slots: 4, Sequence: sequence})
	}
	serves := func() bool { return forward(a, "a", "r", "").Verdict == verdict.Ran }

	beat(1000, 5)
	testnode.Await(t, "the first backend incarnation serves", serves)
	beat(2000, 1)
	testnode.Await(t, "the next backend incarnation serves", serves)
	beat(1000, 6)
	a.Node.BackendStopped(start(1000))
	is.True(serves())
	is.Equal(a.State().Backend.Born, int64(2000))
	is.Equal(a.Counters.LateHeartbeats.Value(), int64(1))
	a.Node.BackendStopped(start(2000))
	is.True(!serves())
}

// A draining node accepts requests for CallerGrace, since callers may not know yet that
// it is not ready. Later requests are refused as not run.
func TestDrainingNodeAcceptsRequestsDuringEnterGrace(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.CallerGrace = 200 * time.Millisecond })
	a, b := c.Add("a", testnode.Echo), c.Add("b", testnode.Echo)
	c.AwaitReady()
	a.Node.Publish(routesText{Version: 1, Services: []string{"b"}}.encode(t), "store")
	a.Node.Drain()
	is.Equal(forward(a, "b", "r1", "").Verdict, verdict.Ran)
	testnode.Await(t, "the node refuses requests", func() bool {
		out := forward(a, "b", "r2", "")
		return out.Verdict == verdict.NotRun && out.Reason == verdict.Draining
	})
	is.True(b.Backend != nil)
}

// An idempotent request whose backend server does not answer is hedged: another
// backend server runs it as well, and the caller gets that answer before the deadline.
func TestSilentBackendServerIsHedged(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.Dispatch.Hedge = true })
	release := make(chan struct{})
	defer close(release)
	lossy := func(ctx context.Context, w *testnode.Work) testnode.Answer {
		if w.RequestID == "lost" {
			select {
			case <-ctx.Done():
			case <-release:
			}
		}
		return testnode.OK(nil)
	}
	entering := c.Add("entry", testnode.Echo)
	c.Add("a", lossy)
	c.Add("a", testnode.Echo)
	c.AwaitReady()
	entering.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	for range 30 {
		is.Equal(forward(entering, "a", "warm", "").Verdict, verdict.Ran)
	}
	for range 20 {
		is.Equal(forward(entering, "a", "lost", "").Verdict, verdict.Ran)
	}
	is.True(entering.State().Dispatch.Counts.Hedges > 0)
}

// A node that restarts uses a running backend server before its first heartbeat. A state
// found that way does not replace a heartbeat or revive a backend incarnation that left.
func TestBackendServerIsInUseBeforeItsFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	a := c.Add("a", nil)
	url := c.Add("b", testnode.Echo).Backend.URL
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	found := func(instance string) {
		a.Node.BackendFound(time.Now(), node.Heartbeat{Start: node.Start{ID: instance}, URL: url, Slots: 4})
	}
	a.Node.BackendStopped(node.Start{ID: "gone"})
	found("gone")
	is.True(forward(a, "a", "r", "").Verdict == verdict.NotRun)
	found("one")
	testnode.Await(t, "the backend server is in use", func() bool { return forward(a, "a", "r", "").Verdict == verdict.Ran })
	a.Node.ReceiveHeartbeat(time.Now(), node.Heartbeat{Start: node.Start{ID: "one"}, URL: url, Slots: 4}) // the first, with sequence 0
	is.Equal(a.Counters.LateHeartbeats.Value(), int64(0))
	found("two")
	is.Equal(a.State().Backend.Incarnation, "one")
}

// A call of a running request waits for a backend server of the called service. A
// caller's request is refused with a Retry-After instead.
func TestCallUnderWayWaitsForABackendServer(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	var top *testnode.Instance
	top = c.Add("top", proxyCall(&top, "deep"))
	top.Node.Publish(routesText{Version: 1, Services: []string{"top", "deep"}}.encode(t), "store")
	testnode.Await(t, "the top is in use", func() bool { return forward(top, "top", "r", "").Verdict == verdict.Ran || top.State().Backend.Ready })

	out := make(chan call.Outcome, 1)
	go func() { out <- forward(top, "top", "waits", "") }()
	testnode.Await(t, "the request runs", func() bool { return top.State().Serve.Running == 1 })
	refused := forward(top, "deep", "enters", "")
	is.Equal(refused.Reason, verdict.NoBackend)
	is.True(refused.RetryAfter > 0)
	c.Add("deep", testnode.Echo)
	is.Equal((<-out).Status, 200)
}

// During DrainAfter of a planned stop the node is not ready for callers, but its
// backend server still runs requests of other nodes.
func TestPlannedStopKeepsTheBackendServerInUse(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.DrainAfter = 300 * time.Millisecond })
	a, b := c.Add("a", testnode.Echo), c.Add("b", testnode.Echo)
	c.AwaitReady()
	a.Node.Publish(routesText{Version: 1, Services: []string{"b"}}.encode(t), "store")
	b.Node.Drain()
	ready, _ := b.Node.Ready()
	is.True(!ready)
	is.Equal(forward(a, "b", "r1", "").Verdict, verdict.Ran)
	testnode.Await(t, "the other node knows of the drain", func() bool { return forward(a, "b", "r2", "").Reason == verdict.NoBackend })
	is.NoErr(b.Node.Wait(t.Context()))
}

// The cancellation of a request does not end a call that its backend server has made:
// a backend server that continues gets the callee's answer.
func TestCallOutlivesItsCancelledRequest(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	var top *testnode.Instance
	got := make(chan call.Outcome, 1)
	top = c.Add("top", func(_ context.Context, w *testnode.Work) testnode.Answer {
		got <- forward(top, "deep", w.RequestID+".c", w.RequestID)
		return testnode.OK(nil)
	})
	release := make(chan struct{})
	deep := c.Add("deep", func(context.Context, *testnode.Work) testnode.Answer {
		<-release
		return testnode.OK([]byte("whole"))
	})
	c.AwaitReady()
	top.Node.Publish(routesText{Version: 1, Services: []string{"top", "deep"}}.encode(t), "store")

	ctx, cancel := context.WithCancel(t.Context())
	cancelled := make(chan call.Outcome, 1)
	go func() {
		cancelled <- top.Node.Forward(ctx, entry.Incoming{
			RequestID: "r", Received: time.Now(),
			HTTP: call.HTTP{Method: "GET", Host: testHost, Target: "/top/x"},
		}, "/top/x")
	}()
	testnode.Await(t, "the call runs", func() bool { return deep.State().Serve.Running == 1 })
	cancel()
	is.Equal((<-cancelled).Reason, verdict.Canceled)
	testnode.Await(t, "the request is cancelled", func() bool { return top.State().Serve.Running == 0 })
	close(release)
	is.Equal(string((<-got).Body), "whole")
}

// Five of six nodes of the only data centre are readers. Routes that one of them reads
// from the store come into force at all nodes without any request between them.
func TestReadersPublishToOtherNodes(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, nil)
	var nodes []*testnode.Instance
	for range 6 {
		nodes = append(nodes, c.Add("a", testnode.Echo))
	}
	c.AwaitReady()
	slices.SortFunc(nodes, func(a, b *testnode.Instance) int {
		switch x, y := a.Node.Reader(), b.Node.Reader(); {
		case x == y:
			return 0
		case x:
			return -1
		}
		return 1
	})
	for i, n := range nodes {
		is.Equal(n.Node.Reader(), i < 5)
	}
	nodes[1].Node.Publish(routesText{Version: 5, Services: []string{"a"}}.encode(t), node.SourceStore)
	testnode.Await(t, "all have the routes", func() bool {
		return !slices.ContainsFunc(nodes, func(n *testnode.Instance) bool { return n.Node.Routes() == nil })
	})
}
