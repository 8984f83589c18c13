package graph

import "math/bits"

// bitset holds the positions of services in the sorted list of services.
type bitset []uint64

const wordBits = 64

func newBitset(n int) bitset { return make(bitset, (n+wordBits-1)/wordBits) }

func (s bitset) add(i int)      { s[i/wordBits] |= 1 << (i % wordBits) }
func (s bitset) has(i int) bool { return s[i/wordBits]&(1<<(i%wordBits)) != 0 }

func (s bitset) union(o bitset) {
	for i, w := range o {
		s[i] |= w
	}
}

func (s bitset) len() int {
	n := 0
	for _, w := range s {
		n += bits.OnesCount64(w)
	}
	return n
}

// measure computes height and reach of every operation, callees first.
func (b *builder) measure() {
	index := make(map[string]int, len(b.graph.services))
	for i, s := range b.graph.services {
		index[s.Name] = i
	}
	for _, n := range b.nodes {
		b.measureNode(n, index)
	}
	for _, n := range b.nodes {
		// Only the first operation above the limit is reported: all that
		// call it are too deep for the same reason.
		if n.op.height == MaxDepth+1 {
			b.problems.add(n.file, n.line, "shorten the chain: let one operation call several services in turn",
				"the chain of calls below %s is %d long, the limit is %d", n.op.Ref(), n.op.height, MaxDepth)
		}
	}
}

// measureNode recurses along calls, of which no cycle is left.
func (b *builder) measureNode(n *node, index map[string]int) {
	if n.reach != nil {
		return
	}
	below := newBitset(len(index))
	for _, e := range n.calls {
		b.measureNode(e.to, index)
		below.union(e.to.reach)
		n.op.height = max(n.op.height, e.to.op.height+1)
	}
	own := index[n.op.Service]
	if below.has(own) {
		b.graph.warnings.add(n.file, n.line,
			"call another service instead, or leave slots to spare in "+n.op.Service,
			"a call of %s may come back to its own service: under load its slots may wait for each other", n.op.Ref())
	}
	below.add(own)
	n.reach = below
	n.op.reach = b.names(below, own)
}

// names lists the services of a set, own first.
func (b *builder) names(set bitset, own int) []string {
	names := make([]string, 0, set.len())
	names = append(names, b.graph.services[own].Name)
	for i, s := range b.graph.services {
		if i != own && set.has(i) {
			names = append(names, s.Name)
		}
	}
	return names
}
