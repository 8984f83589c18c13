package quota

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/wire"
)

func node(n byte) wire.NodeID { return wire.NodeID{n} }

// A part moves from one owner to the next; claims come in any order, late and twice.
func TestNewestClaimToAPartCounts(t *testing.T) {
	is := is.New(t)
	o := NewOwners()
	is.True(o.Heard(Claim{Owner: node(2), Generation: 7, Parts: []int{1}}))
	is.True(o.Heard(Claim{Owner: node(1), Generation: 5, Parts: []int{0, 1}}))
	is.True(!o.Heard(Claim{Owner: node(2), Generation: 7, Parts: []int{1}}))
	for part, want := range map[int]wire.NodeID{0: node(1), 1: node(2)} {
		id, known := o.Of(part)
		is.True(known)
		is.Equal(id, want)
	}
	o.Heard(Claim{Owner: node(2), Generation: 9}) // it owns nothing any more
	id, _ := o.Of(1)
	is.Equal(id, node(1))
	_, known := o.Of(2)
	is.True(!known)
}

func TestClaimsAreBounded(t *testing.T) {
	is := is.New(t)
	o := NewOwners()
	for i := range 4 * maxClaims {
		o.Heard(Claim{Owner: wire.NodeID{byte(i), byte(i >> 8), 1}, Generation: uint64(i), Parts: []int{i}})
	}
	is.Equal(len(o.Claims()), maxClaims)
	_, known := o.Of(4*maxClaims - 1) // the newest stay
	is.True(known)
}

// A lease that could not be renewed in time ends before the store gives it to another
// node. When the store is back the tenure begins anew: another may have owned the part.
func TestTenureBeginsAnewAfterALapse(t *testing.T) {
	is := is.New(t)
	var tenure Tenure
	life := testConfig().LeaseLife
	lease := Lease{Sent: begin, Life: life, Generation: 3, Parts: []int{0, 4}}
	is.True(tenure.Renewed(lease))
	lease.Sent = begin.Add(life / 2)
	is.True(!tenure.Renewed(lease))
	since, owns := tenure.Owns(begin.Add(life), 4)
	is.True(owns)
	is.Equal(since, begin)
	_, owns = tenure.Owns(begin.Add(life/2+life), 4)
	is.True(!owns)
	is.Equal(len(tenure.Parts(begin.Add(life/2+life))), 0)
	back := begin.Add(3 * life)
	lease.Sent = back
	is.True(tenure.Renewed(lease))
	since, owns = tenure.Owns(back, 4)
	is.True(owns)
	is.Equal(since, back)
}

// Guards against two owners of a part after the store has forgotten a lease: the next owner
// waits for its end, one that has held the part all the while goes on.
func TestTenureWaitsForForgottenLeases(t *testing.T) {
	is := is.New(t)
	var tenure Tenure
	life := testConfig().LeaseLife
	tenure.Renewed(Lease{Sent: begin, Life: life, Generation: 3, Parts: []int{0}})
	restored, free := begin.Add(life/2), begin.Add(life/2+life)
	tenure.Renewed(Lease{Sent: restored, Life: life, Generation: 4, Parts: []int{0, 4}, FreeAt: free})
	_, owns := tenure.Owns(restored, 0)
	is.True(owns)
	_, owns = tenure.Owns(restored, 4)
	is.True(!owns)
	tenure.Renewed(Lease{Sent: restored.Add(life / 2), Life: life, Generation: 4, Parts: []int{0, 4}, FreeAt: free})
	since, owns := tenure.Owns(free, 4)
	is.True(owns)
	is.Equal(since, free)
}
