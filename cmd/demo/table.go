package main

import (
	"fmt"
	"os"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// printRecords prints a table with a line for each request.
func printRecords(records []*record) {
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "   caller\toperation\taction\tverdict\treason\tattempts\tms\tanswer")
	for _, r := range records {
		fmt.Fprintf(w, "   %s\t%s\t%s\t%s\t%s\t%d\t%.1f\t%s\n", r.caller, r.operation, r.name(),
			r.verdict, r.reason, r.attempts, float64(r.took.Microseconds())/1000, r.answerText())
	}
	w.Flush()
}

func (r *record) name() string {
	if r.resend {
		return r.action + " (sent again)"
	}
	return r.action
}

func (r *record) answerText() string {
	switch {
	case r.answerError != nil:
		return "WRONG: " + r.answerError.Error()
	case r.body != "":
		return "complete"
	default:
		return r.detail
	}
}

// symbol returns the letter for a request in the output of printTraffic.
func (r *record) symbol() byte {
	switch {
	case r.answerError != nil:
		return '!'
	case r.verdict == verdict.Ran:
		return 'R'
	case r.verdict == verdict.NotRun:
		return 'N'
	default:
		return 'M'
	}
}

// printTraffic prints a line with a letter for each request of a caller, then a
// table of the requests that did not get their answer.
func printTraffic(records []*record) {
	fmt.Println("   each request in order: R ran, N not run, M may have run, ! wrong answer")
	lines := make(map[string][]byte)
	slowest := make(map[string]time.Duration)
	var odd []*record
	for _, r := range records {
		lines[r.caller] = append(lines[r.caller], r.symbol())
		slowest[r.caller] = max(slowest[r.caller], r.took)
		if r.symbol() != 'R' {
			odd = append(odd, r)
		}
	}
	names := make([]string, 0, len(lines))
	for name := range lines {
		names = append(names, name)
	}
	slices.Sort(names)
	for _, name := range names {
		fmt.Printf("   %s  %s (slowest %d ms)\n", name, lines[name], slowest[name].Milliseconds())
	}
	if len(odd) > 0 {
		printRecords(odd)
	}
}

// printVerdicts prints the number of requests by operation and verdict.
func printVerdicts(records []*record) {
	type row struct{ ran, notRun, mayHaveRun int }
	rows := make(map[string]*row)
	var names []string
	for _, r := range records {
		name := r.operation.String()
		if rows[name] == nil {
			rows[name] = &row{}
			names = append(names, name)
		}
		switch r.verdict {
		case verdict.Ran:
			rows[name].ran++
		case verdict.NotRun:
			rows[name].notRun++
		default:
			rows[name].mayHaveRun++
		}
	}
	slices.Sort(names)
	w := tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "   operation\tran\tnot run\tmay have run")
	for _, name := range names {
		fmt.Fprintf(w, "   %s\t%d\t%d\t%d\n", name, rows[name].ran, rows[name].notRun, rows[name].mayHaveRun)
	}
	w.Flush()
}

func indent(text string) string {
	var b strings.Builder
	for line := range strings.Lines(text) {
		b.WriteString("   " + strings.TrimRight(line, "\n") + "\n")
	}
	return b.String()
}
