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

// routesText lists services that each serve /NAME/ of every test's one host.
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

func startRouted(t *testing.T, change func(*node.Config)) *testnode.Cluster {
	cfg := testnode.DefaultConfig()
	cfg.Change = func(c *node.Config) {
		c.DecodeRoutes = decodeTestRoutes
		c.Dispatch.Reroutes = 3
		if change != nil {
			change(c)
		}
	}
	return testnode.Start(t, cfg)
}

// forward sends a request to a service through a node.
func forward(i *testnode.Instance, service, id, parent string) call.Outcome {
	return i.Node.Forward(context.Background(), entry.Incoming{
		RequestID: id,
		Parent:    parent,
		Received:  time.Now(),
		HTTP:      call.HTTP{Method: "GET", Host: testHost, Target: "/" + service + "/x"},
	}, "/"+service+"/x")
}

// onward calls another service and answers with its answer. The call's id names
// the request that it is made for.
func onward(i **testnode.Instance, service string) testnode.Script {
	return func(_ context.Context, w *testnode.Work) testnode.Answer {
		out := forward(*i, service, w.RequestID+".c", w.RequestID)
		if out.Reason != verdict.None {
			return testnode.Answer{Status: 502}
		}
		return testnode.Answer{Status: out.Status, Body: out.Body}
	}
}

// One node reads new routes from the store, the others cannot reach it. They
// serve them, too, since peers tell each other; an older version that comes
// late, and a text that cannot be read, change nothing.
func TestRoutesReachNodesThatTheStoreDoesNot(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	a := c.Add("a", testnode.Echo)
	first := routesText{Version: 3, Services: []string{"a"}}.encode(t)
	a.Node.Publish(first, "store")
	is.Equal(a.Node.Routes().Version, uint64(3))
	b := c.Add("b", testnode.Echo)
	testnode.Await(t, "the new node has the routes", func() bool { return b.Node.Routes() != nil })

	c.AwaitWhole()
	b.Node.Publish(routesText{Version: 7, Services: []string{"a", "b"}}.encode(t), "store")
	testnode.Await(t, "replies bring the news", func() bool {
		forward(a, "a", "r", "")
		forward(b, "a", "r", "")
		forward(a, "b", "r", "")
		return a.Node.Routes().Version == 7
	})
	a.Node.Publish(first, "store")
	a.Node.Publish([]byte("{"), "store")
	is.Equal(a.Node.Routes().Version, uint64(7))
	is.Equal(a.Counters.RoutesRefused.Value(), int64(1))
	is.Equal(forward(a, "nowhere", "r", "").Reason, verdict.UnknownOperation)
}

// A request enters at one service, which calls a second, which calls a third.
// The node at the entry learns from the answer what the route leads to, with
// nothing declared. A request that claims to be a call of one that does not run
// here counts as entering here.
func TestReachIsLearnedFromAnswers(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	var top, middle *testnode.Instance
	top = c.Add("top", onward(&top, "middle"))
	middle = c.Add("middle", onward(&middle, "deep"))
	c.Add("deep", testnode.Echo)
	c.AwaitWhole()
	top.Node.Publish(routesText{Version: 1, Services: []string{"top", "middle", "deep"}}.encode(t), "store")
	testnode.Await(t, "all have the routes", func() bool {
		return forward(top, "top", "r1", "no-such-request").Status == 200
	})

	learned := map[string]string{}
	for _, r := range top.State().Routes.Reach {
		learned[strings.Fields(r.Route)[0]] = strings.Join(r.Services, " ")
	}
	is.Equal(learned["to-top"], "deep middle top")
	is.Equal(learned["to-middle"], "") // its calls entered elsewhere
}

// The backend server says that it is leaving. From the acknowledgement on it is
// handed nothing, and a heartbeat that was held up on its way, from before or
// of an earlier start, does not bring it back. The next start does.
func TestLateHeartbeatsBringNothingBack(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	a := c.Add("a", testnode.Echo)
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	beat := func(instance string, sequence uint64, leaving bool) {
		a.Node.Beat(time.Now(), node.Heartbeat{Start: node.Start{ID: instance}, URL: a.Backend.URL, Slots: 4, Sequence: sequence, Leaving: leaving})
	}
	serves := func() bool { return forward(a, "a", "r", "").Verdict == verdict.Ran }

	beat("one", 5, false)
	testnode.Await(t, "it serves", serves)
	beat("one", 6, true)
	is.True(!serves())
	beat("one", 4, false)
	beat("one", 7, false)
	is.True(!serves())
	beat("two", 1, false)
	testnode.Await(t, "the next start serves", serves)
	beat("one", 9, false)
	is.Equal(a.State().Backend.Boot, "two")
	a.Node.BackendLeaves(node.Start{ID: "two"})
	beat("two", 2, false)
	is.True(!serves())
	is.Equal(a.Counters.LateBeats.Value(), int64(4))
}

// The backend server crashes and starts again under its id; its sequence begins
// anew. It is in use from its first heartbeat on. A heartbeat and the last word of
// the start before, held up on their way, change nothing.
func TestBackendServerStartsAgainUnderItsID(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	a := c.Add("a", testnode.Echo)
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	start := func(born int64) node.Start { return node.Start{ID: "x", Born: born} }
	beat := func(born int64, sequence uint64) {
		a.Node.Beat(time.Now(), node.Heartbeat{Start: start(born), URL: a.Backend.URL, Slots: 4, Sequence: sequence})
	}
	serves := func() bool { return forward(a, "a", "r", "").Verdict == verdict.Ran }

	beat(1000, 5)
	testnode.Await(t, "it serves", serves)
	beat(2000, 1)
	testnode.Await(t, "the next start serves", serves)
	beat(1000, 6)
	a.Node.BackendLeaves(start(1000))
	is.True(serves())
	is.Equal(a.State().Backend.Born, int64(2000))
	is.Equal(a.Counters.LateBeats.Value(), int64(1))
	a.Node.BackendLeaves(start(2000))
	is.True(!serves())
}

// A node that is leaving takes requests for a while, since their callers have
// not heard that it is not ready; what comes later is refused with a promise.
func TestLeavingNodeTakesRequestsForAWhile(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, func(cfg *node.Config) { cfg.EnterGrace = 200 * time.Millisecond })
	a, b := c.Add("a", testnode.Echo), c.Add("b", testnode.Echo)
	c.AwaitWhole()
	a.Node.Publish(routesText{Version: 1, Services: []string{"b"}}.encode(t), "store")
	a.Node.Drain()
	is.Equal(forward(a, "b", "r1", "").Verdict, verdict.Ran)
	testnode.Await(t, "it is closed", func() bool {
		out := forward(a, "b", "r2", "")
		return out.Verdict == verdict.NotRun && out.Reason == verdict.Draining
	})
	is.True(b.Backend != nil)
}

// The answers of one backend server are lost: it runs what it gets and nothing
// comes back. An idempotent request is asked of the other one as well after a
// few times the usual wait, and its caller gets that answer long before the
// deadline. A request that is not idempotent is never run twice.
func TestSilentBackendServerIsHedged(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, func(cfg *node.Config) { cfg.Dispatch.Hedge = true })
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
	c.AwaitWhole()
	entering.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	for range 30 {
		is.Equal(forward(entering, "a", "warm", "").Verdict, verdict.Ran)
	}
	for range 20 {
		is.Equal(forward(entering, "a", "lost", "").Verdict, verdict.Ran)
	}
	is.True(entering.State().Dispatch.Counts.Hedges > 0)
}

// A node is restarted alone; its backend server runs all the while and beats
// only every second or so. Asked at the start, it is in use at once. What it said
// is not taken once a heartbeat has come, nor for a start that has said it leaves.
func TestBackendServerIsFoundBeforeItsHeartbeat(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	a := c.Add("a", nil)
	url := c.Add("b", testnode.Echo).Backend.URL
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	found := func(instance string) {
		a.Node.Found(time.Now(), node.Heartbeat{Start: node.Start{ID: instance}, URL: url, Slots: 4})
	}
	a.Node.BackendLeaves(node.Start{ID: "gone"})
	found("gone")
	is.True(forward(a, "a", "r", "").Verdict == verdict.NotRun)
	found("one")
	testnode.Await(t, "it serves", func() bool { return forward(a, "a", "r", "").Verdict == verdict.Ran })
	a.Node.Beat(time.Now(), node.Heartbeat{Start: node.Start{ID: "one"}, URL: url, Slots: 4}) // the first, with sequence 0
	is.Equal(a.Counters.LateBeats.Value(), int64(0))
	found("two")
	is.Equal(a.State().Backend.Boot, "one")
}

// The one backend server of a service changes hands while a request under way
// needs it. The call waits for the next one; a request that enters does not,
// and hears when to come back.
func TestCallUnderWayWaitsForABackendServer(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	var top *testnode.Instance
	top = c.Add("top", onward(&top, "deep"))
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

// A planned stop leads the callers away first: the node is not ready, but its
// backend server goes on working for the other nodes until shortly before the
// end, so that its capacity is missing for a moment only.
func TestPlannedStopKeepsTheBackendServerInUse(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, func(cfg *node.Config) { cfg.DrainAfter = 300 * time.Millisecond })
	a, b := c.Add("a", testnode.Echo), c.Add("b", testnode.Echo)
	c.AwaitWhole()
	a.Node.Publish(routesText{Version: 1, Services: []string{"b"}}.encode(t), "store")
	b.Node.Drain()
	ready, _ := b.Node.Ready()
	is.True(!ready)
	is.Equal(forward(a, "b", "r1", "").Verdict, verdict.Ran)
	testnode.Await(t, "the others know", func() bool { return forward(a, "b", "r2", "").Reason == verdict.NoBackend })
	is.NoErr(b.Node.Wait(t.Context()))
}

// A request is cancelled while its backend server waits for a call. The node
// does not answer the call in the callee's place: the backend server may go on
// without its caller, and gets the answer.
func TestCallOutlivesItsCancelledRequest(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
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
	c.AwaitWhole()
	top.Node.Publish(routesText{Version: 1, Services: []string{"top", "deep"}}.encode(t), "store")

	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan call.Outcome, 1)
	go func() {
		gone <- top.Node.Forward(ctx, entry.Incoming{
			RequestID: "r", Received: time.Now(),
			HTTP: call.HTTP{Method: "GET", Host: testHost, Target: "/top/x"},
		}, "/top/x")
	}()
	testnode.Await(t, "the call runs", func() bool { return deep.State().Serve.Running == 1 })
	cancel()
	is.Equal((<-gone).Reason, verdict.Canceled)
	testnode.Await(t, "the backend server was told", func() bool { return top.State().Serve.Running == 0 })
	close(release)
	is.Equal(string((<-got).Body), "whole")
}

// Of six nodes of the only data centre five read the store often. What one of them
// reads is in force at all, without a request between them; the sixth keeps what
// it reads to itself, since the readers have it, too.
func TestReadersTellTheOthers(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	var nodes []*testnode.Instance
	for range 6 {
		nodes = append(nodes, c.Add("a", testnode.Echo))
	}
	c.AwaitWhole()
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
