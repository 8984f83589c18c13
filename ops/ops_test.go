package ops

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

type fakeNode struct {
	why     string
	drained int
	synced  int
}

func (n *fakeNode) Ready() (bool, string)        { return n.why == "", n.why }
func (n *fakeNode) State() any                   { return struct{ Queue int }{3} }
func (n *fakeNode) Version() Version             { return Version{Node: wire.NodeID{1}, Version: 7} }
func (n *fakeNode) Members() []membership.Record { return nil }
func (n *fakeNode) Sync()                        { n.synced++ }
func (n *fakeNode) Gauges() []Gauge              { return []Gauge{{Name: "g", Value: 1.5}} }
func (n *fakeNode) Drain()                       { n.drained++ }

func (n *fakeNode) Explain(id string) []explain.Event {
	return []explain.Event{{RequestID: id, Step: explain.Shed}}
}

func ask(h http.Handler, method, path string, v any) int {
	w := httptest.NewRecorder()
	h.ServeHTTP(w, httptest.NewRequest(method, path, nil))
	if err := json.Unmarshal(w.Body.Bytes(), v); err != nil {
		panic(err)
	}
	return w.Code
}

// Guards against a wrong status or body of the operators' paths, and against a
// planned stop started by a GET.
func TestHandlerAnswers(t *testing.T) {
	is := is.New(t)
	n := &fakeNode{}
	h := New(n, &Counters{})

	var ready Readiness
	is.Equal(ask(h, "GET", "/readyz", &ready), 200)
	is.True(ready.Ready)
	n.why = "no configuration"
	is.Equal(ask(h, "GET", "/readyz", &ready), 503)
	is.Equal(ready, Readiness{Reason: "no configuration"})
	is.Equal(ask(h, "GET", "/healthz", &ready), 200) // a node that is not ready is still alive

	var v Version
	is.Equal(ask(h, "GET", "/version", &v), 200)
	is.Equal(v, n.Version())

	var members []membership.Record
	is.Equal(ask(h, "GET", "/members", &members), 200)
	is.True(members != nil) // [] and not null

	var events []explain.Event
	is.Equal(ask(h, "GET", "/explain/r:1", &events), 200)
	is.Equal(events[0].RequestID, "r:1")

	var all map[string]any
	is.Equal(ask(h, "GET", "/debug/vars", &all), 200)
	is.Equal(n.synced, 1) // the counters are current

	var wrong errorResponse
	is.Equal(ask(h, "GET", "/drain", &wrong), 405) // a GET must not stop a node
	is.Equal(n.drained, 0)
	var d Draining
	is.Equal(ask(h, "POST", "/drain", &d), 202)
	is.Equal(n.drained, 1)
	is.Equal(ask(h, "GET", "/other", &wrong), 404)
}

// Guards against nodes of one process that share counters.
func TestCountersOfTwoNodes(t *testing.T) {
	is := is.New(t)
	var a, b Counters
	a.Outcome(verdict.NotRun, verdict.Shed)
	a.Outcome(verdict.Ran, verdict.None)
	b.Outcome(verdict.Unknown, verdict.ConnectionLost)

	type counted struct {
		Cassialoom struct {
			Requests, Ran int64
			NotRun        int64 `json:"not_run"`
			MayHaveRun    int64 `json:"may_have_run"`
			Reasons       map[string]int64
		}
		Memstats map[string]any
	}
	var got counted
	is.Equal(ask(New(&fakeNode{}, &a), "GET", "/debug/vars", &got), 200)
	is.Equal(got.Cassialoom.Requests, int64(2))
	is.Equal(got.Cassialoom.Ran, int64(1))
	is.Equal(got.Cassialoom.NotRun, int64(1))
	is.Equal(got.Cassialoom.Reasons, map[string]int64{"shed": 1})
	is.True(len(got.Memstats) > 0)

	got = counted{}
	is.Equal(ask(New(&fakeNode{}, &b), "GET", "/debug/vars", &got), 200)
	is.Equal(got.Cassialoom.MayHaveRun, int64(1)) // an unknown verdict counts as may have run
}

// Guards against unbounded memory for the reasons that a faulty peer makes up.
func TestReasonsAreBounded(t *testing.T) {
	is := is.New(t)
	var c Counters
	for i := range 10 * maxReasons {
		c.Reason(verdict.Reason("made-up-" + strconv.Itoa(i)))
	}
	c.Reason("made-up-0") // known reasons keep their counters
	var got struct{ Reasons map[string]int64 }
	is.NoErr(json.Unmarshal([]byte(c.String()), &got))
	is.Equal(len(got.Reasons), maxReasons+1)
	is.Equal(got.Reasons["other"], int64(9*maxReasons))
	is.Equal(got.Reasons["made-up-0"], int64(2))
}

// Guards against a wrong text format of the metrics, and against negative latencies.
func TestMetricsFormat(t *testing.T) {
	is := is.New(t)
	c := &Counters{}
	c.Outcome(verdict.NotRun, verdict.Shed)
	c.Latencies.Observe("r", HopTotal, 20*time.Millisecond)
	c.Latencies.Observe("r", HopTotal, -time.Second) // clamped to the smallest value
	w := httptest.NewRecorder()
	New(&fakeNode{}, c).ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", nil))
	for _, want := range []string{
		"cassialoom_requests 1\n", `cassialoom_reasons{reason="shed"} 1` + "\n", "cassialoom_g 1.5\n",
		`cassialoom_latency_count{route="r",hop="whole"} 2` + "\n",
		`cassialoom_latency_seconds{route="r",hop="whole",quantile="1"} 0.02`,
	} {
		is.True(strings.Contains(w.Body.String(), want))
	}
}

// Guards against unbounded memory for the latencies of many routes: further routes
// share a histogram.
func TestLatenciesAreBounded(t *testing.T) {
	is := is.New(t)
	var l Latencies
	for i := range 1000 {
		l.Observe(fmt.Sprint("r", i), HopBackend, time.Millisecond)
	}
	all := l.Summaries()
	is.Equal(len(all), maxHistograms+1)
	is.Equal(all[0].Route, otherRoutes)
	is.Equal(all[0].Count, int64(1000-maxHistograms))
}
