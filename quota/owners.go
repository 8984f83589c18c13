package quota

import (
	"slices"

	"github.com/cassialoom/cassialoom/wire"
)

// Claim is the word of an owner about what it owns.
type Claim struct {
	_          struct{} `cbor:",toarray"`
	Owner      wire.NodeID
	Generation uint64
	Parts      []int
}

// Owners is what a node knows of who owns which part. It is a hint: only the owner's own
// lease decides whether it lends.
type Owners struct {
	claims []Claim // one of each owner
	byPart map[int]wire.NodeID
}

// maxClaims bounds the owners that are known: a peer could name any number. There are a
// few, and those that were replaced.
const maxClaims = 128

// NewOwners returns Owners that know none.
func NewOwners() *Owners { return &Owners{byPart: make(map[int]wire.NodeID)} }

// Heard takes a claim, and reports whether it is news.
func (o *Owners) Heard(c Claim) bool {
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

// rebuild lets the newest claim to each part count.
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

// Of returns the owner of a part.
func (o *Owners) Of(part int) (wire.NodeID, bool) {
	id, ok := o.byPart[part]
	return id, ok
}

// Claims lists all that is known, to be told to others.
func (o *Owners) Claims() []Claim { return slices.Clone(o.claims) }
