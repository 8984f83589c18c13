package graph

import "math/bits"

// bitset is a set of indexes into the sorted list of services.
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

// computeReach computes the height and reach of every operation.
func (b *builder) computeReach() {
	index := make(map[string]int, len(b.graph.services))
	for i, s := range b.graph.services {
		index[s.Name] = i
	}
	for _, n := range b.nodes {
		b.computeNodeReach(n, index)
	}
	for _, n := range b.nodes {
		// Only the lowest operation above the limit is reported: its callers
		// exceed the limit for the same reason.
		if n.op.height == MaxDepth+1 {
			b.problems.add(n.file, n.line, "shorten the chain: let one operation call several services in turn",
				"the chain of calls below %s is %d long, the limit is %d", n.op.Ref(), n.op.height, MaxDepth)
		}
	}
}

// computeNodeReach computes the height and reach of a node after those of its
// callees. The graph must have no cycles.
func (b *builder) computeNodeReach(n *node, index map[string]int) {
	if n.reach != nil {
		return
	}
	below := newBitset(len(index))
	for _, e := range n.calls {
		b.computeNodeReach(e.to, index)
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
	n.op.reach = b.serviceNames(below, own)
}

// serviceNames returns the names of the services of a set, own first.
func (b *builder) serviceNames(set bitset, own int) []string {
	serviceNames := make([]string, 0, set.len())
	serviceNames = append(serviceNames, b.graph.services[own].Name)
	for i, s := range b.graph.services {
		if i != own && set.has(i) {
			serviceNames = append(serviceNames, s.Name)
		}
	}
	return serviceNames
}
