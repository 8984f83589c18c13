package prove

import (
	"errors"
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/verdict"
)

// Judge is the oracle. Callers send a non-idempotent request again only under
// its key, or after nothing but "not run". Then three things must hold,
// whatever failed meanwhile:
//
//  1. What was told "not run" ran nowhere: no journal has its request id.
//  2. What was told "ran" is in a journal of its operation.
//  3. A non-idempotent operation ran for one action no more often than one
//     request of it is declared to run it, over all sendings.
//
// and every complete answer is the one to its own request.
func Judge(g *graph.Graph, sendings []Sending, runs []Run) error {
	return errors.Join(
		judgeNotRun(sendings, runs),
		judgeRan(sendings, runs),
		judgeTwice(g, sendings, runs),
		judgeAnswers(sendings),
	)
}

func judgeNotRun(sendings []Sending, runs []Run) error {
	ran := make(map[string]Run)
	for _, r := range runs {
		ran[r.RequestID] = r
	}
	var errs []error
	for _, s := range sendings {
		if r, found := ran[s.RequestID()]; found && s.Verdict == verdict.NotRun {
			errs = append(errs, fmt.Errorf("%s was told not run (%s: %s) but ran as %s at %s, %v after the caller heard",
				s.RequestID(), s.Reason, s.Detail, r.Operation, r.Instance, r.Start.Sub(s.Heard)))
		}
	}
	return errors.Join(errs...)
}

// did names what a non-idempotent operation may do once.
type did struct {
	operation graph.Ref
	action    string
}

func count(runs []Run) map[did]int {
	counts := make(map[did]int)
	for _, r := range runs {
		counts[did{r.Operation, r.Action}]++
	}
	return counts
}

func judgeRan(sendings []Sending, runs []Run) error {
	counts := count(runs)
	var errs []error
	for _, s := range sendings {
		if s.Verdict == verdict.Ran && counts[did{s.Operation, s.Action}] == 0 {
			errs = append(errs, fmt.Errorf("%s was told ran (%s) but ran nowhere", s.RequestID(), s.Reason))
		}
	}
	return errors.Join(errs...)
}

func judgeTwice(g *graph.Graph, sendings []Sending, runs []Run) error {
	entered := make(map[string]graph.Ref)
	for _, s := range sendings {
		entered[s.Action] = s.Operation
	}
	var errs []error
	for d, n := range count(runs) {
		op, ok := g.Operation(d.operation.Service, d.operation.Operation)
		if !ok || op.Idempotent {
			continue
		}
		if declared := declaredRuns(g, entered[d.action], d.operation); n > declared {
			errs = append(errs, fmt.Errorf("%s ran %d times for action %s, %d declared", d.operation, n, d.action, declared))
		}
	}
	return errors.Join(errs...)
}

// declaredRuns counts the runs of one operation in the tree of a request.
func declaredRuns(g *graph.Graph, entry, of graph.Ref) int {
	op, ok := g.Operation(entry.Service, entry.Operation)
	if !ok {
		return 0
	}
	n := 0
	if entry == of {
		n = 1
	}
	for _, ref := range op.Calls {
		n += declaredRuns(g, ref, of)
	}
	return n
}

func judgeAnswers(sendings []Sending) error {
	var errs []error
	for _, s := range sendings {
		if s.Fault != nil {
			errs = append(errs, fmt.Errorf("%s at %s: %w", s.RequestID(), s.Node, s.Fault))
		}
	}
	return errors.Join(errs...)
}

// Tally sums up a run for people, so that a test that proved nothing, because
// nothing ran or nothing failed, is seen.
type Tally struct {
	Sendings, Actions, Resends   int
	ActionsToldRan, ActionsDoubt int
	Ran, NotRun, MayHaveRun      int
	Executions                   int
	Reasons                      map[verdict.Reason]int
	// Hidden are the sendings under a key that were told "not run", which is
	// true of each of them, after the key's request had begun to run for an
	// earlier one; by the kind of key and the reason. A caller that forgot its
	// earlier sendings would be misled.
	Hidden map[string]int
}

// Count makes the tally.
func Count(sendings []Sending, runs []Run) Tally {
	t := Tally{
		Sendings:   len(sendings),
		Executions: len(runs),
		Reasons:    make(map[verdict.Reason]int),
		Hidden:     make(map[string]int),
	}
	first := firstRuns(sendings, runs)
	best := make(map[string]verdict.Verdict)
	for _, s := range sendings {
		t.add(s, first)
		best[s.Action] = max(best[s.Action], s.Verdict)
	}
	t.Actions = len(best)
	for _, v := range best {
		switch v {
		case verdict.Ran:
			t.ActionsToldRan++
		case verdict.MayHaveRun:
			t.ActionsDoubt++
		}
	}
	return t
}

// firstRuns returns when each key's request began to run.
func firstRuns(sendings []Sending, runs []Run) map[string]time.Time {
	keys := make(map[string]string)
	for _, s := range sendings {
		keys[s.RequestID()] = s.Key
	}
	first := make(map[string]time.Time)
	for _, r := range runs {
		key := keys[r.RequestID]
		if at, ok := first[key]; !ok || r.Start.Before(at) {
			first[key] = r.Start
		}
	}
	delete(first, "")
	return first
}

func kindOf(key string) string {
	info, err := once.ParseKey(key)
	switch {
	case err != nil:
		return "no"
	case info.Minted:
		return "minted"
	default:
		return "own"
	}
}

func (t *Tally) add(s Sending, first map[string]time.Time) {
	if s.Number > 1 {
		t.Resends++
	}
	if s.Reason != verdict.None {
		t.Reasons[s.Reason]++
	}
	switch s.Verdict {
	case verdict.Ran:
		t.Ran++
	case verdict.NotRun:
		t.NotRun++
		if at, ok := first[s.Key]; ok && at.Before(s.Sent) {
			t.Hidden[kindOf(s.Key)+" "+string(s.Reason)]++
		}
	default:
		t.MayHaveRun++
	}
}
