package graph

import (
	"bytes"
	"fmt"
	"os"
	"slices"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

// chain returns a text with a call chain of n+1 services. Each service takes
// three lines.
func chain(n int) []byte {
	var b bytes.Buffer
	for i := range n + 1 {
		calls := ""
		if i < n {
			calls = fmt.Sprintf("calls = [\"s%02d.x\"]", i+1)
		}
		fmt.Fprintf(&b, "service \"s%02d\" {\noperation \"x\" { %s }\n}\n", i, calls)
	}
	return b.Bytes()
}

// graphPlan is a generated graph, valid or not. Operations are numbered.
type graphPlan struct {
	idempotent []bool
	calls      [][]int
}

const opsPerService = 2

func (p graphPlan) ref(i int) Ref {
	return Ref{Service: fmt.Sprintf("s%d", i/opsPerService), Operation: fmt.Sprintf("o%d", i%opsPerService)}
}

func (p graphPlan) sections() []Section {
	var sections []Section
	for first := 0; first < len(p.calls); first += opsPerService {
		var b strings.Builder
		service := p.ref(first).Service
		fmt.Fprintf(&b, "# about %s\nservice %q {\n", service, service)
		for i := first; i < first+opsPerService; i++ {
			var calls []string
			for _, c := range p.calls[i] {
				calls = append(calls, fmt.Sprintf("%q", p.ref(c)))
			}
			fmt.Fprintf(&b, "operation %q {\nidempotent = %v\ncalls = [%s]\n}\n", p.ref(i).Operation, p.idempotent[i], strings.Join(calls, ", "))
		}
		b.WriteString("}\n")
		sections = append(sections, Section{Service: service, Text: b.String()})
	}
	return sections
}

// walk follows every path from operation i, recursively, and adds the reached services
// to services. A path longer than the number of operations contains a cycle.
func (p graphPlan) walk(i, depth int, services map[string]bool) (height int, cyclic bool) {
	if depth > len(p.calls) {
		return 0, true
	}
	services[p.ref(i).Service] = true
	for _, c := range p.calls[i] {
		h, cyc := p.walk(c, depth+1, services)
		if cyc {
			return 0, true
		}
		height = max(height, h+1)
	}
	return height, false
}

func (p graphPlan) valid() bool {
	for i, calls := range p.calls {
		if _, cyclic := p.walk(i, 0, map[string]bool{}); cyclic {
			return false
		}
		for _, c := range calls {
			if p.idempotent[i] && !p.idempotent[c] {
				return false
			}
		}
	}
	return true
}

func drawGraphPlan(t *rapid.T) graphPlan {
	n := opsPerService * rapid.IntRange(1, 5).Draw(t, "services")
	backwards := rapid.IntRange(0, 3).Draw(t, "backwards") == 0
	p := graphPlan{idempotent: make([]bool, n), calls: make([][]int, n)}
	for i := range n {
		// Later operations are less often idempotent, so that valid plans occur.
		p.idempotent[i] = rapid.IntRange(0, n).Draw(t, "idempotent") > n-i
		low := i + 1
		if backwards {
			low = 0
		}
		if low < n {
			p.calls[i] = rapid.SliceOfNDistinct(rapid.IntRange(low, n-1), 0, 2, rapid.ID).Draw(t, "calls")
		}
	}
	return p
}

// Guards against wrong validity, height, reach or calls of an assembled graph, by
// comparison with a simple reference implementation.
func TestAssembleAgreesWithReference(t *testing.T) {
	valid := 0
	assembler := new(Assembler)
	proptest.Check(t, func(t *rapid.T) {
		p := drawGraphPlan(t)
		sections := p.sections()
		g, ps := assembler.Assemble(sections)
		if (len(ps) == 0) != p.valid() {
			t.Fatalf("reference implementation says valid=%v, problems:\n%v", p.valid(), ps)
		}
		for _, problem := range ps {
			if !strings.HasPrefix(problem.File, "section s") || problem.Line < 2 {
				t.Fatalf("problem does not name its section: %v", problem)
			}
		}
		if len(ps) > 0 {
			return
		}
		valid++
		for i := range p.calls {
			checkOperation(t, g, p, i)
		}
	})
	if valid < 10 {
		t.Fatalf("only %d generated graphs were valid: too few to compare", valid)
	}
}

func checkOperation(t *rapid.T, g *Graph, p graphPlan, i int) {
	o, ok := g.Operation(p.ref(i).Service, p.ref(i).Operation)
	if !ok {
		t.Fatalf("%v is missing", p.ref(i))
	}
	services := map[string]bool{}
	height, _ := p.walk(i, 0, services)
	if o.CallDepth() != height {
		t.Fatalf("height of %v is %d, want %d", o.Ref(), o.CallDepth(), height)
	}
	if o.Reach()[0] != o.Service || len(o.Reach()) != len(services) || !slices.IsSorted(o.Reach()[1:]) {
		t.Fatalf("reach of %v is %v, want %v", o.Ref(), o.Reach(), services)
	}
	for _, s := range o.Reach() {
		if !services[s] {
			t.Fatalf("%v does not reach %s", o.Ref(), s)
		}
	}
	for j := range p.calls {
		if o.DeclaresCall(p.ref(j).Service, p.ref(j).Operation) != slices.Contains(p.calls[i], j) {
			t.Fatalf("Allows is wrong for a call from %v to %v", o.Ref(), p.ref(j))
		}
	}
}

func TestSplitKeepsTextAndComments(t *testing.T) {
	is := is.New(t)
	a := "# the file's head\n\n# about a\nservice \"a\" {\n  operation \"x\" {} # why\n} /* goes\non */ // still a"
	b := "// about b\nservice \"b\" {\n\toperation \"y\" { }\n}\n# the end"
	sections, ps := Split("f.hcl", []byte("\n"+a+"\n\n \n"+b+"\n\n"))
	is.NoErr(ps.Err())
	is.Equal(sections, []Section{{"a", a + "\n"}, {"b", b + "\n"}})

	b2, a2 := sections[1].Text, sections[0].Text
	moved, ps := Split("f.hcl", []byte(strings.TrimSuffix(b2, "# the end\n")+a2))
	is.NoErr(ps.Err())
	is.Equal(len(Diff(sections, moved)), 1) // b lost its last comment; moving a is no change

	_, ps = Split("f.hcl", []byte(a+"\n"+a))
	is.True(strings.Contains(ps[0].Cause, "duplicate service a"))
}

func TestSectionMustDeclareItsServiceOnly(t *testing.T) {
	is := is.New(t)
	for _, text := range []string{"", "service \"b\" {\noperation \"x\" {}\n}", string(chain(1))} {
		_, ps := Assemble([]Section{{Service: "a", Text: text}})
		is.Equal(len(ps), 1)
		is.Equal(ps[0].File, "section a")
	}
	_, ps := Assemble(nil)
	is.True(len(ps) == 1)
}

func TestDiff(t *testing.T) {
	is := is.New(t)
	old := []Section{{"a", "1"}, {"b", "1"}, {"c", "1"}}
	current := []Section{{"d", "1"}, {"c", "2"}, {"a", "1"}}
	is.Equal(Diff(old, current), []Change{
		{Service: "b", Kind: Removed, Old: "1"},
		{Service: "c", Kind: Changed, Old: "1", New: "2"},
		{Service: "d", Kind: Added, New: "1"},
	})
}

func TestExamplesHaveFanOutAndDepth(t *testing.T) {
	is := is.New(t)
	for file, entry := range map[string]Ref{
		"savukartta": {"plumecast", "forecast"},
		"hallwyl":    {"dossier-svc", "shortlist"},
	} {
		text, err := os.ReadFile("../examples/" + file + ".hcl")
		is.NoErr(err)
		g, ps := Parse(file, text)
		is.NoErr(ps.Err())
		is.Equal(g.Warnings(), nil)
		is.Equal(len(g.Services()), 4)
		o, ok := g.Operation(entry.Service, entry.Operation)
		is.True(ok)
		is.Equal(o.CallDepth(), 2)
		is.True(len(o.Calls) >= 2)
	}
}
