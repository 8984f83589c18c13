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

// ring is a node's view of its peers. Views differ between nodes for a while;
// nothing here relies on their being equal.
type ring struct {
	self       wire.NodeID
	dataCentre string
	all        []wire.NodeID
	local      []wire.NodeID // the data centre's, self too, by identity
	pos        int           // of self in local
	readers    []wire.NodeID // of the data centre, by rank
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
	r.pos = r.after(self) - 1
	r.readers = slices.Clone(r.local)
	slices.SortFunc(r.readers, compareRanks)
	r.readers = slices.Clip(r.readers[:min(readers, len(r.readers))])
	return r
}

func compareIDs(a, b wire.NodeID) int { return bytes.Compare(a[:], b[:]) }

// rank is the weight of rendezvous hashing: the nodes with the least ranks
// have the duty. Each node computes it from its own view alone.
func rank(id wire.NodeID) uint64 { return xxhash.Sum64(id[:]) }

func compareRanks(a, b wire.NodeID) int { return cmp.Compare(rank(a), rank(b)) }

func (r *ring) isReader() bool { return slices.Contains(r.readers, r.self) }

func (r *ring) isLocal(id wire.NodeID) bool {
	_, ok := slices.BinarySearchFunc(r.local, id, compareIDs)
	return ok
}

// after is the position of the first local node behind the identity.
func (r *ring) after(id wire.NodeID) int {
	return sort.Search(len(r.local), func(i int) bool { return compareIDs(r.local[i], id) > 0 })
}

// between returns the local nodes behind self and before until, wrapping
// around; all others if until is self.
func (r *ring) between(until wire.NodeID) []wire.NodeID {
	end := sort.Search(len(r.local), func(i int) bool { return compareIDs(r.local[i], until) >= 0 })
	if end > r.pos {
		return r.local[r.pos+1 : end]
	}
	return slices.Concat(r.local[r.pos+1:], r.local[:end])
}

// random picks a peer; mostly one of the data centre.
func (r *ring) random(rng *rand.Rand, remotePercent int) (wire.NodeID, bool) {
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

// child is a node that passes an update on to those before until.
type child struct {
	id    wire.NodeID
	until wire.NodeID
}

// children splits the nodes between self and until into at most fanOut parts
// and names the first of each.
func (r *ring) children(until wire.NodeID, fanOut int) []child {
	nodes := r.between(until)
	parts := min(fanOut, len(nodes))
	kids := make([]child, 0, parts)
	for i := range parts {
		kids = append(kids, child{id: nodes[i*len(nodes)/parts], until: until})
		if i > 0 {
			kids[i-1].until = kids[i].id
		}
	}
	return kids
}
