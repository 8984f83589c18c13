package graph

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// checkTokens is a reference implementation of checkBytes: it rejects every token
// of HCL's lexer on which the parser recurses.
func checkTokens(tokens hclsyntax.Tokens) error {
	depth := 0
	for _, t := range tokens {
		switch t.Type {
		case hclsyntax.TokenOBrace, hclsyntax.TokenOBrack:
			depth++
		case hclsyntax.TokenCBrace, hclsyntax.TokenCBrack:
			depth--
		case hclsyntax.TokenIdent, hclsyntax.TokenNumberLit, hclsyntax.TokenEqual, hclsyntax.TokenComma,
			hclsyntax.TokenOQuote, hclsyntax.TokenCQuote, hclsyntax.TokenQuotedLit,
			hclsyntax.TokenNewline, hclsyntax.TokenComment, hclsyntax.TokenEOF:
		case hclsyntax.TokenDot, hclsyntax.TokenInvalid: // no recursion; rejected by the parser
		default:
			return fmt.Errorf("%v at %v", t.Type, t.Range)
		}
		if depth > maxNesting {
			return fmt.Errorf("nesting at %v", t.Range)
		}
	}
	return nil
}

// FuzzGuard guards against strings or comments that end elsewhere for checkBytes
// than for HCL's lexer: they would hide brackets from the check.
func FuzzGuard(f *testing.F) {
	for _, seed := range []string{
		"a = \"#\" # \" [\n/* \" */ b = [[]] // {", "/*/ [ */", "\"$${ \\\" %{", "a = 1.5.2 ... x.1", "\r\"\r\" = \u2028 [",
		"\xef\xbb\xbfa = <<E\n[\nE\n", "[[[[[[[[[[", "a-b = -1 == !x ? (y) : z",
	} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		if len(checkBytes("f", text)) > 0 {
			return
		}
		tokens, _ := hclsyntax.LexConfig(text, "f", hcl.InitialPos)
		if err := checkTokens(tokens); err != nil {
			t.Fatalf("checkBytes accepts the token: %v", err)
		}
	})
}

// FuzzParse guards against panics, incomplete problems, and texts that Parse accepts
// but Split or Assemble rejects.
func FuzzParse(f *testing.F) {
	f.Add([]byte(textWithAttributes("idempotent = true\nimportance = \"high\"\ndeadline = \"1s\"\nextra_attempts = 3")))
	f.Add([]byte(textWithAttributes("calls = [\"a.leaf\", \"b.x\"] /* x\n*/ # y")))
	f.Add([]byte("\xef\xbb\xbf# bom\r\nservice \"a\" {\r\n operation \"x\" {}\r\n}\r\n"))
	f.Add([]byte("service \"a\" { operation \"x\" { calls = [{ a = [1e99] }, null] } }"))
	f.Add([]byte("service \"a\" \"b\" {}\nservice b {}\n\x00\"${"))
	f.Add(chain(3))
	for _, name := range []string{"savukartta", "hallwyl"} {
		if text, err := os.ReadFile("../examples/" + name + ".hcl"); err == nil {
			f.Add(text)
		}
	}
	f.Fuzz(func(t *testing.T, text []byte) {
		g, ps := Parse("f", text)
		if (g == nil) != (len(ps) > 0) || len(ps) > MaxProblems {
			t.Fatalf("graph %v with %d problems", g != nil, len(ps))
		}
		for _, p := range ps {
			if p.File != "f" || p.Line < 1 || p.Cause == "" || p.Remedy == "" {
				t.Fatalf("incomplete problem %+v", p)
			}
		}
		if g != nil {
			checkSplit(t, text, g)
		}
	})
}

// checkSplit checks that the sections of a valid text contain all of it but blank
// lines, and assemble to the same services.
func checkSplit(t *testing.T, text []byte, g *Graph) {
	sections, ps := Split("f", text)
	if len(ps) > 0 {
		t.Fatalf("parsed but not split: %v", ps)
	}
	var joined strings.Builder
	for _, s := range sections {
		joined.WriteString(s.Text)
	}
	if removeSpace(joined.String()) != removeSpace(string(text)) {
		t.Fatalf("sections lose text:\n%q\n%q", joined.String(), text)
	}
	assembled, ps := Assemble(sections)
	if len(ps) > 0 {
		t.Fatalf("parsed but not assembled: %v", ps)
	}
	if len(assembled.Services()) != len(g.Services()) {
		t.Fatalf("%d services, want %d", len(assembled.Services()), len(g.Services()))
	}
}

func removeSpace(s string) string { return strings.Join(strings.Fields(s), "") }
