package graph

import (
	"bytes"
	"unicode/utf8"
)

const byteOrderMark = "\xef\xbb\xbf"

// checkBytes lets only texts through that the HCL parser can read without deep
// recursion. It recurses for each bracket, operator and template: a long run
// of them overflows the stack, which ends the process and cannot be recovered
// from, at every node that reads the publication. Without operators and
// templates, and with bounded nesting, nothing is left to recurse on. The
// check looks at bytes because HCL's own tokens cost as much as the parsing.
func checkBytes(file string, text []byte) Problems {
	g := guard{file: file, text: text, line: 1}
	if !utf8.Valid(text) {
		g.problem("save the file as UTF-8; is it the right file?", "the text is not valid UTF-8")
		return g.problems
	}
	if bytes.HasPrefix(text, []byte(byteOrderMark)) {
		g.pos = len(byteOrderMark)
	}
	for g.pos < len(text) && len(g.problems) <= MaxProblems && g.depth <= maxNesting {
		g.step()
	}
	return g.problems
}

// guard reads a text from one token to the next.
type guard struct {
	file     string
	text     []byte
	pos      int
	line     int
	depth    int
	problems Problems
}

func (g *guard) problem(remedy, cause string, args ...any) {
	g.problems.add(g.file, g.line, remedy, cause, args...)
}

func (g *guard) step() {
	switch c := g.text[g.pos]; {
	case c == '\n':
		g.line++
		g.pos++
	case c == ' ' || c == '\t' || c == '\r' || c == ',':
		g.pos++
	case c == '=' && !g.follows("=="):
		g.pos++
	case c == '#' || g.follows("//"):
		g.skipTo("\n")
	case g.follows("/*"):
		g.comment()
	case c == '"':
		g.quoted()
	case c == '{' || c == '[':
		g.open()
	case c == '}' || c == ']':
		g.depth--
		g.pos++
	case isWord(c):
		g.word()
	default:
		g.unknown()
	}
}

func (g *guard) follows(s string) bool { return bytes.HasPrefix(g.text[g.pos:], []byte(s)) }

// skipTo moves to the next s, or to the end.
func (g *guard) skipTo(s string) {
	n := bytes.Index(g.text[g.pos:], []byte(s))
	if n < 0 {
		n = len(g.text) - g.pos
	}
	g.pos += n
}

func (g *guard) comment() {
	const begin, end = "/*", "*/"
	start := g.pos
	g.pos += len(begin)
	g.skipTo(end)
	if g.pos == len(g.text) {
		g.problem("end the comment with "+end, "a comment does not end")
		return
	}
	g.pos += len(end)
	g.line += bytes.Count(g.text[start:g.pos], []byte("\n"))
}

// quoted reads a string. No value needs an escape, and without them and
// templates the string ends where HCL ends it: at the next quote.
func (g *guard) quoted() {
	start := g.pos
	g.pos++
	for g.pos < len(g.text) {
		switch c := g.text[g.pos]; {
		case c == '"':
			g.pos++
			return
		case c == '\n':
			g.problem(`close the string with " on the line where it begins`, "the string %s does not end on its line", excerpt(g.text[start:g.pos]))
			return
		case c < ' ' || c == 0x7f || c == '\\' || c == '$' || c == '%':
			g.problem(valueRemedy, "%q is not allowed in a string", c)
		}
		g.pos++
	}
	g.problem(`close the string with "`, "the string %s does not end", excerpt(g.text[start:]))
}

func (g *guard) open() {
	g.depth++
	g.pos++
	if g.depth > maxNesting {
		g.problem(formRemedy, "brackets are nested more than %d deep", maxNesting)
	}
}

// word reads a name or a number; a point may stand between digits.
func (g *guard) word() {
	start := g.pos
	for g.pos < len(g.text) && (isWord(g.text[g.pos]) || g.isPoint()) {
		g.pos++
	}
	if n := g.pos - start; n > maxWordBytes {
		g.problem(valueRemedy, "a name or number of %d characters", n)
	}
}

func (g *guard) isPoint() bool {
	return g.text[g.pos] == '.' && isDigit(g.text[g.pos-1]) && g.pos+1 < len(g.text) && isDigit(g.text[g.pos+1])
}

func (g *guard) unknown() {
	_, size := utf8.DecodeRune(g.text[g.pos:])
	g.problem(valueRemedy, "%s is not part of a graph text", excerpt(g.text[g.pos:g.pos+size]))
	g.pos += size
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
}
