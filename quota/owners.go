package quota

import (
	"slices"

	"github.com/cassialoom/cassialoom/wire"
)

// Claim states which partitions a node owns. The owner publishes it, and other nodes pass
// it on in answers to token requests.
type Claim struct {
	_          struct{} `cbor:",toarray"`
	Owner      wire.NodeID
	Generation uint64
	Parts      []int
}

// Owners maps partitions to their owners as far as this node knows. The map is a hint:
// only the owner's lease decides whether it lends tokens.
type Owners struct {
	claims []Claim // one per owner
	byPart map[int]wire.NodeID
}

// maxClaims bounds the number of known owners, because a peer could claim for any number
// of them. It leaves space for owners that were replaced.
const maxClaims = 128

// NewOwners returns an empty Owners.
func NewOwners() *Owners { return &Owners{byPart: make(map[int]wire.NodeID)} }

// Receive records a received claim and reports whether it changed anything.
func (o *Owners) Receive(c Claim) bool {
	i := slices.IndexFunc(o.claims, func(known Claim) bool { return known.Owner == c.Owner })
	switch {
	case i < 0:
		o.claims = append(o.claims, c)
	case o.claims[i].Generation > c.Generation, o.claims[i].Generation == c.Generation && slices.Equal(o.claims[i].Parts, c.Parts):
		return false
	default:
		o.claims[i] = c
	}
	o.rebuild()
	return true
}

// rebuild assigns each partition to the claim with the highest generation.
func (o *Owners) rebuild() {
	o.claims = slices.DeleteFunc(o.claims, func(c Claim) bool { return len(c.Parts) == 0 })
	slices.SortStableFunc(o.claims, func(a, b Claim) int {
		switch {
		case a.Generation < b.Generation:
			return -1
		case a.Generation > b.Generation:
			return 1
		}
		return 0
	})
	o.claims = o.claims[max(0, len(o.claims)-maxClaims):]
	clear(o.byPart)
	for _, c := range o.claims {
		for _, p := range c.Parts {
			o.byPart[p] = c.Owner
		}
	}
}

// OwnerOf returns the owner of a partition.
func (o *Owners) OwnerOf(part int) (wire.NodeID, bool) {
	id, ok := o.byPart[part]
	return id, ok
}

// Claims returns all known claims, for publication to other nodes.
func (o *Owners) Claims() []Claim { return slices.Clone(o.claims) }
