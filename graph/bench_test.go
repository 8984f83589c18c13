package graph

import (
	"fmt"
	"strings"
	"testing"
)

// designSizeSections returns the sections of a graph of the largest size that the
// software is designed for.
func designSizeSections() []Section {
	const services, ops, depth, fanout = 200, 5, 26, 3
	const layer = services / (depth + 1)
	var sections []Section
	for i := range services {
		var b strings.Builder
		fmt.Fprintf(&b, "# team of service %d\nservice \"svc-%03d\" {\n", i, i)
		for o := range ops {
			var calls []string
			level := i / layer
			for c := range fanout {
				if level < depth {
					calls = append(calls, fmt.Sprintf("\"svc-%03d.op%d\"", (level+1)*layer+(i+c)%layer, (o+c)%ops))
				}
			}
			fmt.Fprintf(&b, "  operation \"op%d\" {\n    idempotent = true\n    importance = \"high\"\n    deadline = \"800ms\"\n    extra_attempts = 2\n    calls = [%s]\n  }\n", o, strings.Join(calls, ", "))
		}
		b.WriteString("}\n")
		sections = append(sections, Section{Service: fmt.Sprintf("svc-%03d", i), Text: b.String()})
	}
	return sections
}

func BenchmarkAssemble(b *testing.B) {
	sections := designSizeSections()
	b.ReportAllocs()
	for b.Loop() {
		if _, ps := Assemble(sections); len(ps) > 0 {
			b.Fatal(ps)
		}
	}
}

// BenchmarkAssembleOneChange measures an update of one section, as a publication makes.
func BenchmarkAssembleOneChange(b *testing.B) {
	sections := designSizeSections()
	text := sections[7].Text
	var a Assembler
	b.ReportAllocs()
	for i := 0; b.Loop(); i++ {
		sections[7].Text = fmt.Sprintf("# %d\n%s", i, text)
		if _, ps := a.Assemble(sections); len(ps) > 0 {
			b.Fatal(ps)
		}
	}
}

func BenchmarkAllows(b *testing.B) {
	g, ps := Assemble(designSizeSections())
	if len(ps) > 0 {
		b.Fatal(ps)
	}
	o, _ := g.Operation("svc-000", "op0")
	last := o.Calls[len(o.Calls)-1]
	b.ReportAllocs()
	for b.Loop() {
		if !o.DeclaresCall(last.Service, last.Operation) {
			b.Fatal("not allowed")
		}
	}
}
