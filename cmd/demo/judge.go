package main

import (
	"context"
	"errors"
	"fmt"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

// execution identifies the runs of an operation for an action.
type execution struct {
	operation graph.Ref
	action    string
}

// checkHistory compares the callers' records with the journals of all backend
// servers, including the killed one.
func (d *demo) checkHistory(context.Context) error {
	runs := make(map[execution]int)
	total := 0
	for _, i := range d.cluster.Instances {
		list, err := backend.ReadJournal(i.Journal)
		if err != nil {
			return err
		}
		for _, e := range list {
			ref := graph.Ref{Service: i.Service, Operation: e.Operation}
			runs[execution{operation: ref, action: e.Action}]++
		}
		total += len(list)
	}
	printVerdicts(d.records)
	fmt.Printf("   %d executions in the journals of %d backend servers\n", total, len(d.cluster.Instances))
	return errors.Join(checkVerdicts(d.records, runs), checkAtMostOnce(d.graph, d.records, runs))
}

// checkVerdicts returns an error for each false verdict and for each answer that
// is incomplete or belongs to another request.
func checkVerdicts(records []*record, runs map[execution]int) error {
	var err error
	for _, r := range records {
		n := runs[execution{operation: r.operation, action: r.action}]
		if r.verdict == verdict.NotRun && n > 0 && !r.resend {
			err = errors.Join(err, fmt.Errorf("%s, %s: told not run, ran %d times", r.operation, r.action, n))
		}
		if r.verdict == verdict.Ran && n == 0 {
			err = errors.Join(err, fmt.Errorf("%s, %s: told ran, ran nowhere", r.operation, r.action))
		}
		if r.answerError != nil {
			err = errors.Join(err, fmt.Errorf("%s, %s: %w", r.operation, r.action, r.answerError))
		}
	}
	return err
}

// checkAtMostOnce returns an error for each non-idempotent operation that ran for
// an action more often than the graph declares.
func checkAtMostOnce(g *graph.Graph, records []*record, runs map[execution]int) error {
	var err error
	judged := make(map[string]bool)
	for _, r := range records {
		entry, ok := g.Operation(r.operation.Service, r.operation.Operation)
		if !ok || judged[r.action] {
			continue
		}
		judged[r.action] = true
		for ref, declared := range declaredRuns(g, entry) {
			n := runs[execution{operation: ref, action: r.action}]
			if n > declared {
				err = errors.Join(err, fmt.Errorf("%s ran %d times for action %s, %d declared", ref, n, r.action, declared))
			}
		}
	}
	return err
}

// declaredRuns counts the runs of each non-idempotent operation in the call tree
// of a request.
func declaredRuns(g *graph.Graph, entry *graph.Operation) map[graph.Ref]int {
	counts := make(map[graph.Ref]int)
	var visit func(o *graph.Operation)
	visit = func(o *graph.Operation) {
		if !o.Idempotent {
			counts[o.Ref()]++
		}
		for _, ref := range o.Calls {
			if next, ok := g.Operation(ref.Service, ref.Operation); ok {
				visit(next)
			}
		}
	}
	visit(entry)
	return counts
}
