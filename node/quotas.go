package node

import (
	"context"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/bootclock"
	"github.com/cassialoom/cassialoom/freshness"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// quotas puts a lock around what is decided about workspaces: their tokens here, the
// quotas that this node owns, and how old the configuration can be. One exchange between
// two nodes serves both tokens and proofs.
type quotas struct {
	cfg quota.Config
	// freshWithin is the age of the configuration beyond which keys are not served,
	// provenWithin the age up to which its proof is kept; zero for any.
	freshWithin, provenWithin time.Duration
	clock                     bootclock.Clock

	mu     sync.Mutex
	holder *quota.Holder
	bank   *quota.Bank
	tenure quota.Tenure
	owners *quota.Owners
	proof  freshness.Keeper
	eras   freshness.Eras
	// asks are the questions under way, one to each node.
	asks   map[wire.NodeID]ask
	number uint64
	// guidedAt is when a node that is no owner was last asked.
	guidedAt time.Time
	// answeredAt is when a peer last answered.
	answeredAt time.Time
	// vain counts the questions for a proof in a row that brought no young one.
	vain int
	// lost says that an owner did not answer, or owns no more: who does is asked.
	lost bool
	// needed is when a request last needed a key.
	needed time.Time
	// changed is closed when tokens or a proof came.
	changed chan struct{}

	fleet fleetView

	// wake tells the loop that a request waits.
	wake chan struct{}
}

// ask is a question under way.
type ask struct {
	number uint64
	sent   time.Time
	wants  []quota.Want
}

func newQuotas(cfg quota.Config, freshWithin, provenWithin time.Duration, clock bootclock.Clock) *quotas {
	return &quotas{
		cfg:          cfg,
		freshWithin:  freshWithin,
		provenWithin: provenWithin,
		clock:        clock,
		holder:       quota.NewHolder(cfg),
		bank:         quota.NewBank(cfg),
		owners:       quota.NewOwners(),
		asks:         make(map[wire.NodeID]ask),
		changed:      make(chan struct{}),
		wake:         make(chan struct{}, 1),
		fleet:        fleetView{started: time.Now()},
	}
}

// with calls f under the lock.
func (q *quotas) with(f func(now time.Time)) {
	q.mu.Lock()
	defer q.mu.Unlock()
	f(q.clock())
}

// inForce says which version of the routes is in force.
func (q *quotas) inForce(version uint64) {
	q.with(func(time.Time) {
		q.proof.InForce(version)
		q.tell()
	})
}

// tell wakes the requests that wait. The caller holds the lock.
func (q *quotas) tell() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// stir wakes the loop.
func (q *quotas) stir() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

func (q *quotas) giveBack(t quota.Token) {
	q.with(func(now time.Time) { q.holder.Return(now, t) })
}

// keyNeeded is how long after a request with a key the node keeps its tokens stocked.
const keyNeeded = 3 * time.Second

// inUse reports whether requests with keys came lately. The caller holds the lock.
func (q *quotas) inUse(now time.Time) bool {
	return !q.needed.IsZero() && now.Sub(q.needed) < keyNeeded
}

// needKey notes that a key is needed and reports whether it may be judged now.
func (q *quotas) needKey() (ok bool, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	rested := !q.inUse(now)
	q.needed = now
	ok = q.fresh(now)
	if rested || !ok {
		q.stir()
	}
	return ok, q.changed
}

// take takes a token, or says that there is none.
func (q *quotas) take(workspace string, waited bool) (t quota.Token, answer quota.Answer, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	if waited {
		t, answer = q.holder.Again(now, workspace)
	} else {
		t, answer = q.holder.Take(now, workspace)
	}
	return t, answer, q.changed
}

// waiting notes that a request begins (1) or ends (-1) to wait.
func (q *quotas) waiting(workspace string, change int) {
	q.with(func(time.Time) { q.holder.Waiting(workspace, change) })
	q.stir()
}

// awaitFresh waits a moment for a proof that the configuration is not too old.
func (n *Node) awaitFresh(ctx context.Context) *verdict.Error {
	until := time.Now().Add(n.cfg.Quota.WaitMost)
	for {
		ok, changed := n.quotas.needKey()
		if ok {
			return nil
		}
		if !await(ctx, changed, until) {
			return verdict.Refuse(verdict.StaleConfiguration, "not known whether the configuration is older than %s", n.cfg.FreshWithin).
				After(n.cfg.Quota.UnknownComeBack)
		}
	}
}

// awaitToken waits a moment for a token of a workspace.
func (n *Node) awaitToken(ctx context.Context, workspace string) (quota.Token, *verdict.Error) {
	token, answer, changed := n.quotas.take(workspace, false)
	if answer == quota.Wait {
		n.quotas.waiting(workspace, 1)
		defer n.quotas.waiting(workspace, -1)
	}
	until := time.Now().Add(n.cfg.Quota.WaitMost)
	for answer == quota.Wait {
		if !await(ctx, changed, until) {
			return quota.Token{}, verdict.Refuse(verdict.QuotaUnknown, "no node answered for the quota of workspace %s", workspace).
				After(n.cfg.Quota.UnknownComeBack)
		}
		token, answer, changed = n.quotas.take(workspace, true)
	}
	if answer == quota.Over {
		return quota.Token{}, verdict.Refuse(verdict.OverQuota, "workspace %s has used its quota", workspace).After(n.cfg.Quota.ComeBack)
	}
	return token, nil
}

// await waits for a change; false if the time is over or the caller has gone.
func await(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
	timer := time.NewTimer(time.Until(until))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	case <-ctx.Done():
		return false
	}
}
