package bench

import (
	"fmt"
	"slices"
	"strconv"
)

// samples holds the values of one figure in several repeats.
type samples []float64

// String returns the median with the lowest and the highest value.
func (s samples) String() string {
	if len(s) == 0 {
		return "not measured"
	}
	sorted := slices.Sorted(slices.Values(s))
	return fmt.Sprintf("%s (%s to %s)", formatFigure(sorted[len(sorted)/2]), formatFigure(sorted[0]), formatFigure(sorted[len(sorted)-1]))
}

// formatFigure formats x with about three digits.
func formatFigure(x float64) string {
	switch {
	case x >= 100 || x <= -100:
		return strconv.FormatFloat(x, 'f', 0, 64)
	case x >= 10 || x <= -10:
		return strconv.FormatFloat(x, 'f', 1, 64)
	default:
		return strconv.FormatFloat(x, 'f', 2, 64)
	}
}

// table collects figures by name, in the order of their first appearance.
type table struct {
	rows    []string
	columns []string
	cells   map[string]map[string]samples // by name, then by column
}

func newTable(columns []string) *table {
	return &table{columns: columns, cells: make(map[string]map[string]samples)}
}

func (t *table) add(name, column string, figure float64) {
	row, ok := t.cells[name]
	if !ok {
		row = make(map[string]samples)
		t.cells[name] = row
		t.rows = append(t.rows, name)
	}
	row[column] = append(row[column], figure)
}

// markdown returns the table in Markdown.
func (t *table) markdown() string {
	text := "| |"
	rule := "|---|"
	for _, c := range t.columns {
		text += " " + c + " |"
		rule += "---|"
	}
	text += "\n" + rule + "\n"
	for _, name := range t.rows {
		text += "| " + name + " |"
		for _, c := range t.columns {
			text += " " + t.cells[name][c].String() + " |"
		}
		text += "\n"
	}
	return text
}
