package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
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
	store *leaseStore
	// calls are those that have not arrived at the store.
	calls []*storeCall
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
	// storeFaults are the faults of the store.
	storeFaults storeFaults
	// trustAssignments makes a node issue tokens as soon as the store assigns the partition
	// to it.
	trustAssignments bool
}

// storeFaults selects faults of the store.
type storeFaults struct {
	// restores restore older copies of the store, reassigns assign the partition anew at
	// once, outages stop it for a while.
	restores, reassigns, outages bool
	// alone excludes faults of another kind, except for a cut beside a fault of the store.
	alone bool
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
	index                          int
	// call is the call to the store under way, nil for none; the next join is due at joinAt.
	call   *storeCall
	joinAt time.Time
	// generation is the last one that the store returned.
	generation uint64
}

// callKind is the kind of a call to the store.
type callKind uint8

const (
	joinCall callKind = iota
	readCall
	writeCall
)

// storeCall is a call to the store, on its way there or back.
type storeCall struct {
	kind                      callKind
	node                      *simNode
	sent, executeAt, answerAt time.Time
	executed, lost            bool
	// generation is that of a join and of its answer, written that of the register.
	generation, written, era uint64
	entries, register        map[int]RegisterEntry
	// owns says that the node owns the partition, or that the write was done.
	owns bool
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
	f.store = newLeaseStore(f.rng)
	for range nodes {
		f.nodes = append(f.nodes, &simNode{})
		f.restart(len(f.nodes) - 1)
	}
	return f
}

// newTrustingFleet returns a fleet whose nodes use a partition as soon as the store assigns it to
// them, and for the whole lease.
func newTrustingFleet(seed uint64, nodes int) *fleet {
	f := newFleet(seed, nodes)
	f.trustAssignments = true
	f.cfg.ShortLeaseTTL = f.cfg.LeaseTTL
	for i := range f.nodes {
		f.restart(i)
	}
	return f
}

// restart replaces a node by one without state and with a new ID.
func (f *fleet) restart(i int) {
	*f.nodes[i] = simNode{index: i, holder: NewTokenClient(f.cfg), tokenIssuer: NewTokenIssuer(f.cfg), leaseTerm: NewLeaseTerm(f.cfg), stoppedUntil: f.nodes[i].stoppedUntil, partitionedUntil: f.nodes[i].partitionedUntil}
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
	f.callStore()
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

// callStore makes the calls to the store that are due and delivers its answers. The calls of a node
// are sequential; one without an answer is given up after callTimeout.
func (f *fleet) callStore() {
	for i, m := range f.nodes {
		if !f.running(i) {
			continue
		}
		if c := m.call; c != nil && c.executed && !f.now.Before(c.answerAt) && !f.partitioned(i) && !c.lost {
			m.call = nil
			f.receiveStoreAnswer(m, c)
		}
		if c := m.call; c != nil && f.now.Sub(c.sent) >= callTimeout {
			m.call, m.joinAt = nil, f.now
		}
		if m.call == nil && !f.now.Before(m.joinAt) {
			f.startCall(m, &storeCall{kind: joinCall, generation: m.generation})
		}
	}
	f.executeCalls()
}

// callTimeout is the time after which a call to the store without an answer is given up.
const callTimeout = 750 * time.Millisecond

// startCall starts a call to the store. In a lossy network it may be slow, be executed after
// it was given up, or be executed without an answer.
func (f *fleet) startCall(m *simNode, c *storeCall) {
	c.node, c.sent, c.executeAt = m, f.now, f.now
	m.call = c
	f.calls = append(f.calls, c)
	if !f.lossy {
		return
	}
	c.executeAt = f.now.Add(time.Duration(f.rng.IntN(30)) * time.Millisecond)
	switch f.rng.IntN(20) {
	case 0:
		c.executeAt = f.now.Add(time.Duration(f.rng.IntN(3000)) * time.Millisecond)
	case 1:
		c.lost = true
	}
	c.answerAt = c.executeAt.Add(time.Duration(f.rng.IntN(30)) * time.Millisecond)
	if f.rng.IntN(20) == 0 {
		c.answerAt = c.executeAt.Add(time.Duration(f.rng.IntN(700)) * time.Millisecond)
	}
}

// executeCalls executes the calls that have arrived at the store.
func (f *fleet) executeCalls() {
	f.calls = slices.DeleteFunc(f.calls, func(c *storeCall) bool {
		if f.now.Before(c.executeAt) {
			return false
		}
		if !f.partitioned(c.node.index) && !f.store.down(f.now) {
			f.store.execute(f.now, f.cfg.LeaseTTL, c)
		}
		return true
	})
}

// execute executes a call.
func (s *leaseStore) execute(now time.Time, ttl time.Duration, c *storeCall) {
	c.executed, c.era = true, s.era
	switch c.kind {
	case joinCall:
		c.generation, c.owns = s.join(now, c.node.index, ttl, c.generation)
	case readCall:
		c.register, c.written = s.register, s.written
	case writeCall:
		c.owns = s.write(c.entries, c.written)
	}
}

// receiveStoreAnswer applies the store's answer to a call and makes the next one.
func (f *fleet) receiveStoreAnswer(m *simNode, c *storeCall) {
	m.joinAt = f.now.Add(f.cfg.RenewInterval)
	switch c.kind {
	case joinCall:
		m.generation = c.generation
		l := LeaseReply{Sent: c.sent, Generation: c.era<<32 | c.generation}
		if c.owns {
			l.Parts = []int{0}
		}
		m.leaseTerm.ApplyRenewal(l)
		if m.leaseTerm.RegistrationDue(f.now) {
			f.startCall(m, &storeCall{kind: readCall})
		}
	case readCall:
		entries := m.leaseTerm.NewEntries(f.now, m.registrant(), c.era, f.trusted(c.register))
		if len(entries) > 0 {
			f.startCall(m, &storeCall{kind: writeCall, entries: entries, written: c.written})
			return
		}
		m.leaseTerm.EntriesWritten(f.now, nil)
	case writeCall:
		if !c.owns { // another node has written since the read
			f.startCall(m, &storeCall{kind: readCall})
			return
		}
		m.leaseTerm.EntriesWritten(f.now, c.entries)
	}
}

// trusted returns a register as it is, or one in which everybody has let go.
func (f *fleet) trusted(register map[int]RegisterEntry) map[int]RegisterEntry {
	if !f.trustAssignments {
		return register
	}
	released := maps.Clone(register)
	for p, e := range released {
		e.Era, e.Released, e.LongWait = f.store.era, true, 0
		released[p] = e
	}
	return released
}

func (m *simNode) registrant() Registrant {
	return Registrant{Member: strconv.Itoa(m.index), Process: m.id}
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
	to := f.store.owner
	if _, own := m.leaseTerm.Owns(f.now, 0); own {
		to = i // it may not know that it has been replaced
	}
	if m.openRequest != nil || to < 0 {
		return
	}
	requests := m.holder.DueRequests(f.now, func(string) bool { return true })
	if len(requests) == 0 || !requests[0].Urgent() {
		return
	}
	m.number++
	m.holder.RequestsSent(f.now, requests)
	q := message{from: i, to: to, number: m.number, sent: f.now, requests: requests}
	m.openRequest = &q
	f.send(q)
}

// send sends a message, subject to the faults of the network.
func (f *fleet) send(m message) {
	if m.from == m.to {
		m.deliverAt = f.now
		f.messages = append(f.messages, m)
		return
	}
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
		case f.partitioned(m.to) && m.from != m.to:
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
		if tenure, owned := owner.leaseTerm.Owns(f.now, 0); owned {
			answer.grants = append(answer.grants, owner.tokenIssuer.GrantTokens(f.now, tenure, f.nodes[m.from].id, w, f.quota))
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
		if faults && f.rng.IntN(f.stepsPerFault()) == 0 {
			f.injectFault()
		}
		f.step(perNode)
	}
}

// stepsPerFault is the mean number of steps between two faults.
func (f *fleet) stepsPerFault() int {
	if f.storeFaults.alone {
		return 250 // most effects of a fault have ended at the next one
	}
	return 40
}

func (f *fleet) injectFault() {
	i := f.rng.IntN(len(f.nodes))
	span := time.Duration(f.rng.IntN(5000)) * time.Millisecond
	if (f.storeFaults.alone || f.rng.IntN(4) == 0) && f.injectStoreFault(i, span) || f.storeFaults.alone {
		return
	}
	switch f.rng.IntN(8) {
	case 7: // the node gives its lease back, and joins again later
		if f.running(i) {
			f.nodes[i].leaseTerm.Release()
			f.store.leave(i)
			f.startCall(f.nodes[i], &storeCall{kind: readCall})
		}
	case 0: // pause: the node keeps its state
		f.nodes[i].stoppedUntil = f.now.Add(span)
	case 1: // crash
		f.restart(i)
		f.nodes[i].stoppedUntil = f.now.Add(span / 4)
	case 2, 3:
		f.nodes[i].partitionedUntil = f.now.Add(span)
	case 4: // pause of the owner, or an assignment in order
		if f.store.owner >= 0 && f.rng.IntN(2) == 0 {
			f.nodes[f.store.owner].stoppedUntil = f.now.Add(span)
		} else {
			f.store.rebalance()
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

// injectStoreFault injects one of the selected faults of the store, beside node i or the owner cut
// off for longer in half of the cases. It returns false if none is selected.
func (f *fleet) injectStoreFault(i int, span time.Duration) bool {
	kinds := f.storeFaults.kinds(f, span)
	if len(kinds) == 0 {
		return false
	}
	if f.rng.IntN(2) == 0 {
		if f.store.owner >= 0 && f.rng.IntN(2) == 0 {
			i = f.store.owner
		}
		f.nodes[i].partitionedUntil = f.now.Add(span + f.cfg.LeaseTTL)
	}
	kinds[f.rng.IntN(len(kinds))]()
	return true
}

// kinds returns the selected faults; an outage is shorter than the span.
func (s storeFaults) kinds(f *fleet, span time.Duration) []func() {
	var kinds []func()
	if s.restores {
		kinds = append(kinds, f.store.restore)
	}
	if s.reassigns {
		kinds = append(kinds, f.store.reassign)
	}
	if s.outages {
		kinds = append(kinds, func() { f.store.fail(f.now, span/4, f.rng.IntN(2) == 0) })
	}
	return kinds
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
	proptest.Check(t, func(t *rapid.T) {
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
	proptest.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		f.storeFaults.restores = true
		factor := rapid.Float64Range(0.5, 10).Draw(t, "times the quota")
		f.run(20*time.Second, factor*testQuota.Rate/float64(len(f.nodes))*fleetStep.Seconds(), true)
		if f.peak() > f.maxPerWindow() {
			t.Fatalf("%d requests admitted in a window, limit %d", f.peak(), f.maxPerWindow())
		}
	})
}

// Guards against two owners that issue the same quota at the same time: the store assigns a
// partition anew at once, or its leases expire in an outage, while the owner can't learn of it.
func TestQuotaHoldsInEveryWindowWhilePartitionsAreReassigned(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		f.storeFaults = storeFaults{restores: true, reassigns: true, outages: true, alone: rapid.Bool().Draw(t, "faults of the store alone")}
		factor := rapid.Float64Range(0.5, 10).Draw(t, "times the quota")
		f.run(20*time.Second, factor*testQuota.Rate/float64(len(f.nodes))*fleetStep.Seconds(), true)
		if f.peak() > f.maxPerWindow() {
			t.Fatalf("%d requests admitted in a window, limit %d", f.peak(), f.maxPerWindow())
		}
	})
}

// Checks that the simulation detects what the wait of a new owner prevents: without it, faults
// of the store lead to an exceeded quota.
func TestTrustInAssignmentsExceedsTheQuota(t *testing.T) {
	for name, faults := range map[string]storeFaults{
		"restores": {restores: true, alone: true}, "reassigns": {reassigns: true, alone: true}, "outages": {outages: true, alone: true},
	} {
		t.Run(name, func(t *testing.T) {
			excess := 0
			for seed := range uint64(60) {
				f := newTrustingFleet(seed, 8)
				f.storeFaults = faults
				f.run(20*time.Second, 10*testQuota.Rate/8*fleetStep.Seconds(), true)
				excess = max(excess, f.peak()-f.maxPerWindow())
			}
			t.Logf("%d requests above the limit of a window", excess)
			is.New(t).True(excess > 0)
		})
	}
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
