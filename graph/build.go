package graph

import (
	"fmt"
	"slices"
	"strings"
)

// builder builds a graph from declarations.
type builder struct {
	decls    []serviceDecl
	graph    *Graph
	nodes    []*node
	byRef    map[Ref]*node
	problems Problems
}

// node is an operation while the graph is being built.
type node struct {
	op    *Operation
	file  string
	line  int
	calls []edge
	state visitState
	reach bitset
}

// edge is a declared call of an operation.
type edge struct {
	line int
	to   *node
}

// visitState is the state of a node in the search for cycles.
type visitState uint8

const (
	unvisited visitState = iota
	onPath
	visited
)

// build builds the graph of the declarations. It returns either a graph or
// problems: duplicate names, calls of undeclared operations, cycles, and
// exceeded limits.
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
	b.sort()
	b.computeReach()
	if len(b.problems) > 0 {
		return nil, b.problems
	}
	return b.graph, nil
}

// declare adds all services and operations to the graph, without calls.
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

// resolve links each declared call to the operation that it names.
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
		b.addUnknownCall(from, c)
		return
	}
	if from.op.Idempotent && !to.op.Idempotent {
		b.problems.add(from.file, c.line,
			fmt.Sprintf("declare %s with idempotent = false, or take the call out", from.op.Ref()),
			"%s is idempotent but depends on %s, which is not: attempting the first again would repeat the second",
			from.op.Ref(), c.ref)
	}
	from.calls = append(from.calls, edge{line: c.line, to: to})
	from.op.Calls = append(from.op.Calls, c.ref)
}

// addUnknownCall adds the problem of a call to an undeclared service or operation.
func (b *builder) addUnknownCall(from *node, c callDecl) {
	s, ok := b.graph.byName[c.ref.Service]
	if !ok {
		names := make([]string, len(b.graph.services))
		for i, s := range b.graph.services {
			names[i] = s.Name
		}
		b.problems.add(from.file, c.line, "declare the service or call a declared one: "+firstNames(names),
			"%s depends on the unknown service %s", from.op.Ref(), c.ref.Service)
		return
	}
	names := make([]string, len(s.Operations))
	for i, o := range s.Operations {
		names[i] = o.Name
	}
	b.problems.add(from.file, c.line,
		fmt.Sprintf("declare the operation or call a declared one of %s: %s", s.Name, firstNames(names)),
		"%s depends on the unknown operation %s", from.op.Ref(), c.ref)
}

// firstNames returns a list of the first names and the number of the others.
func firstNames(names []string) string {
	const maxNames = 8
	slices.Sort(names)
	if len(names) <= maxNames {
		return strings.Join(names, ", ")
	}
	return fmt.Sprintf("%s and %d more", strings.Join(names[:maxNames], ", "), len(names)-maxNames)
}

func (b *builder) findCycles() {
	for _, n := range b.nodes {
		if n.state == unvisited {
			b.visit(n, nil)
		}
	}
}

// visit searches for cycles, depth first: a call of an operation on the current
// path closes a cycle.
func (b *builder) visit(n *node, path []*node) {
	n.state = onPath
	path = append(path, n)
	for _, e := range n.calls {
		switch e.to.state {
		case unvisited:
			b.visit(e.to, path)
		case onPath:
			b.addCycle(n, e, path)
		}
	}
	n.state = visited
}

// addCycle adds the problem of the cycle that the call e closes.
func (b *builder) addCycle(from *node, e edge, path []*node) {
	start := slices.Index(path, e.to)
	var names []string
	for _, n := range path[start:] {
		names = append(names, n.op.Ref().String())
	}
	b.problems.add(from.file, e.line, "take one of these calls out, or give it to an operation that is not called from here",
		"cycle: %s -> %s", formatPath(names), e.to.op.Ref())
}

// formatPath formats a path and omits the middle of a long one.
func formatPath(names []string) string {
	const keptPerEnd = 8
	if len(names) > 2*keptPerEnd {
		middle := fmt.Sprintf("(%d more)", len(names)-2*keptPerEnd)
		names = slices.Concat(names[:keptPerEnd], []string{middle}, names[len(names)-keptPerEnd:])
	}
	return strings.Join(names, " -> ")
}

// sort sorts the services, operations and calls of the graph.
func (b *builder) sort() {
	slices.SortFunc(b.graph.services, func(a, b *Service) int { return strings.Compare(a.Name, b.Name) })
	for _, s := range b.graph.services {
		slices.SortFunc(s.Operations, func(a, b *Operation) int { return strings.Compare(a.Name, b.Name) })
		for _, o := range s.Operations {
			slices.SortFunc(o.Calls, Ref.compare)
		}
	}
}
