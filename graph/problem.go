package graph

import (
	"cmp"
	"errors"
	"fmt"
	"slices"
	"strings"
)

// Problem is one reason why a text is refused, with what to do about it.
type Problem struct {
	// File is the name of the file, or the section when the text came as
	// sections.
	File   string
	Line   int
	Cause  string
	Remedy string
}

// String returns the problem on one line, as compilers do.
func (p Problem) String() string {
	return fmt.Sprintf("%s:%d: %s; remedy: %s", p.File, p.Line, p.Cause, p.Remedy)
}

// Problems lists why a text is refused; an accepted text has none.
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

// report orders the problems as the text is read and cuts a long list. files
// gives the order of the sections.
func (ps Problems) report(files []string) Problems {
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
