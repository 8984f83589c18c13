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

// heldClock is a clock that stands until it is moved.
type heldClock struct{ now time.Time }

func (c *heldClock) read() time.Time      { return c.now }
func (c *heldClock) move(d time.Duration) { c.now = c.now.Add(d) }

const hot = "hot"

func testQuotas(bound time.Duration) (*quotas, *heldClock) {
	clock := &heldClock{now: time.Unix(1000, 0)}
	cfg := quota.DefaultConfig()
	cfg.Parts = 1
	q := newQuotas(cfg, bound, bound, clock.read)
	q.inForce(3)
	q.needKey() // a request with a key has come
	return q, clock
}

var (
	owner = wire.NodeID{1}
	other = wire.NodeID{2}
)

// A key is taken away while this node's link to its peers is held up. A peer's answer,
// "the newest a moment ago", arrives seconds after the question was sent: it may be as old
// as the question, and must not let the key be served for another whole bound.
func TestProofCountsFromBeforeTheQuestion(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	asks := q.askGuide(other)
	is.Equal(len(asks), 1)
	clock.move(3 * time.Second)
	q.answered(clock.now, other, quotaAnswer{Number: asks[0].msg.Number, Proved: true, Version: 3, AgeMillis: 500})
	age, known := q.proof.Age(clock.now)
	is.True(known)
	is.Equal(age, 3500*time.Millisecond)
}

// An answer that comes after its question was given up lends nothing: the node has asked
// again, and told the owner that it holds none.
func TestAnswerToAQuestionGivenUpIsDropped(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(0)
	q.owners.Heard(quota.Claim{Owner: owner, Generation: 1, Parts: []int{0}})
	q.take(hot, false)
	q.waiting(hot, 1)
	first, _ := q.due()
	is.Equal(len(first), 1)
	clock.move(q.cfg.AskTimeout)
	second, wanted := q.due()
	is.Equal(len(second), 1)
	is.Equal(wanted, whereabouts) // another node may know a newer owner
	q.answered(clock.now, owner, quotaAnswer{Number: first[0].msg.Number, Grants: []quota.Grant{{Workspace: hot, Now: 1}}})
	_, answer, _ := q.take(hot, true)
	is.Equal(answer, quota.Wait)
	q.answered(clock.now, owner, quotaAnswer{Number: second[0].msg.Number, Grants: []quota.Grant{{Workspace: hot, Now: 1}}})
	_, answer, _ = q.take(hot, true)
	is.Equal(answer, quota.Taken)
}

// An owner's lease has ended, and no other is known: its answers lend nothing. A request
// waits for a token meanwhile, and each answer wakes the loop. Asked again at once, an owner
// that is this node itself would be asked without end until the request gives up, and its
// processor would do nothing else.
func TestOwnerThatLendsNothingIsNotAskedAgainAtOnce(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(0)
	q.owners.Heard(quota.Claim{Owner: owner, Generation: 1, Parts: []int{0}})
	q.take(hot, false)
	q.waiting(hot, 1)
	asked := 0
	for end := clock.now.Add(q.cfg.WaitMost); clock.now.Before(end); clock.move(time.Millisecond) {
		asks, _ := q.due()
		for _, a := range asks {
			asked++
			q.answered(clock.now, owner, quotaAnswer{Number: a.msg.Number, Foreign: true})
		}
		_, answer, _ := q.take(hot, true)
		is.Equal(answer, quota.Wait) // nobody has said that the quota is used
	}
	is.True(asked >= 2) // it may own the workspace again
	is.True(asked <= 4)
}

// A machine sleeps for longer than the bound, with a proof that was young before. When it
// wakes it serves no key until it has a new one.
func TestProofEndsWhileTheMachineSleeps(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	asks := q.askGuide(other)
	q.answered(clock.now, other, quotaAnswer{Number: asks[0].msg.Number, Proved: true, Version: 3})
	ok, _ := q.needKey()
	is.True(ok)
	clock.move(5 * time.Second)
	ok, _ = q.needKey()
	is.True(!ok)
}

// All nodes of a fleet start together. While one still learns of others it owns nothing;
// nodes that come and go all the time do not keep it from owning for ever.
func TestNodeOwnsOnceItKnowsTheFleet(t *testing.T) {
	is := is.New(t)
	start := time.Unix(1000, 0)
	f := fleetView{started: start}
	is.True(!f.settled(start, 3))
	is.True(!f.settled(start.Add(settleFor-time.Millisecond), 3))
	is.True(!f.settled(start.Add(settleFor), 60)) // more have come
	is.True(f.settled(start.Add(2*settleFor), 60))
	is.True(!f.settled(start.Add(2*settleFor+1), 61))
	is.True(f.settled(start.Add(settleMost), 62))
}

// All nodes of a large fleet restart. Each knows few of the others for seconds; the few
// that should own quotas are known from the list of addresses alone, and as many as else.
func TestOwnersAfterARestartOfAllAreThoseOfTheList(t *testing.T) {
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
			if slices.Contains(firstsOf(addrs), addr) {
				owners++
			}
		}
	}
	is.Equal(owners, 6)
}

// A node that reaches less than half of those it knew owns nothing: the others could not
// ask it. A fleet that has shrunk is believed after a while.
func TestNodeThatIsCutOffOwnsNothing(t *testing.T) {
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

// A node that knows no owner asks where owners should be: the first of each data centre.
func TestLikelyOwnersAreTheFirstOfEachDataCentre(t *testing.T) {
	is := is.New(t)
	likely := likelyOwners([]placed{
		{id: owner, dataCentre: "a", place: 3}, {id: other, dataCentre: "a", place: 9},
		{id: wire.NodeID{3}, dataCentre: "b", place: 20}, {id: wire.NodeID{4}, dataCentre: "b", place: 5},
	})
	ids := map[wire.NodeID]bool{}
	for _, p := range likely {
		ids[p.id] = true
	}
	is.Equal(ids, map[wire.NodeID]bool{owner: true, {4}: true})
}

// A route that asks for no key is served at once, whatever is known of the configuration's
// age: without a key there is nothing that could have been taken away.
func TestOpenRouteWaitsForNoProof(t *testing.T) {
	is := is.New(t)
	q, _ := testQuotas(4 * time.Second)
	spaces, err := workspace.New([]workspace.Entry{{Workspace: workspace.Workspace{Name: "north"}, Keys: []string{"k"}}})
	is.NoErr(err)
	n := &Node{cfg: DefaultConfig(), quotas: q, routing: newRouting(nil)}
	n.cfg.FreshWithin = 4 * time.Second
	n.cfg.Quota.WaitMost = time.Hour
	n.routing.install(time.Now(), &routes.Table{Version: 3, Workspaces: spaces}, nil)
	space, refusal := n.authorize(t.Context(), &routes.Route{Open: true}, "")
	is.True(refusal == nil)
	is.True(space == nil)
	n.cfg.Quota.WaitMost = 0
	_, refusal = n.authorize(t.Context(), &routes.Route{}, "k")
	is.Equal(refusal.Reason, verdict.StaleConfiguration)
}

// Guards against questions for tokens that no request needs: at rest only a proof that
// grows old is asked for, and nothing where none is needed.
func TestAtRestProofsAloneAreAskedFor(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	q.owners.Heard(quota.Claim{Owner: owner, Generation: 1, Parts: []int{0}})
	q.take(hot, false)
	clock.move(keyNeeded)
	q.proof.Learn(freshness.Proof{Version: 3, At: clock.now})
	asks, wanted := q.due()
	is.Equal(len(asks), 0)
	is.Equal(wanted, nothing)
	clock.move(3 * time.Second)
	asks, wanted = q.due()
	is.Equal(len(asks), 0)
	is.Equal(wanted, proofs)

	q, clock = testQuotas(0)
	clock.move(keyNeeded)
	asks, wanted = q.due()
	is.Equal(len(asks), 0)
	is.Equal(wanted, nothing)
	_, again := q.nextLook()
	is.True(!again)
}

// Guards against a fleet whose nodes ask each other without pause for proofs that none has,
// since the store is away.
func TestProofsAreAskedForLessOftenInVain(t *testing.T) {
	is := is.New(t)
	q, clock := testQuotas(4 * time.Second)
	clock.move(keyNeeded)
	play := func(d time.Duration, answer func(number uint64) quotaAnswer) (asked int) {
		for end := clock.now.Add(d); clock.now.Before(end); clock.move(10 * time.Millisecond) {
			if _, wanted := q.due(); wanted != proofs {
				continue
			}
			for _, a := range q.askGuide(other) {
				asked++
				q.answered(clock.now, other, answer(a.msg.Number))
			}
		}
		return asked
	}
	vain := play(10*time.Second, func(number uint64) quotaAnswer { return quotaAnswer{Number: number} })
	is.True(vain >= int(10*time.Second/proofPauseMost)) // it goes on asking
	is.True(vain <= int(10*time.Second/proofPauseMost)+vainAtOnce+3)
	young := play(proofPauseMost, func(number uint64) quotaAnswer { return quotaAnswer{Number: number, Proved: true, Version: 3} })
	is.Equal(young, 1)
	is.Equal(q.vain, 0)
}
