package main

import (
	"fmt"
	"strings"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/rig/load"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
)

// cell is one figure of a run.
type cell struct {
	name   string
	format string
	value  float64
	// brief figures are also printed during the measurement.
	brief bool
}

type row []cell

// neverRecovered is the value of a recovery that did not happen within the run.
const neverRecovered = -1

func newRow(f load.Figures) row {
	recovery := f.Recovery.Seconds()
	if !f.Recovered {
		recovery = neverRecovered
	}
	best := 0.0
	for _, rate := range f.BestBy {
		best += rate
	}
	r := row{
		{"offered/s", "%.0f", f.Offered, true},
		{"good/s", "%.0f", f.Good, true},
		{"best/s", "%.0f", best, true},
		{"in order, % of best", "%.1f", 100 * f.InOrder, true},
	}
	for level := importance.Count - 1; level >= 0; level-- {
		name := importance.Importance(level).String()
		r = append(r,
			cell{name + " good/s", "%.0f", f.GoodBy[level], false},
			cell{name + " best/s", "%.0f", f.BestBy[level], false})
	}
	for _, outcome := range []backend.Outcome{backend.Done, backend.ChildFailed, backend.Expired, backend.Canceled} {
		r = append(r, cell{"wasted " + string(outcome) + ", %", "%.1f", 100 * f.WastedBy[outcome], false})
	}
	return append(r,
		cell{"before, % good", "%.1f", 100 * f.Before, true},
		cell{"wasted slot time, %", "%.1f", 100 * f.Wasted, true},
		cell{"attempts/request", "%.2f", f.Attempts, true},
		cell{"runs/request", "%.2f", f.Runs, false},
		cell{"recovery s (-1: not)", "%.1f", recovery, true},
		cell{"order pairs", "%.0f", float64(f.Orders.Pairs), true},
		cell{"order violations", "%.0f", float64(f.Orders.Violations), true},
		cell{"refusal p99 ms", "%.1f", float64(f.Refusal.Microseconds()) / 1000, true},
		cell{"refusals", "%.0f", float64(f.Refusals), false},
		cell{"shed before", "%.0f", float64(f.ShedBefore), true},
		cell{"median ms before", "%.1f", float64(f.Median.Microseconds()) / 1000, false},
		cell{"p99 ms before", "%.1f", float64(f.P99.Microseconds()) / 1000, false},
		cell{"sent late p99 ms", "%.1f", float64(f.Late.Microseconds()) / 1000, true},
		cell{"wrong answers", "%.0f", float64(f.Wrong), true},
		cell{"untrue not run", "%.0f", float64(f.Untrue), true},
	)
}

// short returns the brief figures as one line.
func (r row) short() string {
	var parts []string
	for _, c := range r {
		if c.brief {
			parts = append(parts, c.name+" "+fmt.Sprintf(c.format, c.value))
		}
	}
	return strings.Join(parts, " | ")
}

// spread formats the median of sorted values, with minimum and maximum if they
// differ.
func (c cell) spread(sorted []float64) string {
	median := fmt.Sprintf(c.format, sorted[len(sorted)/2])
	low, high := fmt.Sprintf(c.format, sorted[0]), fmt.Sprintf(c.format, sorted[len(sorted)-1])
	if low == high {
		return median
	}
	return fmt.Sprintf("%s (%s to %s)", median, low, high)
}
