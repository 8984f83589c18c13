package prove

import (
	"errors"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/verdict"
)

// An oracle that cannot fail proves nothing: each lie that a caller may be
// told has to be found, and nothing else.
func TestOracleFindsEveryLie(t *testing.T) {
	g, problems := graph.Parse("test", []byte(text))
	is.New(t).NoErr(problems.Err())
	told := func(action string, number int, ref graph.Ref, v verdict.Verdict) Sending {
		return Sending{Action: action, Number: number, Operation: ref, Verdict: v}
	}
	run := func(ref graph.Ref, id string) Run { return Run{Operation: ref, RequestID: id, Action: actionOf(id)} }
	wrong := told("a", 1, issue, verdict.Ran)
	wrong.Fault = errors.New("of another")
	for _, c := range []struct {
		name string
		told []Sending
		runs []Run
		want string // empty: nothing to find
	}{
		{"ran", []Sending{told("a", 1, issue, verdict.Ran)}, []Run{run(issue, "a:1"), run(file, "a:1"), run(latest, "a:1"), run(latest, "a:1")}, ""},
		{"not run, then ran", []Sending{told("a", 1, file, verdict.NotRun), told("a", 2, file, verdict.Ran)}, []Run{run(file, "a:2")}, ""},
		{"in doubt", []Sending{told("a", 1, file, verdict.MayHaveRun)}, []Run{run(file, "a:1")}, ""},
		{"ran after not run", []Sending{told("a", 1, file, verdict.NotRun)}, []Run{run(file, "a:1")}, "told not run"},
		{"a part ran after not run", []Sending{told("a", 1, issue, verdict.NotRun)}, []Run{run(latest, "a:1")}, "told not run"},
		{"ran nowhere", []Sending{told("a", 1, issue, verdict.Ran)}, []Run{run(file, "a:1")}, "ran nowhere"},
		{"twice for two sendings", []Sending{told("a", 1, file, verdict.MayHaveRun), told("a", 2, file, verdict.Ran)}, []Run{run(file, "a:1"), run(file, "a:2")}, "ran 2 times"},
		{"a part twice", []Sending{told("a", 1, issue, verdict.MayHaveRun)}, []Run{run(issue, "a:1"), run(file, "a:1"), run(file, "a:1")}, "fieldlog.file ran 2 times"},
		{"a read twice", []Sending{told("a", 1, latest, verdict.Ran)}, []Run{run(latest, "a:1"), run(latest, "a:1")}, ""},
		{"wrong answer", []Sending{wrong}, []Run{run(issue, "a:1")}, "of another"},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			err := Judge(g, c.told, c.runs)
			if c.want == "" {
				is.NoErr(err)
				return
			}
			is.True(err != nil)
			is.True(strings.Contains(err.Error(), c.want))
		})
	}
}
