package load

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

const graphText = `
service "front" {
  operation "urgent" {
    idempotent = true
    importance = "critical"
    deadline   = "1s"
    calls      = ["deep.read"]
  }
  operation "idle" {
    idempotent = true
    importance = "low"
    deadline   = "1s"
    calls      = ["deep.read"]
  }
  operation "alone" {
    idempotent = true
    importance = "low"
    deadline   = "1s"
  }
}
service "deep" {
  operation "read" {
    idempotent = true
    importance = "normal"
    deadline   = "1s"
  }
}`

func testModel(t *testing.T) Model {
	is := is.New(t)
	g, problems := graph.Parse("test", []byte(graphText))
	is.NoErr(problems.Err())
	mix, err := Resolve([]Class{
		{Service: "front", Operation: "urgent", Share: 0.4},
		{Service: "front", Operation: "idle", Share: 0.4},
		{Service: "front", Operation: "alone", Share: 0.2},
	}, g)
	is.NoErr(err)
	return Model{
		Graph: g,
		Mix:   mix,
		Slots: map[string]float64{"front": 100, "deep": 1},
		Time:  func(*rand.Rand, string, string) time.Duration { return 10 * time.Millisecond },
	}
}

// Guards against a wrong capacity limit. With a constant service time of 10 ms the one
// slot of deep serves 100 calls per second, and 0.8 of the requests make one.
func TestBestRatesFollowSlotsAndImportance(t *testing.T) {
	is := is.New(t)
	m := testModel(t)
	rate, service := m.Saturation()
	is.Equal(service, "deep")
	equalWithin(t, rate, 125)
	for _, c := range []struct{ rate, urgent, idle, alone float64 }{
		{100, 40, 40, 20},   // below capacity
		{200, 80, 20, 40},   // deep is full: idle gets the slots that urgent leaves
		{1000, 100, 0, 200}, // urgent needs all of deep; alone doesn't call it
	} {
		best := m.Best(m.Offered(c.rate))
		equalWithin(t, best[0], c.urgent)
		equalWithin(t, best[1], c.idle)
		equalWithin(t, best[2], c.alone)
	}
}

func equalWithin(t *testing.T, got, want float64) {
	t.Helper()
	if got < want-0.01 || got > want+0.01 {
		t.Errorf("got %v, want %v", got, want)
	}
}

// testRun has a request every 10 ms for 9 s, with the trigger from 3 s to 6 s.
func testRun(m Model, good func(at time.Duration) bool) *Run {
	start := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	r := &Run{
		Mix:     m.Mix,
		Before:  Span{From: start.Add(time.Second), To: start.Add(3 * time.Second)},
		Trigger: Span{From: start.Add(3 * time.Second), To: start.Add(6 * time.Second)},
		End:     start.Add(9 * time.Second),
	}
	for at := time.Duration(0); at < 9*time.Second; at += 10 * time.Millisecond {
		res := Result{Due: start.Add(at), Finished: start.Add(at + time.Millisecond), Good: good(at)}
		res.ID = at.String()
		res.Attempts = []Attempt{{Sent: res.Due, Answered: res.Finished, Status: 200, Verdict: verdict.Ran}}
		if !res.Good {
			res.Attempts[0].Status = 503
			res.Attempts[0].Verdict = verdict.NotRun
			res.Attempts[0].Reason = verdict.Shed
		}
		r.Results = append(r.Results, res)
	}
	return r
}

// Guards against a recovery time that starts elsewhere or ignores a late relapse.
func TestRecoveryTimeCountsFromTriggerEnd(t *testing.T) {
	is := is.New(t)
	m := testModel(t)
	bad := func(from, to time.Duration) func(time.Duration) bool {
		return func(at time.Duration) bool { return at < from || at >= to }
	}
	f := testRun(m, bad(3*time.Second, 6*time.Second)).Figures()
	is.True(f.Recovered)
	is.Equal(f.Recovery, time.Duration(0))
	is.Equal(f.Before, 1.0)
	is.Equal(f.Good, 0.0)
	f = testRun(m, bad(3*time.Second, 7*time.Second)).Figures()
	is.True(f.Recovered)
	is.Equal(f.Recovery, 1400*time.Millisecond) // the last window begins at 6.9 s
	f = testRun(m, bad(3*time.Second, 9*time.Second)).Figures()
	is.True(!f.Recovered)
}

// Guards against wasted slot time that isn't counted, and against a request that ran
// although its caller received "not run" and that isn't found.
func TestExecutionsAreJoinedWithResults(t *testing.T) {
	is := is.New(t)
	r := testRun(testModel(t), func(at time.Duration) bool { return at != 1500*time.Millisecond })
	for i := range 200 {
		e := backend.Execution{RequestID: r.Results[i].ID, Slot: 10 * time.Millisecond, Outcome: backend.ChildFailed}
		r.Executions = append(r.Executions, e)
	}
	f := r.Figures()
	is.Equal(f.Wasted, 0.01) // one of the 100 that were due after the first second
	is.Equal(f.WastedBy[backend.ChildFailed], 0.01)
	is.Equal(f.Untrue, 1)
	is.Equal(f.Attempts, 1.0)
}

// Guards against order violations that aren't counted: at one node and moment an important
// request is shed and a less important one that needs the same services is admitted.
func TestOrderViolationsAreFound(t *testing.T) {
	is := is.New(t)
	m := testModel(t)
	at := time.Date(2026, 12, 2, 0, 0, 0, 0, time.UTC)
	shed := Result{Attempts: []Attempt{{Sent: at, Status: 503, Verdict: verdict.NotRun, Reason: verdict.Shed}}}
	other := func(class, node int, after time.Duration, status int) Result {
		res := Result{Attempts: []Attempt{{Node: node, Sent: at.Add(after), Status: status}}}
		res.Class = class
		return res
	}
	const idle, alone = 1, 2
	for _, c := range []struct {
		other Result
		want  Orders
	}{
		{other(idle, 0, time.Millisecond, 200), Orders{Pairs: 1, Violations: 1}},
		{other(idle, 0, -time.Millisecond, 200), Orders{Pairs: 1, Violations: 1}},
		{other(idle, 0, time.Millisecond, 503), Orders{Pairs: 1}},
		{other(idle, 1, time.Millisecond, 200), Orders{}},
		{other(idle, 0, 3*time.Millisecond, 200), Orders{}},
		{other(alone, 0, time.Millisecond, 200), Orders{}},
	} {
		r := &Run{Mix: m.Mix, Results: []Result{shed, c.other}}
		is.Equal(r.countOrderViolations(), c.want)
	}
}

// Guards against different arrivals for the policies that are compared.
func TestScheduleIsRepeatable(t *testing.T) {
	is := is.New(t)
	mix := testModel(t).Mix
	phases := []Phase{{Length: 10 * time.Second, Rate: 100}, {Length: 10 * time.Second, Rate: 1000}}
	a := Schedule(phases, mix, 5, 0.5, 1)
	is.Equal(a, Schedule(phases, mix, 5, 0.5, 1))
	var late, urgent float64
	for i, arrival := range a {
		is.True(i == 0 || arrival.At > a[i-1].At)
		if arrival.At >= 10*time.Second {
			late++
		}
		if mix[arrival.Class].Importance == importance.Critical {
			urgent++
		}
	}
	is.True(late > 9500 && late < 10500)
	is.True(urgent/float64(len(a)) > 0.37 && urgent/float64(len(a)) < 0.43)
}
