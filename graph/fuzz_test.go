package graph

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/hashicorp/hcl/v2"
	"github.com/hashicorp/hcl/v2/hclsyntax"
)

// checkTokens is the slow version of checkBytes: it refuses every token of
// HCL's own lexer on which its parser recurses.
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
		case hclsyntax.TokenDot, hclsyntax.TokenInvalid: // no recursion; refused by the parser
		default:
			return fmt.Errorf("%v at %v", t.Type, t.Range)
		}
		if depth > maxNesting {
			return fmt.Errorf("nesting at %v", t.Range)
		}
	}
	return nil
}

// FuzzGuard compares the check of bytes with the tokens that HCL's lexer sees.
// A string or comment that ends elsewhere for one of them would hide brackets.
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
			t.Fatalf("let through: %v", err)
		}
	})
}

func FuzzParse(f *testing.F) {
	f.Add([]byte(op("idempotent = true\nimportance = \"high\"\ndeadline = \"1s\"\nextra_attempts = 3")))
	f.Add([]byte(op("calls = [\"a.leaf\", \"b.x\"] /* x\n*/ # y")))
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

// checkSplit asserts that the sections of a valid text lose nothing but blank
// lines and assemble to the same graph.
func checkSplit(t *testing.T, text []byte, g *Graph) {
	sections, ps := Split("f", text)
	if len(ps) > 0 {
		t.Fatalf("parsed but not split: %v", ps)
	}
	var joined strings.Builder
	for _, s := range sections {
		joined.WriteString(s.Text)
	}
	if strip(joined.String()) != strip(string(text)) {
		t.Fatalf("sections lose text:\n%q\n%q", joined.String(), text)
	}
	again, ps := Assemble(sections)
	if len(ps) > 0 {
		t.Fatalf("parsed but not assembled: %v", ps)
	}
	if len(again.Services()) != len(g.Services()) {
		t.Fatalf("%d services, want %d", len(again.Services()), len(g.Services()))
	}
}

func strip(s string) string { return strings.Join(strings.Fields(s), "") }
