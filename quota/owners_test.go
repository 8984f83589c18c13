package quota

import (
	"maps"
	"testing"
	"time"

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

// renewalAt returns a store's answer to a renewal that was sent at the given time.
func renewalAt(at time.Time, generation uint64, parts ...int) LeaseReply {
	return LeaseReply{Sent: at, Generation: generation, Parts: parts}
}

// testRegister is a register without delays or faults.
type testRegister struct {
	entries map[int]RegisterEntry
	era     uint64
}

// update brings the register up to date with the lease of a node.
func (r *testRegister) update(at time.Time, member byte, t *LeaseTerm) {
	if !t.RegistrationDue(at) {
		return
	}
	self := Registrant{Member: string(rune(member)), Process: nodeID(member)}
	entries := t.NewEntries(at, self, r.era, r.entries)
	if r.entries == nil {
		r.entries = make(map[int]RegisterEntry)
	}
	maps.Copy(r.entries, entries)
	t.EntriesWritten(at, entries)
}

// soleOwner returns the lease of node 1, the only user of parts at startTime, since generation 3.
func (r *testRegister) soleOwner(parts ...int) *LeaseTerm {
	t := NewLeaseTerm(testConfig())
	t.ApplyRenewal(renewalAt(startTime, 3, parts...))
	r.update(startTime, 1, &t)
	return &t
}

// share returns the share of a partition's quota that the node may use.
func share(t *LeaseTerm, now time.Time, part int) float64 {
	tenure, owns := t.Owns(now, part)
	if !owns {
		return 0
	}
	return tenure.Share(now)
}

// Guards against tokens issued under an expired lease, and against resuming an old lease
// term after an outage of the store in which another node may have owned the partition.
func TestExpiredLeaseStartsANewTerm(t *testing.T) {
	is := is.New(t)
	var register testRegister
	fresh := NewLeaseTerm(testConfig())
	is.True(fresh.ApplyRenewal(renewalAt(startTime, 3, 0, 4)))
	tenure := register.soleOwner(0, 4)
	ttl := testConfig().LeaseTTL
	is.True(!tenure.ApplyRenewal(renewalAt(startTime.Add(ttl/2), 3, 0, 4)))
	since, owns := tenure.Owns(startTime.Add(ttl), 4)
	is.True(owns)
	is.Equal(since.Start, startTime)
	_, owns = tenure.Owns(startTime.Add(ttl/2+ttl), 4)
	is.True(!owns)
	is.Equal(len(tenure.Parts(startTime.Add(ttl/2+ttl))), 0)
	renewedAt := startTime.Add(3 * ttl)
	is.True(tenure.ApplyRenewal(renewalAt(renewedAt, 3, 0, 4)))
	since, owns = tenure.Owns(renewedAt, 4)
	is.True(owns)
	is.Equal(since.Start, renewedAt)
	is.Equal(since.Share(renewedAt), 1.0) // the generation says that nobody else had it

	renewedAt = renewedAt.Add(3 * ttl)
	is.True(tenure.ApplyRenewal(renewalAt(renewedAt, 4, 0, 4)))
	is.Equal(share(tenure, renewedAt, 4), 0.0) // until it has read the register
}

// Guards against two owners of a partition after the store was restored from an older copy: the
// leases that it has lost last on.
func TestOwnersWaitForLeasesLostByTheStore(t *testing.T) {
	is := is.New(t)
	var register testRegister
	tenure := register.soleOwner(0)
	restoredAt := startTime.Add(testConfig().RenewInterval)
	register.era = 1
	for at := restoredAt; at.Before(restoredAt.Add(testConfig().LeaseTTL)); at = at.Add(testConfig().RenewInterval) {
		tenure.ApplyRenewal(renewalAt(at, 1<<32|3, 0, 4))
		register.update(at, 1, tenure)
		for _, part := range []int{0, 4} { // it may have lost part 0 to another node before the restore
			is.True(share(tenure, at, part) < 1)
			is.True(at.After(restoredAt) || share(tenure, at, part) == 0)
		}
	}
	is.Equal(share(tenure, restoredAt.Add(testConfig().LeaseTTL), 4), 1.0)
}

// Guards against two owners that use more than the whole quota after the store has assigned a
// partition to another node without a word to its owner, at every age of the owner's lease.
func TestReassignedPartitionIsNeverUsedTwice(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	for age := time.Duration(0); age <= cfg.LeaseTTL; age += 50 * time.Millisecond {
		var register testRegister
		former, next := register.soleOwner(0), NewLeaseTerm(cfg)
		assigned := startTime.Add(age) // the former owner's last renewal was at startTime
		for at := assigned; at.Before(assigned.Add(2 * cfg.LeaseTTL)); at = at.Add(10 * time.Millisecond) {
			if at.Sub(assigned)%cfg.RenewInterval == 0 {
				next.ApplyRenewal(renewalAt(at, 4, 0))
			}
			register.update(at, 2, &next)
			is.True(share(former, at, 0)+share(&next, at, 0) <= 1)
		}
		is.Equal(share(&next, assigned.Add(cfg.ShortLeaseTTL), 0), 0.5)
		is.Equal(share(&next, assigned.Add(cfg.LeaseTTL), 0), 1.0)
		is.Equal(register.entries[0].LongWait, time.Duration(0)) // the next owner need not wait
	}
}

// Guards against an owner that resumes a partition which another node had meanwhile, between two
// of its renewals, and may still use; and against a wait if no other node has used it.
func TestPartitionThatCameBackIsAcquiredAnew(t *testing.T) {
	for name, used := range map[string]bool{"used by another node": true, "not used": false} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var register testRegister
			tenure := register.soleOwner(0)
			at := startTime.Add(testConfig().RenewInterval)
			tenure.ApplyRenewal(renewalAt(at, 4, 0))
			is.Equal(share(tenure, at, 0), 1.0) // one change can't take it away and give it back
			if used {
				other := NewLeaseTerm(testConfig())
				other.ApplyRenewal(renewalAt(at, 5, 0))
				register.update(at, 2, &other)
				at = at.Add(testConfig().ShortLeaseTTL)
				other.ApplyRenewal(renewalAt(at, 5, 0))
				register.update(at, 2, &other)
				is.Equal(share(&other, at, 0), 0.5)
			}
			at = at.Add(testConfig().RenewInterval)
			tenure.ApplyRenewal(renewalAt(at, 6, 0))
			is.Equal(share(tenure, at, 0), 0.0)
			register.update(at, 1, tenure)
			is.Equal(share(tenure, at, 0) > 0, !used)
		})
	}
}

// Guards against an owner that begins its wait anew when a partition comes back that no other
// node has used.
func TestPartitionThatCameBackContinuesItsWait(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	var register testRegister
	register.soleOwner(0)
	tenure := NewLeaseTerm(cfg)
	tenure.ApplyRenewal(renewalAt(startTime, 4, 0))
	register.update(startTime, 2, &tenure)
	registered := startTime.Add(cfg.ShortLeaseTTL)
	register.update(registered, 2, &tenure)
	for i, generation := range []uint64{6, 8, 10} {
		at := registered.Add(time.Duration(i) * cfg.RenewInterval)
		tenure.ApplyRenewal(renewalAt(at, generation, 0))
		register.update(at, 2, &tenure)
		is.Equal(share(&tenure, at, 0), 0.5)
	}
	tenure.Release()
	at := startTime.Add(cfg.LeaseTTL)
	tenure.ApplyRenewal(renewalAt(at, 12, 0))
	register.update(at, 2, &tenure)
	is.Equal(share(&tenure, at, 0), 1.0)
}

// Guards against the answer to a slow renewal: the previous owner may have renewed its lease
// after the renewal was sent.
func TestNewOwnerWaitsFromItsLookAtTheRegister(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	var register testRegister
	register.soleOwner(0)
	tenure := NewLeaseTerm(cfg)
	tenure.ApplyRenewal(renewalAt(startTime, 4, 0))
	seen := startTime.Add(cfg.ShortLeaseTTL / 2)
	register.update(seen, 2, &tenure)
	tenure.ApplyRenewal(renewalAt(seen.Add(cfg.RenewInterval), 4, 0))
	register.update(startTime.Add(cfg.ShortLeaseTTL), 2, &tenure)
	is.Equal(share(&tenure, startTime.Add(cfg.ShortLeaseTTL), 0), 0.0)
	register.update(seen.Add(cfg.ShortLeaseTTL), 2, &tenure)
	is.Equal(share(&tenure, seen.Add(cfg.ShortLeaseTTL), 0), 0.5)
}

// Guards against an owner that waits in full although the previous one lets go meanwhile.
func TestWaitEndsWithTheReleaseOfThePreviousOwner(t *testing.T) {
	is := is.New(t)
	var register testRegister
	former, next := register.soleOwner(0), NewLeaseTerm(testConfig())
	next.ApplyRenewal(renewalAt(startTime, 4, 0))
	register.update(startTime, 2, &next)
	is.Equal(share(&next, startTime, 0), 0.0)
	at := startTime.Add(testConfig().ShortLeaseTTL / 4)
	former.ApplyRenewal(renewalAt(at, 4))
	register.update(at, 1, former)
	register.update(at, 2, &next)
	is.Equal(share(&next, at, 0), 1.0)
}

// Guards against a time without an owner when the previous one has let go in order, also through
// several changes at once.
func TestReleasedPartitionIsUsedAtOnce(t *testing.T) {
	is := is.New(t)
	var register testRegister
	former, next := register.soleOwner(0, 1), NewLeaseTerm(testConfig())
	former.ApplyRenewal(renewalAt(startTime, 4, 1))
	is.Equal(share(former, startTime, 0), 0.0)
	register.update(startTime, 1, former)
	next.ApplyRenewal(renewalAt(startTime, 9, 0))
	register.update(startTime, 2, &next)
	is.Equal(share(&next, startTime, 0), 1.0)
	is.Equal(share(former, startTime, 1), 1.0)

	former.Release()
	register.update(startTime, 1, former)
	is.True(register.entries[1].Released)
}

// Guards against a successor that does not wait for a user before the one that has let go, and
// against one that waits for it anew.
func TestSuccessorWaitsForAllEarlierUsers(t *testing.T) {
	is := is.New(t)
	cfg := testConfig()
	var register testRegister
	register.soleOwner(0)
	second, third := NewLeaseTerm(cfg), NewLeaseTerm(cfg)
	second.ApplyRenewal(renewalAt(startTime, 4, 0))
	register.update(startTime, 2, &second)
	at := startTime.Add(cfg.ShortLeaseTTL)
	register.update(at, 2, &second)
	second.Release()
	register.update(at, 2, &second)
	for ; at.Before(startTime.Add(cfg.LeaseTTL)); at = at.Add(cfg.RenewInterval) {
		third.ApplyRenewal(renewalAt(at, 5, 0))
		register.update(at, 3, &third)
		is.Equal(share(&third, at, 0), 0.5)
	}
	third.ApplyRenewal(renewalAt(startTime.Add(cfg.LeaseTTL), 5, 0))
	is.Equal(share(&third, startTime.Add(cfg.LeaseTTL), 0), 1.0)
}

// Guards against a release that is executed late, after its node has registered again.
func TestOwnReleasedEntryIsWrittenAnew(t *testing.T) {
	is := is.New(t)
	var register testRegister
	tenure := register.soleOwner(0)
	tenure.Release()
	tenure.ApplyRenewal(renewalAt(startTime, 6, 0))
	entries := tenure.NewEntries(startTime, Registrant{Member: string(rune(1)), Process: nodeID(1)}, 0, register.entries)
	is.Equal(len(entries), 1) // the write makes the condition of the late one fail
}
