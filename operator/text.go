package operator

import (
	"fmt"
	"slices"
	"strings"

	"github.com/cassialoom/cassialoom/graph"
)

// Text is a file of graph text.
type Text struct {
	Name string
	Data []byte
}

// Check prints all problems and warnings of a text that contains the whole graph. If
// it has problems, the error wraps ErrRefused.
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
			deepest = max(deepest, op.CallDepth())
		}
	}
	o.printf("%s: ok, %d services, %d operations, longest chain of calls %d\n", t.Name, len(g.Services()), operations, deepest)
	return nil
}

// problems prints the problems and returns an error that wraps ErrRefused.
func (o *Operator) problems(ps graph.Problems) error {
	for _, p := range ps {
		o.printf("%s:%d: %s\n    remedy: %s\n", p.File, p.Line, p.Cause, p.Remedy)
	}
	return refused("%d problems", len(ps))
}

// warnings prints the warnings.
func (o *Operator) warnings(ps graph.Problems) {
	for _, p := range ps {
		o.printf("%s:%d: warning: %s\n    remedy: %s\n", p.File, p.Line, p.Cause, p.Remedy)
	}
}

// checkSections checks the graph of the given sections and prints its problems and
// warnings.
func (o *Operator) checkSections(t Text, sections []graph.Section) error {
	g, problems := graph.Assemble(sections)
	if len(problems) > 0 {
		return o.problems(relocate(t, sections, problems))
	}
	o.warnings(relocate(t, sections, g.Warnings()))
	return nil
}

// relocate replaces the position of a problem within a section by its position in the
// file t. Problems of a section that isn't in the file keep the section's name.
func relocate(t Text, sections []graph.Section, ps graph.Problems) graph.Problems {
	relocated := slices.Clone(ps)
	for i, p := range relocated {
		for _, s := range sections {
			if p.File != graph.SectionFile(s.Service) {
				continue
			}
			if before, found := linesBefore(string(t.Data), s.Text); found {
				relocated[i].File, relocated[i].Line = t.Name, p.Line+before
			}
		}
	}
	return relocated
}

// linesBefore returns the number of lines before a section of a file, and whether the
// file contains the section.
func linesBefore(file, section string) (int, bool) {
	at := strings.Index(file, strings.TrimRight(section, "\n"))
	if at < 0 {
		return 0, false
	}
	return strings.Count(file[:at], "\n"), true
}

// overlay returns the sections in force, without the deleted services and with those of
// the file replaced or added.
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

// contextLines is the number of unchanged lines shown before and after a change.
const contextLines = 2

// maxDiffCells limits the memory of a line diff. If it is exceeded, all lines are shown
// as removed and added.
const maxDiffCells = 4 << 20

// lineDiff returns the lines of a diff of two texts, each with the prefix "  ", "- " or
// "+ ".
func lineDiff(old, new string) []string {
	a, b := splitLines(old), splitLines(new)
	if len(a)*len(b) > maxDiffCells {
		return append(prefixLines("- ", a), prefixLines("+ ", b)...)
	}
	return trimContext(walkDiff(a, b, commonLengths(a, b)))
}

// splitLines returns the lines of s without line ends.
func splitLines(s string) []string {
	if s == "" {
		return nil
	}
	return strings.Split(strings.TrimSuffix(s, "\n"), "\n")
}

// commonLengths returns the lengths of the longest common subsequences: entry [i][j]
// is that of a[i:] and b[j:].
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

// walkDiff returns the lines of the diff for the table of commonLengths.
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
	lines = append(lines, prefixLines("- ", a[i:])...)
	return append(lines, prefixLines("+ ", b[j:])...)
}

// prefixLines returns the lines with a prefix.
func prefixLines(prefix string, lines []string) []string {
	prefixed := make([]string, len(lines))
	for i, l := range lines {
		prefixed[i] = prefix + l
	}
	return prefixed
}

// trimContext replaces unchanged lines by their number, except for contextLines around
// each change.
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
	omitted := 0
	for i, l := range lines {
		if !near[i] {
			omitted++
			continue
		}
		kept = appendGap(kept, omitted)
		omitted = 0
		kept = append(kept, l)
	}
	return appendGap(kept, omitted)
}

// appendGap appends a line with the number of omitted lines, if there are any.
func appendGap(lines []string, omitted int) []string {
	if omitted == 0 {
		return lines
	}
	return append(lines, fmt.Sprintf("  (%d unchanged lines)", omitted))
}
