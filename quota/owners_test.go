package quota

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/wire"
)

func nodeID(n byte) wire.NodeID { return wire.NodeID{n} }

// Guards against claims that arrive late, reordered or twice after a change of owners.
func TestNewestClaimToAPartitionWins(t *testing.T) {
	is := is.New(t)
	o := NewOwners()
	is.True(o.Receive(Claim{Owner: nodeID(2), Generation: 7, Parts: []int{1}}))
	is.True(o.Receive(Claim{Owner: nodeID(1), Generation: 5, Parts: []int{0, 1}}))
	is.True(!o.Receive(Claim{Owner: nodeID(2), Generation: 7, Parts: []int{1}}))
	for part, want := range map[int]wire.NodeID{0: nodeID(1), 1: nodeID(2)} {
		id, known := o.OwnerOf(part)
		is.True(known)
		is.Equal(id, want)
	}
	o.Receive(Claim{Owner: nodeID(2), Generation: 9}) // owns nothing any more
	id, _ := o.OwnerOf(1)
	is.Equal(id, nodeID(1))
	_, known := o.OwnerOf(2)
	is.True(!known)
}

// Guards against memory growth when a peer publishes claims for many owners.
func TestClaimsAreBounded(t *testing.T) {
	is := is.New(t)
	o := NewOwners()
	for i := range 4 * maxClaims {
		o.Receive(Claim{Owner: wire.NodeID{byte(i), byte(i >> 8), 1}, Generation: uint64(i), Parts: []int{i}})
	}
	is.Equal(len(o.Claims()), maxClaims)
	_, known := o.OwnerOf(4*maxClaims - 1) // the newest are kept
	is.True(known)
}

// Guards against tokens issued under an expired lease, and against resuming an old lease
// term after an outage of the store in which another node may have owned the partition.
func TestExpiredLeaseStartsANewTerm(t *testing.T) {
	is := is.New(t)
	var tenure LeaseTerm
	ttl := testConfig().LeaseTTL
	lease := LeaseReply{Sent: startTime, TTL: ttl, Generation: 3, Parts: []int{0, 4}}
	is.True(tenure.ApplyRenewal(lease))
	lease.Sent = startTime.Add(ttl / 2)
	is.True(!tenure.ApplyRenewal(lease))
	since, owns := tenure.Owns(startTime.Add(ttl), 4)
	is.True(owns)
	is.Equal(since, startTime)
	_, owns = tenure.Owns(startTime.Add(ttl/2+ttl), 4)
	is.True(!owns)
	is.Equal(len(tenure.Parts(startTime.Add(ttl/2+ttl))), 0)
	renewedAt := startTime.Add(3 * ttl)
	lease.Sent = renewedAt
	is.True(tenure.ApplyRenewal(lease))
	since, owns = tenure.Owns(renewedAt, 4)
	is.True(owns)
	is.Equal(since, renewedAt)
}

// Guards against two owners of a partition after the store has lost a lease: a new owner
// waits until it has expired, a continuous owner does not.
func TestNewOwnerWaitsForLeasesLostByTheStore(t *testing.T) {
	is := is.New(t)
	var tenure LeaseTerm
	ttl := testConfig().LeaseTTL
	tenure.ApplyRenewal(LeaseReply{Sent: startTime, TTL: ttl, Generation: 3, Parts: []int{0}})
	restoredAt, freeAt := startTime.Add(ttl/2), startTime.Add(ttl/2+ttl)
	tenure.ApplyRenewal(LeaseReply{Sent: restoredAt, TTL: ttl, Generation: 4, Parts: []int{0, 4}, LostLeasesExpireAt: freeAt})
	_, owns := tenure.Owns(restoredAt, 0)
	is.True(owns)
	_, owns = tenure.Owns(restoredAt, 4)
	is.True(!owns)
	tenure.ApplyRenewal(LeaseReply{Sent: restoredAt.Add(ttl / 2), TTL: ttl, Generation: 4, Parts: []int{0, 4}, LostLeasesExpireAt: freeAt})
	since, owns := tenure.Owns(freeAt, 4)
	is.True(owns)
	is.Equal(since, freeAt)
}
