package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cassialoom/cassialoom/graph"
)

// Text is a file as the operator gave it.
type Text struct {
	Name string
	Data []byte
}

// Check reports every problem of a whole text.
func (o *Operator) Check(t Text) error {
	g, problems := graph.Parse(t.Name, t.Data)
	if len(problems) > 0 {
		return o.problems(problems)
	}
	o.warnings(g.Warnings())
	operations, deepest := 0, 0
	for _, s := range g.Services() {
		operations += len(s.Operations)
		for _, op := range s.Operations {
			deepest = max(deepest, op.Height())
		}
	}
	o.printf("%s: ok, %d services, %d operations, longest chain of calls %d\n", t.Name, len(g.Services()), operations, deepest)
	return nil
}

func (o *Operator) problems(ps graph.Problems) error {
	for _, p := range ps {
		o.printf("%s:%d: %s\n    remedy: %s\n", p.File, p.Line, p.Cause, p.Remedy)
	}
	return refused("%d problems", len(ps))
}

func (o *Operator) warnings(ps graph.Problems) {
	for _, p := range ps {
		o.printf("%s:%d: warning: %s\n    remedy: %s\n", p.File, p.Line, p.Cause, p.Remedy)
	}
}

// assemble checks the graph that would be in force with the sections.
func (o *Operator) assemble(t Text, sections []graph.Section) error {
	g, problems := graph.Assemble(sections)
	if len(problems) > 0 {
		return o.problems(relocate(t, sections, problems))
	}
	o.warnings(relocate(t, sections, g.Warnings()))
	return nil
}

// relocate turns the place of a problem in a section into its place in the
// file that the section came from; a section that is only in force, and not in
// the file, keeps its name.
func relocate(t Text, sections []graph.Section, ps graph.Problems) graph.Problems {
	moved := slices.Clone(ps)
	for i, p := range moved {
		for _, s := range sections {
			if p.File != graph.SectionFile(s.Service) {
				continue
			}
			if before, found := linesBefore(string(t.Data), s.Text); found {
				moved[i].File, moved[i].Line = t.Name, p.Line+before
			}
		}
	}
	return moved
}

// linesBefore counts the lines of a file above a section.
func linesBefore(file, section string) (int, bool) {
	at := strings.Index(file, strings.TrimRight(section, "\n"))
	if at < 0 {
		return 0, false
	}
	return strings.Count(file[:at], "\n"), true
}

// overlay returns the sections in force with those of the file put over them
// and some taken out.
func overlay(inForce, file []graph.Section, deleted []string) []graph.Section {
	var merged []graph.Section
	for _, s := range inForce {
		if !slices.Contains(deleted, s.Service) && !hasSection(file, s.Service) {
			merged = append(merged, s)
		}
	}
	return append(merged, file...)
}

func hasSection(sections []graph.Section, service string) bool {
	return slices.ContainsFunc(sections, func(s graph.Section) bool { return s.Service == service })
}

const contextLines = 2 // unchanged lines shown around a change

// maxDiffCells bounds the memory of a comparison line by line; beyond it the
// texts are shown whole.
const maxDiffCells = 4 << 20

// lineDiff compares two texts line by line, with the mark of each line.
func lineDiff(old, new string) []string {
	a, b := splitLines(old), splitLines(new)
	if len(a)*len(b) > maxDiffCells {
		return append(mark("- ", a), mark("+ ", b)...)
	}
	return trimContext(walkDiff(a, b, commonLengths(a, b)))
}

func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// commonLengths returns the table of the longest common subsequence: entry
// i, j holds its length for a[i:] and b[j:].
func commonLengths(a, b []string) [][]int32 {
	table := make([][]int32, len(a)+1)
	for i := range table {
		table[i] = make([]int32, len(b)+1)
	}
	for i := len(a) - 1; i >= 0; i-- {
		for j := len(b) - 1; j >= 0; j-- {
			if a[i] == b[j] {
				table[i][j] = table[i+1][j+1] + 1
			} else {
				table[i][j] = max(table[i+1][j], table[i][j+1])
			}
		}
	}
	return table
}

func walkDiff(a, b []string, table [][]int32) []string {
	var lines []string
	i, j := 0, 0
	for i < len(a) && j < len(b) {
		switch {
		case a[i] == b[j]:
			lines = append(lines, "  "+a[i])
			i++
			j++
		case table[i+1][j] >= table[i][j+1]:
			lines = append(lines, "- "+a[i])
			i++
		default:
			lines = append(lines, "+ "+b[j])
			j++
		}
	}
	lines = append(lines, mark("- ", a[i:])...)
	return append(lines, mark("+ ", b[j:])...)
}

func mark(with string, lines []string) []string {
	marked := make([]string, len(lines))
	for i, l := range lines {
		marked[i] = with + l
	}
	return marked
}

// trimContext leaves out unchanged lines that are far from any change.
func trimContext(lines []string) []string {
	near := make([]bool, len(lines))
	for i, l := range lines {
		if strings.HasPrefix(l, "  ") {
			continue
		}
		for j := max(0, i-contextLines); j <= min(len(lines)-1, i+contextLines); j++ {
			near[j] = true
		}
	}
	var kept []string
	left := 0
	for i, l := range lines {
		if !near[i] {
			left++
			continue
		}
		kept = appendGap(kept, left)
		left = 0
		kept = append(kept, l)
	}
	return appendGap(kept, left)
}

func appendGap(lines []string, left int) []string {
	if left == 0 {
		return lines
	}
	return append(lines, fmt.Sprintf("  (%d unchanged lines)", left))
}
