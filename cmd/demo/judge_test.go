package main

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/caller"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

const text = `
service "alertdesk" {
  operation "issue" {
    idempotent = false
    importance = "high"
    deadline   = "1s"
    calls      = ["fieldlog.file", "plumecast.forecast"]
  }
}
service "fieldlog" {
  operation "file" {
    idempotent = false
    importance = "high"
    deadline   = "1s"
  }
}
service "plumecast" {
  operation "forecast" {
    idempotent = true
    importance = "high"
    deadline   = "1s"
  }
}`

func testGraph(t *testing.T) *graph.Graph {
	g, problems := graph.Parse("test", []byte(text))
	is.New(t).NoErr(problems.Err())
	return g
}

// A demo that cannot fail shows nothing: each lie that a caller may be told
// has to be found.
func TestJudgeFindsEveryLie(t *testing.T) {
	issue := graph.Ref{Service: "alertdesk", Operation: "issue"}
	file := graph.Ref{Service: "fieldlog", Operation: "file"}
	forecast := graph.Ref{Service: "plumecast", Operation: "forecast"}
	cases := []struct {
		name    string
		verdict verdict.Verdict
		fault   error
		runs    map[graph.Ref]int
		want    string // empty: nothing to find
	}{
		{"ran", verdict.Ran, nil, map[graph.Ref]int{issue: 1, file: 1, forecast: 2}, ""},
		{"not run", verdict.NotRun, nil, nil, ""},
		{"may have run", verdict.MayHaveRun, nil, map[graph.Ref]int{issue: 1}, ""},
		{"ran after not run", verdict.NotRun, nil, map[graph.Ref]int{issue: 1}, "said not run"},
		{"ran nowhere", verdict.Ran, nil, nil, "ran nowhere"},
		{"entry twice", verdict.Ran, nil, map[graph.Ref]int{issue: 2}, "alertdesk.issue ran 2 times"},
		{"call twice", verdict.MayHaveRun, nil, map[graph.Ref]int{issue: 1, file: 2}, "fieldlog.file ran 2 times"},
		{"wrong answer", verdict.Ran, errors.New("of another"), map[graph.Ref]int{issue: 1}, "of another"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			records := []*record{{operation: issue, action: "a", verdict: c.verdict, fault: c.fault}}
			runs := make(map[execution]int)
			for ref, n := range c.runs {
				runs[execution{operation: ref, action: "a"}] = n
			}
			err := errors.Join(judgeVerdicts(records, runs), judgeTwice(testGraph(t), records, runs))
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// An answer that lacks one of the declared calls, or holds that of another
// request, is not complete.
func TestAnswerMustBeComplete(t *testing.T) {
	is := is.New(t)
	d := &demo{graph: testGraph(t)}
	issue, _ := d.graph.Operation("alertdesk", "issue")
	const sum = "2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881" // of "x"
	check := func(change func(*backend.Answer)) error {
		a := backend.Answer{Service: "alertdesk", Operation: "issue", BodySHA256: sum, Children: []backend.Answer{
			{Service: "fieldlog", Operation: "file", BodySHA256: sum},
			{Service: "plumecast", Operation: "forecast", BodySHA256: sum},
		}}
		change(&a)
		raw, err := json.Marshal(a)
		is.NoErr(err)
		return d.checkAnswer(issue, &caller.Response{Status: 200, Body: raw}, []byte("x"))
	}
	is.NoErr(check(func(*backend.Answer) {}))
	is.True(check(func(a *backend.Answer) { a.Children = a.Children[:1] }) != nil)
	is.True(check(func(a *backend.Answer) { a.Children[0], a.Children[1] = a.Children[1], a.Children[0] }) != nil)
	is.True(check(func(a *backend.Answer) { a.Children[1].BodySHA256 = "other" }) != nil)
}
