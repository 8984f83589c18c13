package graph

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Problem is a reason why a text is invalid, or a warning about a valid text.
type Problem struct {
	// File is the name of the file, or SectionFile for a section.
	File string
	// Line starts at 1.
	Line  int
	Cause string
	// Remedy tells the operator what to change.
	Remedy string
}

// String returns the problem on one line, with position, cause and remedy.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s; remedy: %s", p.File, p.Line, p.Cause, p.Remedy)
}

// Problems lists problems or warnings. Functions that validate a text return no
// problems if it is valid.
type Problems []Problem

// Err returns the problems as one error, or nil if there are none.
func (ps Problems) Err() error {
	if len(ps) == 0 {
		return nil
	}
	return errors.New(ps.String())
}

// String returns one line for each problem.
func (ps Problems) String() string {
	lines := make([]string, len(ps))
	for i, p := range ps {
		lines[i] = p.String()
	}
	return strings.Join(lines, "\n")
}

func (ps *Problems) add(file string, line int, remedy, cause string, args ...any) {
	*ps = append(*ps, Problem{File: file, Line: line, Cause: fmt.Sprintf(cause, args...), Remedy: remedy})
}

// sortAndCut sorts the problems by file, in the order of files, and line. It cuts
// the list to MaxProblems; the last entry then counts the omitted problems.
func (ps Problems) sortAndCut(files []string) Problems {
	if len(ps) == 0 {
		return nil
	}
	rank := make(map[string]int, len(files))
	for i, f := range files {
		rank[f] = i
	}
	slices.SortStableFunc(ps, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(rank[a.File], rank[b.File]), cmp.Compare(a.Line, b.Line))
	})
	if len(ps) <= MaxProblems {
		return ps
	}
	kept := ps[: MaxProblems-1 : MaxProblems-1]
	first := ps[MaxProblems-1]
	return append(kept, Problem{
		File:   first.File,
		Line:   first.Line,
		Cause:  fmt.Sprintf("%d more problems from here on", len(ps)-len(kept)),
		Remedy: "correct the ones above and check again",
	})
}
