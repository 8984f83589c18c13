package graph

import (
	"fmt"
	"slices"
	"strings"
)

// builder resolves declarations against each other.
type builder struct {
	decls    []serviceDecl
	graph    *Graph
	nodes    []*node
	byRef    map[Ref]*node
	problems Problems
}

// node is an operation on its way into the graph.
type node struct {
	op    *Operation
	file  string
	line  int
	calls []edge
	state visit
	reach bitset
}

type edge struct {
	line int
	to   *node
}

type visit uint8

const (
	unseen visit = iota
	onPath
	done
)

// build checks what concerns several declarations. It computes heights and
// reach only for a graph without problems.
func build(decls []serviceDecl) (*Graph, Problems) {
	b := &builder{decls: decls, graph: &Graph{byName: map[string]*Service{}}, byRef: map[Ref]*node{}}
	b.declare()
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	b.resolve()
	b.findCycles()
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	b.order()
	b.measure()
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return b.graph, nil
}

func (b *builder) declare() {
	if len(b.decls) > MaxServices {
		last := b.decls[MaxServices]
		b.problems.add(last.file, last.line, "split the graph or take services out",
			"%d services, the limit is %d", len(b.decls), MaxServices)
		return
	}
	for _, d := range b.decls {
		if _, ok := b.graph.byName[d.name]; ok {
			b.problems.add(d.file, d.line, "rename it or merge it with the first one", "duplicate service %s", d.name)
			continue
		}
		s := &Service{Name: d.name}
		b.graph.byName[d.name] = s
		b.graph.services = append(b.graph.services, s)
		b.declareOperations(s, d)
	}
	if len(b.nodes) > MaxOperations {
		last := b.nodes[MaxOperations]
		b.problems.add(last.file, last.line, "split the graph or take operations out",
			"%d operations, the limit is %d", len(b.nodes), MaxOperations)
	}
}

func (b *builder) declareOperations(s *Service, d serviceDecl) {
	for _, o := range d.operations {
		ref := o.op.Ref()
		if _, ok := b.byRef[ref]; ok {
			b.problems.add(d.file, o.line, "rename it or merge it with the first one", "duplicate operation %s", ref)
			continue
		}
		op := o.op
		n := &node{op: &op, file: d.file, line: o.line}
		b.byRef[ref] = n
		b.nodes = append(b.nodes, n)
		s.Operations = append(s.Operations, n.op)
	}
}

// resolve links each call to the operation that it names.
func (b *builder) resolve() {
	for _, d := range b.decls {
		for _, o := range d.operations {
			from := b.byRef[o.op.Ref()]
			for _, c := range o.calls {
				b.link(from, c)
			}
		}
	}
}

func (b *builder) link(from *node, c callDecl) {
	to, ok := b.byRef[c.ref]
	if !ok {
		b.unknown(from, c)
		return
	}
	if from.op.Idempotent && !to.op.Idempotent {
		b.problems.add(from.file, c.line,
			fmt.Sprintf("declare %s with idempotent = false, or take the call out", from.op.Ref()),
			"%s is idempotent but depends on %s, which is not: attempting the first again would repeat the second",
			from.op.Ref(), c.ref)
	}
	from.calls = append(from.calls, edge{line: c.line, to: to})
	from.op.DependsOn = append(from.op.DependsOn, c.ref)
}

func (b *builder) unknown(from *node, c callDecl) {
	s, ok := b.graph.byName[c.ref.Service]
	if !ok {
		names := make([]string, len(b.graph.services))
		for i, s := range b.graph.services {
			names[i] = s.Name
		}
		b.problems.add(from.file, c.line, "declare the service or call a declared one: "+some(names),
			"%s depends on the unknown service %s", from.op.Ref(), c.ref.Service)
		return
	}
	names := make([]string, len(s.Operations))
	for i, o := range s.Operations {
		names[i] = o.Name
	}
	b.problems.add(from.file, c.line,
		fmt.Sprintf("declare the operation or call a declared one of %s: %s", s.Name, some(names)),
		"%s depends on the unknown operation %s", from.op.Ref(), c.ref)
}

// some lists the first few names.
func some(names []string) string {
	const most = 8
	slices.Sort(names)
	if len(names) <= most {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:most], ", "), len(names)-most)
}

func (b *builder) findCycles() {
	for _, n := range b.nodes {
		if n.state == unseen {
			b.visit(n, nil)
		}
	}
}

// visit is a depth-first search; a call back to an operation on the current
// path closes a cycle.
func (b *builder) visit(n *node, path []*node) {
	n.state = onPath
	path = append(path, n)
	for _, e := range n.calls {
		switch e.to.state {
		case unseen:
			b.visit(e.to, path)
		case onPath:
			b.cycle(n, e, path)
		}
	}
	n.state = done
}

func (b *builder) cycle(from *node, e edge, path []*node) {
	start := slices.Index(path, e.to)
	var names []string
	for _, n := range path[start:] {
		names = append(names, n.op.Ref().String())
	}
	b.problems.add(from.file, e.line, "take one of these calls out, or give it to an operation that is not called from here",
		"cycle: %s -> %s", shorten(names), e.to.op.Ref())
}

// shorten keeps both ends of a long path.
func shorten(names []string) string {
	const ends = 8
	if len(names) > 2*ends {
		middle := fmt.Sprintf("(%d more)", len(names)-2*ends)
		names = slices.Concat(names[:ends], []string{middle}, names[len(names)-ends:])
	}
	return strings.Join(names, " -> ")
}

func (b *builder) order() {
	slices.SortFunc(b.graph.services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	for _, s := range b.graph.services {
		slices.SortFunc(s.Operations, func(a, b *Operation) int { return strings.Compare(a.Name, b.Name) })
		for _, o := range s.Operations {
			slices.SortFunc(o.DependsOn, Ref.compare)
		}
	}
}
