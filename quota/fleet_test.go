package quota

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/wire"
	"github.com/cassialoom/cassialoom/workspace"
)

// fleet simulates nodes, the leases of the store and the messages between nodes in
// virtual time. One workspace sends requests to all nodes.
type fleet struct {
	cfg   Config
	quota workspace.Quota
	rng   *rand.Rand
	now   time.Time
	nodes []*simNode
	store leaseStore
	// admitted holds the times at which all nodes admitted requests.
	admitted []time.Time
	// localQuota, if set, replaces the exchange of tokens: each node enforces the
	// returned quota on its own.
	localQuota func(q workspace.Quota, nodes int) workspace.Quota
	messages   []message
	// rejectedShare is the fraction of requests with a token that a later check rejects.
	rejectedShare float64
	// lossy makes the network lose, delay and duplicate messages.
	lossy   bool
	offered int
	// storeRestores makes the store restore older copies of itself. ignoreRestores makes
	// nodes ignore that such a restore loses leases.
	storeRestores, ignoreRestores bool
}

// simNode is a simulated node.
type simNode struct {
	id          wire.NodeID
	holder      *TokenClient
	tokenIssuer *TokenIssuer
	leaseTerm   LeaseTerm
	number      uint64
	openRequest *message
	// waitingSince holds the arrival times of the requests that wait for a token.
	waitingSince []time.Time
	// The node is paused or down before stoppedUntil. It is partitioned from the other
	// nodes and the store before partitionedUntil.
	stoppedUntil, partitionedUntil time.Time
	localBucket                    localBucket
	// era is the last era of the store that the node has seen, zero if none. At freeAt
	// all leases that the store may have lost have expired.
	era    uint64
	freeAt time.Time
}

// localBucket is the token bucket of a node that enforces a quota on its own.
type localBucket struct {
	tokens float64
	last   time.Time
}

// message is a token request or its answer in transit.
type message struct {
	from, to  int
	deliverAt time.Time
	number    uint64
	sent      time.Time
	requests  []TokenRequest
	grants    []Grant
	answer    bool
}

// leaseStore is the simulated store. It leases a single partition to one node at a time.
type leaseStore struct {
	owner      int // -1 for none
	generation uint64
	expiresAt  time.Time
	// era starts at 1 and grows with each restore of backup.
	era  uint64
	copy *leaseStore
}

// restore restores the last backup, if any, and takes a new one.
func (s *leaseStore) restore() {
	if s.copy != nil {
		owner, generation, expiresAt := s.copy.owner, s.copy.generation, s.copy.expiresAt
		s.owner, s.generation, s.expiresAt = owner, generation, expiresAt
		s.era++
	}
	backup := *s
	backup.copy = nil
	s.copy = &backup
}

const hotWorkspace = "hot"

var testQuota = workspace.Quota{Rate: 40, Burst: 40}

func testConfig() Config {
	cfg := DefaultConfig()
	cfg.Parts = 1
	cfg.Window, cfg.Overage, cfg.Slack = 5*time.Second, 0.1, 20
	return cfg
}

func newFleet(seed uint64, nodes int) *fleet {
	f := &fleet{cfg: testConfig(), quota: testQuota, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	f.store.owner, f.store.era = -1, 1
	for range nodes {
		f.nodes = append(f.nodes, &simNode{})
		f.restart(len(f.nodes) - 1)
	}
	return f
}

// restart replaces a node by one without state and with a new ID.
func (f *fleet) restart(i int) {
	*f.nodes[i] = simNode{holder: NewTokenClient(f.cfg), tokenIssuer: NewTokenIssuer(f.cfg), stoppedUntil: f.nodes[i].stoppedUntil, partitionedUntil: f.nodes[i].partitionedUntil}
	f.rng.Uint64()
	for b := range f.nodes[i].id {
		f.nodes[i].id[b] = byte(f.rng.Uint32())
	}
}

func (f *fleet) running(i int) bool     { return !f.now.Before(f.nodes[i].stoppedUntil) }
func (f *fleet) partitioned(i int) bool { return f.now.Before(f.nodes[i].partitionedUntil) }

const fleetStep = 10 * time.Millisecond

// step simulates one step in which each node gets perNode requests on average.
func (f *fleet) step(perNode float64) {
	f.now = f.now.Add(fleetStep)
	f.renewLeases()
	f.deliver()
	for i := range f.nodes {
		if !f.running(i) {
			continue
		}
		for n := perNode; n > 0; n-- {
			if n >= 1 || f.rng.Float64() < n {
				f.sendRequest(i)
			}
		}
		if f.localQuota == nil {
			f.finishWaiting(i)
			f.requestTokens(i)
		}
	}
}

// renewLeases renews the lease of the owner, or grants an expired one to a random node.
func (f *fleet) renewLeases() {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		if !f.running(i) || f.partitioned(i) || f.rng.IntN(int(f.cfg.RenewInterval/fleetStep)) != 0 {
			continue
		}
		if f.store.owner != i && f.now.Before(f.store.expiresAt) {
			continue
		}
		if f.store.owner != i {
			f.store.owner = i
			f.store.generation++
		}
		f.store.expiresAt = f.now.Add(f.cfg.LeaseTTL)
		f.nodes[i].receiveLease(f)
	}
}

// receiveLease applies the store's answer to a renewal.
func (m *simNode) receiveLease(f *fleet) {
	if m.era != f.store.era && (m.era != 0 || f.store.era > 1) && !f.ignoreRestores {
		m.freeAt = f.now.Add(f.cfg.LeaseTTL)
	}
	m.era = f.store.era
	m.leaseTerm.ApplyRenewal(LeaseReply{Sent: f.now, TTL: f.cfg.LeaseTTL, Generation: f.store.era<<32 | f.store.generation, Parts: []int{0}, LostLeasesExpireAt: m.freeAt})
}

func (f *fleet) sendRequest(i int) {
	f.offered++
	m := f.nodes[i]
	if f.localQuota != nil {
		if m.localBucket.take(f.now, f.localQuota(f.quota, len(f.nodes))) {
			f.admitted = append(f.admitted, f.now)
		}
		return
	}
	if token, answer := m.holder.Take(f.now, hotWorkspace); answer == Taken {
		f.useToken(i, token)
	} else if answer == Wait {
		m.holder.Waiting(hotWorkspace, 1)
		m.waitingSince = append(m.waitingSince, f.now)
	}
}

// finishWaiting admits waiting requests or rejects those that have waited too long.
func (f *fleet) finishWaiting(i int) {
	m := f.nodes[i]
	var stillWaiting []time.Time
	for _, since := range m.waitingSince {
		token, answer := m.holder.TakeAfterWait(f.now, hotWorkspace)
		if answer == Wait && f.now.Sub(since) < f.cfg.MaxWait {
			stillWaiting = append(stillWaiting, since)
			continue
		}
		m.holder.Waiting(hotWorkspace, -1)
		if answer == Taken {
			f.useToken(i, token)
		}
	}
	m.waitingSince = stillWaiting
}

func (f *fleet) useToken(i int, t Token) {
	if f.rng.Float64() < f.rejectedShare {
		f.nodes[i].holder.Return(f.now, t)
		return
	}
	f.admitted = append(f.admitted, f.now)
}

func (b *localBucket) take(now time.Time, q workspace.Quota) bool {
	if b.last.IsZero() {
		b.tokens = q.Burst
	} else {
		b.tokens = min(q.Burst, b.tokens+now.Sub(b.last).Seconds()*q.Rate)
	}
	b.last = now
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

func (f *fleet) requestTokens(i int) {
	m := f.nodes[i]
	if m.openRequest != nil && f.now.Sub(m.openRequest.sent) >= f.cfg.RequestTimeout {
		m.holder.RequestsFailed(m.openRequest.requests)
		m.openRequest = nil
	}
	if m.openRequest != nil || f.store.owner < 0 {
		return
	}
	requests := m.holder.DueRequests(f.now, func(string) bool { return true })
	if len(requests) == 0 || !requests[0].Urgent() {
		return
	}
	m.number++
	m.holder.RequestsSent(f.now, requests)
	q := message{from: i, to: f.store.owner, number: m.number, sent: f.now, requests: requests}
	m.openRequest = &q
	f.send(q)
}

// send sends a message, subject to the faults of the network.
func (f *fleet) send(m message) {
	if f.partitioned(m.from) {
		return
	}
	if !f.lossy {
		m.deliverAt = f.now.Add(fleetStep)
		f.messages = append(f.messages, m)
		return
	}
	if f.rng.IntN(20) == 0 {
		return
	}
	copies := 1
	if f.rng.IntN(20) == 0 {
		copies++
	}
	for range copies {
		m.deliverAt = f.now.Add(time.Duration(f.rng.IntN(40)) * time.Millisecond)
		if f.rng.IntN(30) == 0 {
			m.deliverAt = f.now.Add(time.Duration(f.rng.IntN(4000)) * time.Millisecond)
		}
		f.messages = append(f.messages, m)
	}
}

func (f *fleet) deliver() {
	var later []message
	due := f.messages
	f.messages = nil
	for _, m := range due {
		switch {
		case m.deliverAt.After(f.now) || !f.running(m.to):
			later = append(later, m)
		case f.partitioned(m.to):
		case m.answer:
			f.receiveAnswer(m)
		default:
			f.receiveRequest(m)
		}
	}
	f.messages = append(later, f.messages...)
}

func (f *fleet) receiveRequest(m message) {
	owner := f.nodes[m.to]
	if !owner.tokenIssuer.Accept(f.nodes[m.from].id, m.number) {
		return
	}
	answer := message{from: m.to, to: m.from, number: m.number, answer: true}
	for _, w := range m.requests {
		if since, owned := owner.leaseTerm.Owns(f.now, 0); owned {
			answer.grants = append(answer.grants, owner.tokenIssuer.GrantTokens(f.now, since, f.nodes[m.from].id, w, f.quota))
		}
	}
	f.send(answer)
}

func (f *fleet) receiveAnswer(m message) {
	node := f.nodes[m.to]
	if node.openRequest == nil || node.openRequest.number != m.number {
		return
	}
	node.holder.ApplyGrants(f.now, node.openRequest.sent, node.openRequest.requests, m.grants)
	node.openRequest = nil
}

// maxPerWindow returns the maximum number of requests that may be admitted in a window.
func (f *fleet) maxPerWindow() int {
	q := f.quota.Rate*f.cfg.Window.Seconds() + f.quota.Burst
	return int(q*(1+f.cfg.Overage) + f.cfg.Slack)
}

// peak returns the highest number of requests admitted in any window.
func (f *fleet) peak() int {
	peak, first := 0, 0
	for i, at := range f.admitted {
		for at.Sub(f.admitted[first]) >= f.cfg.Window {
			first++
		}
		peak = max(peak, i-first+1)
	}
	return peak
}

// run simulates a span of time, with random faults if faults is set.
func (f *fleet) run(d time.Duration, perNode float64, faults bool) {
	f.lossy = faults
	for end := f.now.Add(d); f.now.Before(end); {
		if faults && f.rng.IntN(40) == 0 {
			f.injectFault()
		}
		f.step(perNode)
	}
}

func (f *fleet) injectFault() {
	i := f.rng.IntN(len(f.nodes))
	span := time.Duration(f.rng.IntN(5000)) * time.Millisecond
	if f.storeRestores && f.rng.IntN(4) == 0 {
		f.store.restore()
		return
	}
	switch f.rng.IntN(7) {
	case 0: // pause: the node keeps its state
		f.nodes[i].stoppedUntil = f.now.Add(span)
	case 1: // crash
		f.restart(i)
		f.nodes[i].stoppedUntil = f.now.Add(span / 4)
	case 2, 3:
		f.nodes[i].partitionedUntil = f.now.Add(span)
	case 4: // pause of the owner
		if f.store.owner >= 0 {
			f.nodes[f.store.owner].stoppedUntil = f.now.Add(span)
		}
	case 6: // later checks reject none, half or all of the requests
		f.rejectedShare = float64(f.rng.IntN(3)) / 2
	case 5:
		if f.rng.IntN(5) == 0 { // crash of all nodes
			for j := range f.nodes {
				f.restart(j)
				f.nodes[j].stoppedUntil = f.now.Add(time.Second)
			}
		}
	}
}

// Guards against admitting more or much less than the quota of an overloading workspace
// when there are no faults.
func TestOverloadingWorkspaceGetsExactlyItsQuota(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 8)
	f.run(30*time.Second, 4*testQuota.Rate/8*fleetStep.Seconds(), false)
	is.True(f.peak() <= f.maxPerWindow())
	perSecond := float64(len(f.admitted)) / 30
	is.True(perSecond > 0.9*(testQuota.Rate+testQuota.Burst/5))
}

// Guards against rejecting a workspace below its quota because its requests are spread
// over many nodes.
func TestSmallWorkspaceOverManyNodesIsNotRejected(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 30)
	f.quota = workspace.Quota{Rate: 15, Burst: 15}
	f.run(2*time.Second, 0, false)
	f.run(20*time.Second, 9.0/30*fleetStep.Seconds(), false)
	is.True(float64(len(f.admitted)) > 0.98*float64(f.offered))
	is.True(f.peak() <= f.maxPerWindow())
}

// Guards against exceeding the quota in any window while nodes pause, crash, restart and
// are partitioned, messages are lost, delayed and duplicated, and later checks reject.
func TestQuotaHoldsInEveryWindow(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		factor := rapid.Float64Range(0.5, 10).Draw(t, "times the quota")
		f.run(20*time.Second, factor*testQuota.Rate/float64(len(f.nodes))*fleetStep.Seconds(), true)
		if f.peak() > f.maxPerWindow() {
			t.Fatalf("%d requests admitted in a window, limit %d", f.peak(), f.maxPerWindow())
		}
	})
}

// Guards against two owners that lend the same quota after the store was restored from an
// older copy and has lost a lease.
func TestQuotaHoldsInEveryWindowAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		f.storeRestores = true
		factor := rapid.Float64Range(0.5, 10).Draw(t, "times the quota")
		f.run(20*time.Second, factor*testQuota.Rate/float64(len(f.nodes))*fleetStep.Seconds(), true)
		if f.peak() > f.maxPerWindow() {
			t.Fatalf("%d requests admitted in a window, limit %d", f.peak(), f.maxPerWindow())
		}
	})
}

// Checks that the simulation detects what LeaseReply.LostLeasesExpireAt prevents: without
// it, a restored store leads to an exceeded quota.
func TestIgnoringRestoresExceedsTheQuota(t *testing.T) {
	is := is.New(t)
	peak := 0
	for seed := range uint64(20) {
		f := newFleet(seed, 8)
		f.storeRestores, f.ignoreRestores = true, true
		f.run(20*time.Second, 10*testQuota.Rate/8*fleetStep.Seconds(), true)
		peak = max(peak, f.peak()-f.maxPerWindow())
	}
	t.Logf("%d requests above the limit of a window", peak)
	is.True(peak > 0)
}

// Checks that limits without exchange fail: the whole quota at each node admits too much,
// an equal share at each node rejects a workspace that uses a single node.
func TestLimitsWithoutExchangeFail(t *testing.T) {
	is := is.New(t)
	fullQuota := newFleet(3, 8)
	fullQuota.localQuota = func(q workspace.Quota, _ int) workspace.Quota { return q }
	fullQuota.run(15*time.Second, 4*testQuota.Rate/8*fleetStep.Seconds(), false)
	is.True(fullQuota.peak() > fullQuota.maxPerWindow())

	equalShares := newFleet(4, 8)
	equalShares.localQuota = func(q workspace.Quota, n int) workspace.Quota {
		return workspace.Quota{Rate: q.Rate / float64(n), Burst: q.Burst / float64(n)}
	}
	for range int(10 * time.Second / fleetStep) {
		equalShares.now = equalShares.now.Add(fleetStep)
		if equalShares.rng.Float64() < 0.6*testQuota.Rate*fleetStep.Seconds() {
			equalShares.sendRequest(0)
		}
	}
	is.True(float64(len(equalShares.admitted)) < 0.4*float64(equalShares.offered))
}
