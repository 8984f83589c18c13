package prove

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against an oracle that accepts a false verdict or a wrong answer, or
// rejects a correct history.
func TestOracleDetectsFalseVerdicts(t *testing.T) {
	g, problems := graph.Parse("test", []byte(graphText))
	is.New(t).NoErr(problems.Err())
	invoked := func(action string, number int, ref graph.Ref, v verdict.Verdict) Invocation {
		return Invocation{Action: action, Number: number, Operation: ref, Verdict: v}
	}
	run := func(ref graph.Ref, id string) Run { return Run{Operation: ref, RequestID: id, Action: actionOf(id)} }
	wrong := invoked("a", 1, issueOp, verdict.Ran)
	wrong.AnswerError = errors.New("of another")
	for _, c := range []struct {
		name    string
		invoked []Invocation
		runs    []Run
		want    string // text of the error; empty for none
	}{
		{"ran", []Invocation{invoked("a", 1, issueOp, verdict.Ran)}, []Run{run(issueOp, "a:1"), run(fileOp, "a:1"), run(latestOp, "a:1"), run(latestOp, "a:1")}, ""},
		{"not run, then ran", []Invocation{invoked("a", 1, fileOp, verdict.NotRun), invoked("a", 2, fileOp, verdict.Ran)}, []Run{run(fileOp, "a:2")}, ""},
		{"in doubt", []Invocation{invoked("a", 1, fileOp, verdict.MayHaveRun)}, []Run{run(fileOp, "a:1")}, ""},
		{"ran after not run", []Invocation{invoked("a", 1, fileOp, verdict.NotRun)}, []Run{run(fileOp, "a:1")}, "told not run"},
		{"a part ran after not run", []Invocation{invoked("a", 1, issueOp, verdict.NotRun)}, []Run{run(latestOp, "a:1")}, "told not run"},
		{"ran nowhere", []Invocation{invoked("a", 1, issueOp, verdict.Ran)}, []Run{run(fileOp, "a:1")}, "ran nowhere"},
		{"twice for two invocations", []Invocation{invoked("a", 1, fileOp, verdict.MayHaveRun), invoked("a", 2, fileOp, verdict.Ran)}, []Run{run(fileOp, "a:1"), run(fileOp, "a:2")}, "ran 2 times"},
		{"a part twice", []Invocation{invoked("a", 1, issueOp, verdict.MayHaveRun)}, []Run{run(issueOp, "a:1"), run(fileOp, "a:1"), run(fileOp, "a:1")}, "fieldlog.file ran 2 times"},
		{"a read twice", []Invocation{invoked("a", 1, latestOp, verdict.Ran)}, []Run{run(latestOp, "a:1"), run(latestOp, "a:1")}, ""},
		{"wrong answer", []Invocation{wrong}, []Run{run(issueOp, "a:1")}, "of another"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := CheckHistory(g, c.invoked, c.runs)
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
