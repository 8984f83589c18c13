package node

import (
	"maps"
	"math/rand/v2"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/wire"
)

// anyNodeShare is the share of owner lookups that goes to a random node: the nodes that
// should own quotas according to this node's view may be gone or unreachable.
const anyNodeShare = 0.25

// pickLikelyOwner picks a peer to ask for the owners, usually one that likely is an owner.
func pickLikelyOwner(peers []rankedNode) wire.NodeID {
	if rand.Float64() < anyNodeShare {
		return peers[rand.IntN(len(peers))].id
	}
	likely := likelyOwners(peers)
	return likely[rand.IntN(len(likely))].id
}

// rankedNode is a node with its rank in the order by which readers and owners are chosen.
type rankedNode struct {
	id         wire.NodeID
	dataCentre string
	rank       uint64
}

// rank hashes the peer address of a node; lower ranks come first.
func rank(addr string) uint64 { return xxhash.Sum64String(addr) }

// likelyOwners returns the node with the lowest rank of each data centre.
func likelyOwners(nodes []rankedNode) []rankedNode {
	owners := make(map[string]rankedNode)
	for _, p := range nodes {
		if known, ok := owners[p.dataCentre]; !ok || p.rank < known.rank {
			owners[p.dataCentre] = p
		}
	}
	return slices.Collect(maps.Values(owners))
}
