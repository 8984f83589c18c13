package bench

import (
	"fmt"
	"slices"
	"strconv"
)

// spread is one figure of several repeats.
type spread []float64

// String is the median with the lowest and the highest.
func (s spread) String() string {
	if len(s) == 0 {
		return "not measured"
	}
	sorted := slices.Sorted(slices.Values(s))
	return fmt.Sprintf("%s (%s to %s)", short(sorted[len(sorted)/2]), short(sorted[0]), short(sorted[len(sorted)-1]))
}

// short keeps about three digits.
func short(x float64) string {
	switch {
	case x >= 100 || x <= -100:
		return strconv.FormatFloat(x, 'f', 0, 64)
	case x >= 10 || x <= -10:
		return strconv.FormatFloat(x, 'f', 1, 64)
	default:
		return strconv.FormatFloat(x, 'f', 2, 64)
	}
}

// table collects figures under names, in the order in which they first came.
type table struct {
	names   []string
	columns []string
	cells   map[string]map[string]spread // by name, then by column
}

func newTable(columns []string) *table {
	return &table{columns: columns, cells: make(map[string]map[string]spread)}
}

func (t *table) add(name, column string, figure float64) {
	row, ok := t.cells[name]
	if !ok {
		row = make(map[string]spread)
		t.cells[name] = row
		t.names = append(t.names, name)
	}
	row[column] = append(row[column], figure)
}

// markdown returns the table for a page.
func (t *table) markdown() string {
	text := "| |"
	rule := "|---|"
	for _, c := range t.columns {
		text += " " + c + " |"
		rule += "---|"
	}
	text += "\n" + rule + "\n"
	for _, name := range t.names {
		text += "| " + name + " |"
		for _, c := range t.columns {
			text += " " + t.cells[name][c].String() + " |"
		}
		text += "\n"
	}
	return text
}
