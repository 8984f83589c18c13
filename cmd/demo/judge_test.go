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

const graphText = `
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
	g, problems := graph.Parse("test", []byte(graphText))
	is.New(t).NoErr(problems.Err())
	return g
}

// Guards against a demo that accepts a false verdict or a wrong answer.
func TestFalseVerdictsAreDetected(t *testing.T) {
	issue := graph.Ref{Service: "alertdesk", Operation: "issue"}
	file := graph.Ref{Service: "fieldlog", Operation: "file"}
	forecast := graph.Ref{Service: "plumecast", Operation: "forecast"}
	cases := []struct {
		name        string
		verdict     verdict.Verdict
		answerError error
		runs        map[graph.Ref]int
		want        string // text of the error; empty for none
	}{
		{"ran", verdict.Ran, nil, map[graph.Ref]int{issue: 1, file: 1, forecast: 2}, ""},
		{"not run", verdict.NotRun, nil, nil, ""},
		{"may have run", verdict.MayHaveRun, nil, map[graph.Ref]int{issue: 1}, ""},
		{"ran after not run", verdict.NotRun, nil, map[graph.Ref]int{issue: 1}, "told not run"},
		{"ran nowhere", verdict.Ran, nil, nil, "ran nowhere"},
		{"entry twice", verdict.Ran, nil, map[graph.Ref]int{issue: 2}, "alertdesk.issue ran 2 times"},
		{"call twice", verdict.MayHaveRun, nil, map[graph.Ref]int{issue: 1, file: 2}, "fieldlog.file ran 2 times"},
		{"wrong answer", verdict.Ran, errors.New("of another"), map[graph.Ref]int{issue: 1}, "of another"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			records := []*record{{operation: issue, action: "a", verdict: c.verdict, answerError: c.answerError}}
			runs := make(map[execution]int)
			for ref, n := range c.runs {
				runs[execution{operation: ref, action: "a"}] = n
			}
			err := errors.Join(checkVerdicts(records, runs), checkAtMostOnce(testGraph(t), records, runs))
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}

// Guards against accepting an answer that lacks a declared call or contains the
// answer to another request.
func TestAnswerMustBeComplete(t *testing.T) {
	is := is.New(t)
	d := &demo{graph: testGraph(t)}
	issue, _ := d.graph.Operation("alertdesk", "issue")
	const sum = "2d711642b726b04401627ca9fbac32f5c8530fb1903cc4db02258717921a4881" // SHA-256 of "x"
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
