package graph

import (
	"bytes"
	"unicode/utf8"
)

const byteOrderMark = "\xef\xbb\xbf"

// checkBytes rejects texts on which the HCL parser recurses deeply. The parser
// recurses on each bracket, operator and template. A stack overflow cannot be
// recovered and would crash every node that reads the publication. The check
// rejects operators and templates and bounds the nesting of brackets. It works
// on bytes because HCL's lexer takes as long as its parser.
func checkBytes(file string, text []byte) Problems {
	g := byteChecker{file: file, text: text, line: 1}
	if !utf8.Valid(text) {
		g.problem("save the file as UTF-8; is it the right file?", "the text is not valid UTF-8")
		return g.problems
	}
	if bytes.HasPrefix(text, []byte(byteOrderMark)) {
		g.pos = len(byteOrderMark)
	}
	for g.pos < len(text) && len(g.problems) <= MaxProblems && g.depth <= maxNesting {
		g.checkToken()
	}
	return g.problems
}

// byteChecker scans a text token by token.
type byteChecker struct {
	file     string
	text     []byte
	pos      int
	line     int
	depth    int
	problems Problems
}

func (g *byteChecker) problem(remedy, cause string, args ...any) {
	g.problems.add(g.file, g.line, remedy, cause, args...)
}

// checkToken checks and skips one token.
func (g *byteChecker) checkToken() {
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
		g.quotedString()
	case c == '{' || c == '[':
		g.openBracket()
	case c == '}' || c == ']':
		g.depth--
		g.pos++
	case isWord(c):
		g.word()
	default:
		g.unknownRune()
	}
}

func (g *byteChecker) follows(s string) bool { return bytes.HasPrefix(g.text[g.pos:], []byte(s)) }

// skipTo moves to the next occurrence of s, or to the end of the text.
func (g *byteChecker) skipTo(s string) {
	n := bytes.Index(g.text[g.pos:], []byte(s))
	if n < 0 {
		n = len(g.text) - g.pos
	}
	g.pos += n
}

func (g *byteChecker) comment() {
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

// quotedString skips a string. It rejects escapes and templates, which no value needs,
// so that the string ends at the next quote for HCL, too.
func (g *byteChecker) quotedString() {
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

func (g *byteChecker) openBracket() {
	g.depth++
	g.pos++
	if g.depth > maxNesting {
		g.problem(formRemedy, "brackets are nested more than %d deep", maxNesting)
	}
}

// word skips a name or a number. A point is allowed only between digits.
func (g *byteChecker) word() {
	start := g.pos
	for g.pos < len(g.text) && (isWord(g.text[g.pos]) || g.isPoint()) {
		g.pos++
	}
	if n := g.pos - start; n > maxWordBytes {
		g.problem(valueRemedy, "a name or number of %d characters", n)
	}
}

func (g *byteChecker) isPoint() bool {
	return g.text[g.pos] == '.' && isDigit(g.text[g.pos-1]) && g.pos+1 < len(g.text) && isDigit(g.text[g.pos+1])
}

func (g *byteChecker) unknownRune() {
	_, size := utf8.DecodeRune(g.text[g.pos:])
	g.problem(valueRemedy, "%s is not part of a graph text", excerpt(g.text[g.pos:g.pos+size]))
	g.pos += size
}

func isDigit(c byte) bool { return c >= '0' && c <= '9' }

func isWord(c byte) bool {
	return isDigit(c) || c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c == '_'
}
