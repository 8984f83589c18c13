package config

import (
	"bytes"
	"cmp"
	"math/rand/v2"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// ring is a node's view of its peers, ordered by ID. Views of different nodes
// may differ for a while; no code requires them to be equal.
type ring struct {
	self       wire.NodeID
	dataCentre string
	all        []wire.NodeID
	local      []wire.NodeID // nodes of the data centre including self, sorted by ID
	pos        int           // index of self in local
	readers    []wire.NodeID // readers of the data centre, sorted by rank
}

func newRing(self wire.NodeID, dataCentre string, members []Peer, readers int) ring {
	r := ring{self: self, dataCentre: dataCentre, local: []wire.NodeID{self}}
	for _, m := range members {
		if m.ID == self {
			continue
		}
		r.all = append(r.all, m.ID)
		if m.DataCentre == dataCentre {
			r.local = append(r.local, m.ID)
		}
	}
	slices.SortFunc(r.local, compareIDs)
	r.pos = r.indexAfter(self) - 1
	r.readers = slices.Clone(r.local)
	slices.SortFunc(r.readers, compareRanks)
	r.readers = slices.Clip(r.readers[:min(readers, len(r.readers))])
	return r
}

func compareIDs(a, b wire.NodeID) int { return bytes.Compare(a[:], b[:]) }

// rank is the weight for rendezvous hashing: the nodes with the lowest ranks
// are the readers. Each node computes it from its own view.
func rank(id wire.NodeID) uint64 { return xxhash.Sum64(id[:]) }

func compareRanks(a, b wire.NodeID) int { return cmp.Compare(rank(a), rank(b)) }

func (r *ring) isReader() bool { return slices.Contains(r.readers, r.self) }

func (r *ring) isLocal(id wire.NodeID) bool {
	_, ok := slices.BinarySearchFunc(r.local, id, compareIDs)
	return ok
}

// indexAfter returns the index in local of the first node after the ID.
func (r *ring) indexAfter(id wire.NodeID) int {
	return sort.Search(len(r.local), func(i int) bool { return compareIDs(r.local[i], id) > 0 })
}

// localBetween returns the local nodes after self and before until, wrapping
// around. It returns all others if until is self.
func (r *ring) localBetween(until wire.NodeID) []wire.NodeID {
	end := sort.Search(len(r.local), func(i int) bool { return compareIDs(r.local[i], until) >= 0 })
	if end > r.pos {
		return r.local[r.pos+1 : end]
	}
	return slices.Concat(r.local[r.pos+1:], r.local[:end])
}

// randomPeer picks a peer, usually of the own data centre. It returns false if
// there is none.
func (r *ring) randomPeer(rng *rand.Rand, remotePercent int) (wire.NodeID, bool) {
	if len(r.all) == 0 {
		return wire.NodeID{}, false
	}
	if len(r.local) == 1 || rng.IntN(100) < remotePercent {
		return r.all[rng.IntN(len(r.all))], true
	}
	i := rng.IntN(len(r.local) - 1)
	if i >= r.pos {
		i++
	}
	return r.local[i], true
}

// child is a node that forwards an update to the nodes before until.
type child struct {
	id    wire.NodeID
	until wire.NodeID
}

// children splits the nodes between self and until into at most fanOut parts
// and returns the first node of each.
func (r *ring) children(until wire.NodeID, fanOut int) []child {
	nodes := r.localBetween(until)
	parts := min(fanOut, len(nodes))
	result := make([]child, 0, parts)
	for i := range parts {
		result = append(result, child{id: nodes[i*len(nodes)/parts], until: until})
		if i > 0 {
			result[i-1].until = result[i].id
		}
	}
	return result
}
