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

// quotas guards the state of workspaces with a lock: the tokens of this node, the quotas
// that it owns, and the freshness of the configuration. One message exchange between two
// nodes carries both tokens and freshness proofs.
type quotas struct {
	cfg quota.Config
	// freshWithin is the age of the freshness proof beyond which requests with keys are
	// refused, provenWithin the age below which the node keeps it; zero for no limit.
	freshWithin, provenWithin time.Duration
	clock                     bootclock.Clock

	mu          sync.Mutex
	tokenClient *quota.TokenClient
	issuer      *quota.TokenIssuer
	leaseTerm   quota.LeaseTerm
	owners      *quota.Owners
	proof       freshness.ProofTracker
	eras        freshness.EraTracker
	// requests are those that await an answer, at most one per node.
	requests map[wire.NodeID]openRequest
	// number is that of the latest request.
	number uint64
	// lookupSentAt is when the last request for owners or a proof was made.
	lookupSentAt time.Time
	// lastAnswerAt is when a peer last answered.
	lastAnswerAt time.Time
	// proofAttempts counts the proof requests since the node last had a recent proof.
	proofAttempts int
	// ownersUnknown says that an owner is unknown, did not answer or is owner no more, so
	// that a lookup is needed.
	ownersUnknown bool
	// lastKeyUse is when a request with a key last arrived.
	lastKeyUse time.Time
	// changed is closed when tokens or a proof arrive.
	changed chan struct{}

	fleet fleetView // not guarded by mu

	// wake tells quotaLoop that a request waits.
	wake chan struct{}
}

// openRequest is a quota request that awaits its answer.
type openRequest struct {
	number        uint64
	sent          time.Time
	tokenRequests []quota.TokenRequest
}

func newQuotas(cfg quota.Config, freshWithin, provenWithin time.Duration, clock bootclock.Clock) *quotas {
	return &quotas{
		cfg:          cfg,
		freshWithin:  freshWithin,
		provenWithin: provenWithin,
		clock:        clock,
		tokenClient:  quota.NewTokenClient(cfg),
		issuer:       quota.NewTokenIssuer(cfg),
		leaseTerm:    quota.NewLeaseTerm(cfg),
		owners:       quota.NewOwners(),
		requests:     make(map[wire.NodeID]openRequest),
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

// inForce records the version of the routes that is in force.
func (q *quotas) inForce(version uint64) {
	q.with(func(time.Time) {
		q.proof.SetInForce(version)
		q.notifyWaiters()
	})
}

// notifyWaiters wakes the waiting requests. The caller holds the lock.
func (q *quotas) notifyWaiters() {
	close(q.changed)
	q.changed = make(chan struct{})
}

// wakeLoop wakes quotaLoop.
func (q *quotas) wakeLoop() {
	select {
	case q.wake <- struct{}{}:
	default:
	}
}

// returnToken returns a token that was not used.
func (q *quotas) returnToken(t quota.Token) {
	q.with(func(now time.Time) { q.tokenClient.Return(now, t) })
}

// keyUseWindow is how long after a request with a key the node keeps a stock of tokens.
const keyUseWindow = 3 * time.Second

// keysInUse reports whether requests with keys arrived within keyUseWindow. The caller holds
// the lock.
func (q *quotas) keysInUse(now time.Time) bool {
	return !q.lastKeyUse.IsZero() && now.Sub(q.lastKeyUse) < keyUseWindow
}

// noteKeyUse records a request with a key. It reports whether the configuration is fresh
// enough to check the key, and returns a channel that closes when that may change.
func (q *quotas) noteKeyUse() (ok bool, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	idle := !q.keysInUse(now)
	q.lastKeyUse = now
	ok = q.fresh(now)
	if idle || !ok {
		q.wakeLoop()
	}
	return ok, q.changed
}

// takeToken takes a token of a workspace, or returns why there is none and a channel that
// closes when that may change. waited says that the request has waited for a token before.
func (q *quotas) takeToken(workspace string, waited bool) (t quota.Token, answer quota.TakeResult, changed <-chan struct{}) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	if waited {
		t, answer = q.tokenClient.TakeAfterWait(now, workspace)
	} else {
		t, answer = q.tokenClient.Take(now, workspace)
	}
	return t, answer, q.changed
}

// addWaiting adds change to the number of requests that wait for a token of a workspace.
func (q *quotas) addWaiting(workspace string, change int) {
	q.with(func(time.Time) { q.tokenClient.Waiting(workspace, change) })
	q.wakeLoop()
}

// awaitFresh waits for a sufficiently recent freshness proof, at most Quota.MaxWait.
func (n *Node) awaitFresh(ctx context.Context) *verdict.Error {
	until := time.Now().Add(n.cfg.Quota.MaxWait)
	for {
		ok, changed := n.quotas.noteKeyUse()
		if ok {
			return nil
		}
		if !awaitChange(ctx, changed, until) {
			return verdict.Refuse(verdict.StaleConfiguration, "cannot verify that the configuration is no older than %s", n.cfg.MaxConfigAge).
				WithRetryAfter(n.cfg.Quota.RetryAfterNoOwner)
		}
	}
}

// awaitToken takes a token of a workspace. While it is unknown whether there is one, it waits
// at most Quota.MaxWait.
func (n *Node) awaitToken(ctx context.Context, workspace string) (quota.Token, *verdict.Error) {
	token, answer, changed := n.quotas.takeToken(workspace, false)
	if answer == quota.Wait {
		n.quotas.addWaiting(workspace, 1)
		defer n.quotas.addWaiting(workspace, -1)
	}
	until := time.Now().Add(n.cfg.Quota.MaxWait)
	for answer == quota.Wait {
		if !awaitChange(ctx, changed, until) {
			return quota.Token{}, verdict.Refuse(verdict.QuotaUnknown, "no owner answered for the quota of workspace %s in time", workspace).
				WithRetryAfter(n.cfg.Quota.RetryAfterNoOwner)
		}
		token, answer, changed = n.quotas.takeToken(workspace, true)
	}
	if answer == quota.QuotaExceeded {
		return quota.Token{}, verdict.Refuse(verdict.OverQuota, "workspace %s has used its quota", workspace).WithRetryAfter(n.cfg.Quota.RetryAfter)
	}
	return token, nil
}

// awaitChange waits until changed is closed; false if the time is up or ctx is done.
func awaitChange(ctx context.Context, changed <-chan struct{}, until time.Time) bool {
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
