package graph

import (
	"os"
	"strings"
	"testing"
)

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
