package node

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// strangerShare of the questions for the owners goes to any node: those that should own
// quotas by this node's view may be gone, or out of reach from here.
const strangerShare = 0.25

// guide picks one of the other nodes that may know the owners.
func guide(others []placed) wire.NodeID {
	if rand.Float64() < strangerShare {
		return others[rand.IntN(len(others))].id
	}
	likely := likelyOwners(others)
	return likely[rand.IntN(len(likely))].id
}

// placed is a node with its place in the order by which readers and owners are chosen.
type placed struct {
	id         wire.NodeID
	dataCentre string
	place      uint64
}

// place orders nodes by their addresses, by no property of theirs.
func place(addr string) uint64 { return xxhash.Sum64String(addr) }

// likelyOwners returns the first node of each data centre.
func likelyOwners(nodes []placed) []placed {
	first := make(map[string]placed)
	for _, p := range nodes {
		if known, ok := first[p.dataCentre]; !ok || p.place < known.place {
			first[p.dataCentre] = p
		}
	}
	return slices.Collect(maps.Values(first))
}
