package prove

import (
	"errors"
	"fmt"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/verdict"
)

// CheckHistory is the oracle. Callers resend a non-idempotent request only under
// its key, or if every verdict so far was "not run". Whatever failed, the
// following must hold:
//
//  1. After the verdict "not run" no journal has the request ID.
//  2. After the verdict "ran" a journal of the operation has the action.
//  3. A non-idempotent operation runs for one action, over all invocations, no
//     more often than the graph declares for one request.
//  4. Every complete answer belongs to its request.
func CheckHistory(g *graph.Graph, invocations []Invocation, runs []Run) error {
	return errors.Join(
		checkNotRun(invocations, runs),
		checkRan(invocations, runs),
		checkAtMostOnce(g, invocations, runs),
		checkAnswers(invocations),
	)
}

func checkNotRun(invocations []Invocation, runs []Run) error {
	ran := make(map[string]Run)
	for _, r := range runs {
		ran[r.RequestID] = r
	}
	var errs []error
	for _, s := range invocations {
		if r, found := ran[s.RequestID()]; found && s.Verdict == verdict.NotRun {
			errs = append(errs, fmt.Errorf("%s: told not run (%s: %s), but %s ran at %s, %v after the answer",
				s.RequestID(), s.Reason, s.Detail, r.Operation, r.Instance, r.Start.Sub(s.Completed)))
		}
	}
	return errors.Join(errs...)
}

// operationOfAction identifies the runs of one operation for one action.
type operationOfAction struct {
	operation graph.Ref
	action    string
}

func countRuns(runs []Run) map[operationOfAction]int {
	counts := make(map[operationOfAction]int)
	for _, r := range runs {
		counts[operationOfAction{r.Operation, r.Action}]++
	}
	return counts
}

func checkRan(invocations []Invocation, runs []Run) error {
	counts := countRuns(runs)
	var errs []error
	for _, s := range invocations {
		if s.Verdict == verdict.Ran && counts[operationOfAction{s.Operation, s.Action}] == 0 {
			errs = append(errs, fmt.Errorf("%s: told ran (%s), but ran nowhere", s.RequestID(), s.Reason))
		}
	}
	return errors.Join(errs...)
}

func checkAtMostOnce(g *graph.Graph, invocations []Invocation, runs []Run) error {
	entered := make(map[string]graph.Ref)
	for _, s := range invocations {
		entered[s.Action] = s.Operation
	}
	var errs []error
	for d, n := range countRuns(runs) {
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

// declaredRuns counts the runs of one operation in the call tree of a request.
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

func checkAnswers(invocations []Invocation) error {
	var errs []error
	for _, s := range invocations {
		if s.AnswerError != nil {
			errs = append(errs, fmt.Errorf("%s at %s: %w", s.RequestID(), s.Node, s.AnswerError))
		}
	}
	return errors.Join(errs...)
}

// Tally counts the results of a test for its log. Tests compare the counts with
// lower bounds, because a test in which nothing ran or failed shows nothing.
type Tally struct {
	Invocations, Actions, Resends     int
	ActionsToldRan, ActionsMayHaveRun int
	Ran, NotRun, MayHaveRun           int
	Executions                        int
	Reasons                           map[verdict.Reason]int
	// NotRunAfterStart counts the invocations under a key with the verdict "not
	// run" that were sent after an earlier invocation under that key had begun
	// to run, by kind of key and reason. The verdict is true of the invocation
	// alone, so that callers must remember the earlier ones.
	NotRunAfterStart map[string]int
}

// NewTally counts the results of the invocations and runs.
func NewTally(invocations []Invocation, runs []Run) Tally {
	t := Tally{
		Invocations:      len(invocations),
		Executions:       len(runs),
		Reasons:          make(map[verdict.Reason]int),
		NotRunAfterStart: make(map[string]int),
	}
	first := firstRuns(invocations, runs)
	best := make(map[string]verdict.Verdict)
	for _, s := range invocations {
		t.add(s, first)
		best[s.Action] = max(best[s.Action], s.Verdict)
	}
	t.Actions = len(best)
	for _, v := range best {
		switch v {
		case verdict.Ran:
			t.ActionsToldRan++
		case verdict.MayHaveRun:
			t.ActionsMayHaveRun++
		}
	}
	return t
}

// firstRuns returns the start of the first run under each key.
func firstRuns(invocations []Invocation, runs []Run) map[string]time.Time {
	keys := make(map[string]string)
	for _, s := range invocations {
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

func keyKindName(key string) string {
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

func (t *Tally) add(s Invocation, first map[string]time.Time) {
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
			t.NotRunAfterStart[keyKindName(s.Key)+" "+string(s.Reason)]++
		}
	default:
		t.MayHaveRun++
	}
}
