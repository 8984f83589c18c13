package graph

import (
	"bytes"
	"cmp"
	"slices"
	"strings"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// Split splits a text into the sections of its services, in their order. The
// text of each section is unchanged: comments between two services belong to
// the second one, comments after the last service belong to the last. Blank
// lines around a section are removed, so that moving a service is not a change.
// It returns either sections or problems.
func Split(filename string, src []byte) ([]Section, Problems) {
	files := []string{filename}
	s, ps := readSource(filename, src, MaxTextBytes)
	if len(ps) > 0 {
		return nil, ps.sortAndCut(files)
	}
	d := decoder{file: filename}
	sections := d.split(s)
	if len(d.problems) > 0 {
		return nil, d.problems.sortAndCut(files)
	}
	if len(sections) == 0 {
		ps.add(filename, 1, emptyRemedy, "no service is declared")
		return nil, ps
	}
	return sections, nil
}

func (d *decoder) split(s source) []Section {
	for _, a := range sortedAttributes(s.body) {
		d.problem(a.NameRange.Start.Line, formRemedy, "attribute %s stands outside of a service", excerpt(a.Name))
	}
	tokens, _ := hclsyntax.LexConfig(s.text, s.file, hcl.InitialPos)
	var sections []Section
	seen := make(map[string]bool)
	start := 0
	for i, block := range s.body.Blocks {
		name, ok := d.blockName(block, blockService)
		if !ok {
			continue
		}
		if seen[name] {
			d.problem(blockLine(block), "rename it or merge it with the first one", "duplicate service %s", name)
			continue
		}
		seen[name] = true
		end := len(s.text)
		if i < len(s.body.Blocks)-1 {
			end = lineEnd(tokens, block.CloseBraceRange.End.Byte, end)
		}
		text := trimBlankLines(string(s.text[start:end]))
		if len(text) > MaxSectionBytes {
			d.problem(blockLine(block), "split the service or shorten its comments",
				"the section of %s has %d bytes, the limit is %d", name, len(text), MaxSectionBytes)
		}
		sections = append(sections, Section{Service: name, Text: text})
		start = end
	}
	return sections
}

// lineEnd returns the offset of the end of the line on which a block closes, or
// fallback if it is the last line. It uses tokens, because a comment that begins
// on that line may contain line breaks.
func lineEnd(tokens hclsyntax.Tokens, from, fallback int) int {
	first, _ := slices.BinarySearchFunc(tokens, from, func(t hclsyntax.Token, from int) int {
		return cmp.Compare(t.Range.Start.Byte, from)
	})
	for _, t := range tokens[first:] {
		if t.Type == hclsyntax.TokenNewline {
			return t.Range.End.Byte
		}
		if t.Type == hclsyntax.TokenComment && bytes.HasSuffix(t.Bytes, []byte("\n")) {
			return t.Range.End.Byte
		}
	}
	return fallback
}

// trimBlankLines removes blank lines at both ends and terminates the text with
// a single line break.
func trimBlankLines(s string) string {
	for {
		line, rest, found := strings.Cut(s, "\n")
		if !found || strings.TrimSpace(line) != "" {
			break
		}
		s = rest
	}
	return strings.TrimRight(s, " \t\r\n") + "\n"
}
