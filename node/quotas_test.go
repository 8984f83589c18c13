package node

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/freshness"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
	"github.com/cassialoom/cassialoom/workspace"
)

// manualClock is a clock that only advance moves.
type manualClock struct{ now time.Time }

func (c *manualClock) read() time.Time         { return c.now }
func (c *manualClock) advance(d time.Duration) { c.now = c.now.Add(d) }

const hot = "hot"

// testQuotas returns quotas with one part, version 3 in force and a recent request with a key.
func testQuotas(bound time.Duration) (*quotas, *manualClock) {
	clock := &manualClock{now: time.Unix(1000, 0)}
	cfg := quota.DefaultConfig()
	cfg.Parts = 1
	q := newQuotas(cfg, bound, bound, clock.read)
	q.inForce(3)
	q.noteKeyUse()
	return q, clock
}

var (
	owner = wire.NodeID{1}
	other = wire.NodeID{2}
)

// Guards against a delayed proof that counts from its arrival: a revoked key would be accepted
// for longer than the bound. The proof may be as old as the request for it.
func TestProofAgeCountsFromBeforeTheRequest(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	requests := q.lookupRequest(other)
	is.Equal(len(requests), 1)
	clock.advance(3 * time.Second)
	q.handleAnswer(clock.now, other, quotaAnswer{Number: requests[0].msg.Number, Proved: true, Version: 3, AgeMillis: 500})
	age, known := q.proof.Age(clock.now)
	is.True(known)
	is.Equal(age, 3500*time.Millisecond)
}

// Guards against the use of tokens from an answer to an expired request: the node has sent
// another request, which tells the owner that it holds none.
func TestAnswerToAnExpiredRequestIsDropped(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(0)
	q.owners.Receive(quota.Claim{Owner: owner, Generation: 1, Parts: []int{0}})
	q.takeToken(hot, false)
	q.addWaiting(hot, 1)
	first, _ := q.dueRequests()
	is.Equal(len(first), 1)
	clock.advance(q.cfg.RequestTimeout)
	second, missing := q.dueRequests()
	is.Equal(len(second), 1)
	is.Equal(missing, missingOwners) // the owner may have changed
	q.handleAnswer(clock.now, owner, quotaAnswer{Number: first[0].msg.Number, Grants: []quota.Grant{{Workspace: hot, ForWaiting: 1}}})
	_, answer, _ := q.takeToken(hot, true)
	is.Equal(answer, quota.Wait)
	q.handleAnswer(clock.now, owner, quotaAnswer{Number: second[0].msg.Number, Grants: []quota.Grant{{Workspace: hot, ForWaiting: 1}}})
	_, answer, _ = q.takeToken(hot, true)
	is.Equal(answer, quota.Taken)
}

// Guards against a busy loop: after the end of its lease an owner grants no tokens, and each
// of its answers wakes the loop, which must not send it another request at once.
func TestOwnerWithoutLeaseIsNotAskedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(0)
	q.owners.Receive(quota.Claim{Owner: owner, Generation: 1, Parts: []int{0}})
	q.takeToken(hot, false)
	q.addWaiting(hot, 1)
	sent := 0
	for end := clock.now.Add(q.cfg.MaxWait); clock.now.Before(end); clock.advance(time.Millisecond) {
		requests, _ := q.dueRequests()
		for _, a := range requests {
			sent++
			q.handleAnswer(clock.now, owner, quotaAnswer{Number: a.msg.Number, NotOwner: true})
		}
		_, answer, _ := q.takeToken(hot, true)
		is.Equal(answer, quota.Wait) // no answer said that the quota is used up
	}
	is.True(sent >= 2) // the owner may get its lease back
	is.True(sent <= 4)
}

// Guards against a machine that accepts keys by an expired proof after it was suspended for
// longer than the bound.
func TestProofExpiresWhileTheMachineIsSuspended(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	requests := q.lookupRequest(other)
	q.handleAnswer(clock.now, other, quotaAnswer{Number: requests[0].msg.Number, Proved: true, Version: 3})
	ok, _ := q.noteKeyUse()
	is.True(ok)
	clock.advance(5 * time.Second)
	ok, _ = q.noteKeyUse()
	is.True(!ok)
}

// Guards against a node that owns quotas before it has discovered the fleet, and against one
// that never does because nodes join and leave all the time.
func TestNodeOwnsQuotasOnceItKnowsTheFleet(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	f := fleetView{started: start}
	is.True(!f.settled(start, 3))
	is.True(!f.settled(start.Add(settleTime-time.Millisecond), 3))
	is.True(!f.settled(start.Add(settleTime), 60)) // more nodes have joined
	is.True(f.settled(start.Add(2*settleTime), 60))
	is.True(!f.settled(start.Add(2*settleTime+1), 61))
	is.True(f.settled(start.Add(maxSettleTime), 62))
}

// Guards against too many or too few owners after a restart of all nodes, when the owners
// follow from the address list alone.
func TestOwnersByAddressAreAsManyAsReaders(t *testing.T) {
	is := is.New(t)
	addrs := map[string][]string{}
	for centre := range 3 {
		for i := range 100 {
			name := string(rune('a' + centre))
			addrs[name] = append(addrs[name], fmt.Sprintf("10.%d.0.%d:8300", centre, i))
		}
	}
	owners := 0
	for _, list := range addrs {
		for _, addr := range list {
			if slices.Contains(ownersByAddress(addrs), addr) {
				owners++
			}
		}
	}
	is.Equal(owners, 6)
}

// Guards against an owner that most nodes cannot reach, and against a node that never accepts
// that its fleet has become smaller.
func TestNodeThatIsCutOffOwnsNoQuotas(t *testing.T) {
	is := is.New(t)
	var f fleetView
	is.True(!f.cutOff(60))
	is.True(!f.cutOff(31))
	is.True(f.cutOff(20))
	for range 150 {
		f.cutOff(20)
	}
	is.True(!f.cutOff(20))
}

// Guards against owner lookups at nodes that are unlikely to be owners.
func TestLikelyOwnersAreTheLowestRankedOfEachDataCentre(t *testing.T) {
	is := is.New(t)
	likely := likelyOwners([]rankedNode{
		{id: owner, dataCentre: "a", rank: 3}, {id: other, dataCentre: "a", rank: 9},
		{id: wire.NodeID{3}, dataCentre: "b", rank: 20}, {id: wire.NodeID{4}, dataCentre: "b", rank: 5},
	})
	ids := map[wire.NodeID]bool{}
	for _, p := range likely {
		ids[p.id] = true
	}
	is.Equal(ids, map[wire.NodeID]bool{owner: true, {4}: true})
}

// Guards against an open route that waits for a freshness proof: a request without a key has
// no key that could have been revoked.
func TestOpenRouteWaitsForNoProof(t *testing.T) {
	is := is.New(t)
	q, _ := testQuotas(4 * time.Second)
	spaces, err := workspace.New([]workspace.Entry{{Workspace: workspace.Workspace{Name: "north"}, Keys: []string{"k"}}})
	is.NoErr(err)
	n := &Node{cfg: DefaultConfig(), quotas: q, routing: newRouting(nil)}
	n.cfg.MaxConfigAge = 4 * time.Second
	n.cfg.Quota.MaxWait = time.Hour
	n.routing.install(time.Now(), &routes.Table{Version: 3, Workspaces: spaces}, nil)
	space, refusal := n.authorize(t.Context(), &routes.Route{NoKeyRequired: true}, "")
	is.True(refusal == nil)
	is.True(space == nil)
	n.cfg.Quota.MaxWait = 0
	_, refusal = n.authorize(t.Context(), &routes.Route{}, "k")
	is.Equal(refusal.Reason, verdict.StaleConfiguration)
}

// Guards against requests for tokens that no request needs: an idle node only requests a
// proof, if one is needed and its own is about to expire.
func TestIdleNodeRequestsOnlyProofs(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	q.owners.Receive(quota.Claim{Owner: owner, Generation: 1, Parts: []int{0}})
	q.takeToken(hot, false)
	clock.advance(keyUseWindow)
	q.proof.AddProof(freshness.Proof{Version: 3, At: clock.now})
	requests, missing := q.dueRequests()
	is.Equal(len(requests), 0)
	is.Equal(missing, missingNothing)
	clock.advance(3 * time.Second)
	requests, missing = q.dueRequests()
	is.Equal(len(requests), 0)
	is.Equal(missing, missingProof)

	q, clock = testQuotas(0)
	clock.advance(keyUseWindow)
	requests, missing = q.dueRequests()
	is.Equal(len(requests), 0)
	is.Equal(missing, missingNothing)
	_, again := q.nextCheck()
	is.True(!again)
}

// Guards against proof requests at full rate while the store is down and no node has a recent
// proof.
func TestFailedProofRequestsBackOff(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	clock.advance(keyUseWindow)
	run := func(d time.Duration, answer func(number uint64) quotaAnswer) (sent int) {
		for end := clock.now.Add(d); clock.now.Before(end); clock.advance(10 * time.Millisecond) {
			if _, missing := q.dueRequests(); missing != missingProof {
				continue
			}
			for _, a := range q.lookupRequest(other) {
				sent++
				q.handleAnswer(clock.now, other, answer(a.msg.Number))
			}
		}
		return sent
	}
	proofAttempts := run(10*time.Second, func(number uint64) quotaAnswer { return quotaAnswer{Number: number} })
	is.True(proofAttempts >= int(10*time.Second/maxProofInterval)) // it does not give up
	is.True(proofAttempts <= int(10*time.Second/maxProofInterval)+fastProofAttempts+3)
	answered := run(maxProofInterval, func(number uint64) quotaAnswer { return quotaAnswer{Number: number, Proved: true, Version: 3} })
	is.Equal(answered, 1)
	is.Equal(q.proofAttempts, 0)
}
