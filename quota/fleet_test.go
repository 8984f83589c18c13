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

// fleet plays nodes, the store's leases and messages between nodes in modelled time. One
// workspace sends at all nodes. It counts what was let in, at all nodes.
type fleet struct {
	cfg   Config
	quota workspace.Quota
	rng   *rand.Rand
	now   time.Time
	nodes []*member
	lease store
	// letIn are the moments of the requests that were let in.
	letIn []time.Time
	// naive replaces the exchange: each node lets in what it likes, by the quota that
	// naive gives it.
	naive    func(q workspace.Quota, nodes int) workspace.Quota
	messages []message
	// refused is the part of the requests with a token that is refused elsewhere.
	refused float64
	// lossy lets messages be lost, late, or come twice.
	lossy   bool
	offered int
	// restores lets the store come back from older copies, trusting lets nodes take its
	// word for what it has forgotten.
	restores, trusting bool
}

// member is one node.
type member struct {
	id     wire.NodeID
	holder *Holder
	bank   *Bank
	tenure Tenure
	number uint64
	ask    *message
	// pending are the requests that wait for a token, by when they came.
	pending []time.Time
	// stopped is until when the node does nothing and hears nothing: it is paused, or
	// gone. cut is until when no message of its reaches others or the store.
	stopped, cut time.Time
	bucket       bucket
	// era is the store's as the node knows it, zero for none, free when the leases that it
	// may have forgotten have ended.
	era  uint64
	free time.Time
}

// bucket is that of a naive node.
type bucket struct {
	tokens float64
	last   time.Time
}

// message is a question or its answer on the way.
type message struct {
	from, to int
	at       time.Time
	number   uint64
	sent     time.Time
	wants    []Want
	grants   []Grant
	answer   bool
}

// store gives the one part that matters to one member at a time.
type store struct {
	owner      int // -1 for none
	generation uint64
	till       time.Time
	// era begins with 1; copy is what the store comes back from.
	era  uint64
	copy *store
}

// restore brings back the copy, and makes another.
func (s *store) restore() {
	if s.copy != nil {
		owner, generation, till := s.copy.owner, s.copy.generation, s.copy.till
		s.owner, s.generation, s.till = owner, generation, till
		s.era++
	}
	now := *s
	now.copy = nil
	s.copy = &now
}

const hot = "hot"

var testQuota = workspace.Quota{Rate: 40, Burst: 40}

func testConfig() Config {
	cfg := DefaultConfig()
	cfg.Parts = 1
	cfg.Window, cfg.Overage, cfg.Slack = 5*time.Second, 0.1, 20
	return cfg
}

func newFleet(seed uint64, nodes int) *fleet {
	f := &fleet{cfg: testConfig(), quota: testQuota, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1000, 0)}
	f.lease.owner, f.lease.era = -1, 1
	for range nodes {
		f.nodes = append(f.nodes, &member{})
		f.restart(len(f.nodes) - 1)
	}
	return f
}

// restart begins a node anew: it knows nothing, and has another identity.
func (f *fleet) restart(i int) {
	*f.nodes[i] = member{holder: NewHolder(f.cfg), bank: NewBank(f.cfg), stopped: f.nodes[i].stopped, cut: f.nodes[i].cut}
	f.rng.Uint64()
	for b := range f.nodes[i].id {
		f.nodes[i].id[b] = byte(f.rng.Uint32())
	}
}

func (f *fleet) up(i int) bool  { return !f.now.Before(f.nodes[i].stopped) }
func (f *fleet) far(i int) bool { return f.now.Before(f.nodes[i].cut) }

const fleetStep = 10 * time.Millisecond

// step plays a moment in which about so many requests come to each node.
func (f *fleet) step(perNode float64) {
	f.now = f.now.Add(fleetStep)
	f.renew()
	f.deliver()
	for i := range f.nodes {
		if !f.up(i) {
			continue
		}
		for n := perNode; n > 0; n-- {
			if n >= 1 || f.rng.Float64() < n {
				f.request(i)
			}
		}
		if f.naive == nil {
			f.settle(i)
			f.askOwner(i)
		}
	}
}

// renew lets nodes renew the lease; the first that comes gets one that has ended.
func (f *fleet) renew() {
	for _, i := range f.rng.Perm(len(f.nodes)) {
		if !f.up(i) || f.far(i) || f.rng.IntN(int(f.cfg.RenewEvery/fleetStep)) != 0 {
			continue
		}
		if f.lease.owner != i && f.now.Before(f.lease.till) {
			continue
		}
		if f.lease.owner != i {
			f.lease.owner = i
			f.lease.generation++
		}
		f.lease.till = f.now.Add(f.cfg.LeaseLife)
		f.nodes[i].renewed(f)
	}
}

// renewed takes the store's answer to a renewal.
func (m *member) renewed(f *fleet) {
	if m.era != f.lease.era && (m.era != 0 || f.lease.era > 1) && !f.trusting {
		m.free = f.now.Add(f.cfg.LeaseLife)
	}
	m.era = f.lease.era
	m.tenure.Renewed(Lease{Sent: f.now, Life: f.cfg.LeaseLife, Generation: f.lease.era<<32 | f.lease.generation, Parts: []int{0}, FreeAt: m.free})
}

func (f *fleet) request(i int) {
	f.offered++
	m := f.nodes[i]
	if f.naive != nil {
		if m.bucket.take(f.now, f.naive(f.quota, len(f.nodes))) {
			f.letIn = append(f.letIn, f.now)
		}
		return
	}
	if token, answer := m.holder.Take(f.now, hot); answer == Taken {
		f.use(i, token)
	} else if answer == Wait {
		m.holder.Waiting(hot, 1)
		m.pending = append(m.pending, f.now)
	}
}

// settle lets in the requests that wait, or lets them go.
func (f *fleet) settle(i int) {
	m := f.nodes[i]
	var still []time.Time
	for _, came := range m.pending {
		token, answer := m.holder.Again(f.now, hot)
		if answer == Wait && f.now.Sub(came) < f.cfg.WaitMost {
			still = append(still, came)
			continue
		}
		m.holder.Waiting(hot, -1)
		if answer == Taken {
			f.use(i, token)
		}
	}
	m.pending = still
}

func (f *fleet) use(i int, t Token) {
	if f.rng.Float64() < f.refused {
		f.nodes[i].holder.Return(f.now, t)
		return
	}
	f.letIn = append(f.letIn, f.now)
}

func (b *bucket) take(now time.Time, q workspace.Quota) bool {
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

func (f *fleet) askOwner(i int) {
	m := f.nodes[i]
	if m.ask != nil && f.now.Sub(m.ask.sent) >= f.cfg.AskTimeout {
		m.holder.Unanswered(m.ask.wants)
		m.ask = nil
	}
	if m.ask != nil || f.lease.owner < 0 {
		return
	}
	wants := m.holder.Wants(f.now, func(string) bool { return true })
	if len(wants) == 0 || !wants[0].Urgent() {
		return
	}
	m.number++
	m.holder.Asked(f.now, wants)
	q := message{from: i, to: f.lease.owner, number: m.number, sent: f.now, wants: wants}
	m.ask = &q
	f.post(q)
}

// post sends a message.
func (f *fleet) post(m message) {
	if f.far(m.from) {
		return
	}
	if !f.lossy {
		m.at = f.now.Add(fleetStep)
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
		m.at = f.now.Add(time.Duration(f.rng.IntN(40)) * time.Millisecond)
		if f.rng.IntN(30) == 0 {
			m.at = f.now.Add(time.Duration(f.rng.IntN(4000)) * time.Millisecond)
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
		case m.at.After(f.now) || !f.up(m.to):
			later = append(later, m)
		case f.far(m.to):
		case m.answer:
			f.answered(m)
		default:
			f.asked(m)
		}
	}
	f.messages = append(later, f.messages...)
}

func (f *fleet) asked(m message) {
	owner := f.nodes[m.to]
	if !owner.bank.Accept(f.nodes[m.from].id, m.number) {
		return
	}
	answer := message{from: m.to, to: m.from, number: m.number, answer: true}
	for _, w := range m.wants {
		if since, owned := owner.tenure.Owns(f.now, 0); owned {
			answer.grants = append(answer.grants, owner.bank.Lend(f.now, since, f.nodes[m.from].id, w, f.quota))
		}
	}
	f.post(answer)
}

func (f *fleet) answered(m message) {
	node := f.nodes[m.to]
	if node.ask == nil || node.ask.number != m.number {
		return
	}
	node.holder.Granted(f.now, node.ask.sent, node.ask.wants, m.grants)
	node.ask = nil
}

// limit is the most that a window may hold.
func (f *fleet) limit() int {
	q := f.quota.Rate*f.cfg.Window.Seconds() + f.quota.Burst
	return int(q*(1+f.cfg.Overage) + f.cfg.Slack)
}

// most is the greatest number that was let in in any window.
func (f *fleet) most() int {
	most, first := 0, 0
	for i, at := range f.letIn {
		for at.Sub(f.letIn[first]) >= f.cfg.Window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// play runs for a time with faults drawn from the seed.
func (f *fleet) play(d time.Duration, perNode float64, faults bool) {
	f.lossy = faults
	for end := f.now.Add(d); f.now.Before(end); {
		if faults && f.rng.IntN(40) == 0 {
			f.fault()
		}
		f.step(perNode)
	}
}

func (f *fleet) fault() {
	i := f.rng.IntN(len(f.nodes))
	span := time.Duration(f.rng.IntN(5000)) * time.Millisecond
	if f.restores && f.rng.IntN(4) == 0 {
		f.lease.restore()
		return
	}
	switch f.rng.IntN(7) {
	case 0: // paused: it goes on with all that it knows
		f.nodes[i].stopped = f.now.Add(span)
	case 1: // killed
		f.restart(i)
		f.nodes[i].stopped = f.now.Add(span / 4)
	case 2, 3:
		f.nodes[i].cut = f.now.Add(span)
	case 4: // the owner is what hurts most
		if f.lease.owner >= 0 {
			f.nodes[f.lease.owner].stopped = f.now.Add(span)
		}
	case 6: // a service further down is short, or is not any more
		f.refused = float64(f.rng.IntN(3)) / 2
	case 5:
		if f.rng.IntN(5) == 0 { // all at once
			for j := range f.nodes {
				f.restart(j)
				f.nodes[j].stopped = f.now.Add(time.Second)
			}
		}
	}
}

// A workspace sends four times its quota at eight nodes, for half a minute, with nothing
// broken: no window holds more than it may, and what it may send is let in.
func TestHotWorkspaceGetsItsQuotaAndNoMore(t *testing.T) {
	is := is.New(t)
	f := newFleet(1, 8)
	f.play(30*time.Second, 4*testQuota.Rate/8*fleetStep.Seconds(), false)
	is.True(f.most() <= f.limit())
	perSecond := float64(len(f.letIn)) / 30
	is.True(perSecond > 0.9*(testQuota.Rate+testQuota.Burst/5))
}

// A workspace sends nine requests a second, well below its quota, over thirty nodes: a
// fixed part for each node would be less than two requests a second.
func TestSmallWorkspaceOverManyNodesIsNotRefused(t *testing.T) {
	is := is.New(t)
	f := newFleet(2, 30)
	f.quota = workspace.Quota{Rate: 15, Burst: 15}
	f.play(2*time.Second, 0, false)
	f.play(20*time.Second, 9.0/30*fleetStep.Seconds(), false)
	is.True(float64(len(f.letIn)) > 0.98*float64(f.offered))
	is.True(f.most() <= f.limit())
}

// Nodes are paused, killed, cut off and started anew, all of them at once at times;
// messages are lost, late and come twice; all or half of the requests with tokens are
// refused elsewhere for a while, and then none; the workspace sends up to ten times its quota.
// No window, over all nodes, holds more than it may.
func TestNoWindowHoldsMore(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		factor := rapid.Float64Range(0.5, 10).Draw(t, "times the quota")
		f.play(20*time.Second, factor*testQuota.Rate/float64(len(f.nodes))*fleetStep.Seconds(), true)
		if f.most() > f.limit() {
			t.Fatalf("%d in a window, %d may be", f.most(), f.limit())
		}
	})
}

// Guards against quotas that are lent twice when the store comes back from an older copy
// and gives away what another node still owns by a lease that it has forgotten.
func TestNoWindowHoldsMoreAfterRestores(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		f.restores = true
		factor := rapid.Float64Range(0.5, 10).Draw(t, "times the quota")
		f.play(20*time.Second, factor*testQuota.Rate/float64(len(f.nodes))*fleetStep.Seconds(), true)
		if f.most() > f.limit() {
			t.Fatalf("%d in a window, %d may be", f.most(), f.limit())
		}
	})
}

// Nodes that take the word of a store that has forgotten leases let in too much.
func TestTrustInARestoredStoreFails(t *testing.T) {
	is := is.New(t)
	most := 0
	for seed := range uint64(20) {
		f := newFleet(seed, 8)
		f.restores, f.trusting = true, true
		f.play(20*time.Second, 10*testQuota.Rate/8*fleetStep.Seconds(), true)
		most = max(most, f.most()-f.limit())
	}
	t.Logf("%d more than a window may hold", most)
	is.True(most > 0)
}

// The two ways without an exchange fail: each node with the whole quota lets in too
// much, each with its part refuses what a workspace may send when it sends at one node.
func TestWaysWithoutAnExchangeFail(t *testing.T) {
	is := is.New(t)
	whole := newFleet(3, 8)
	whole.naive = func(q workspace.Quota, _ int) workspace.Quota { return q }
	whole.play(15*time.Second, 4*testQuota.Rate/8*fleetStep.Seconds(), false)
	is.True(whole.most() > whole.limit())

	parts := newFleet(4, 8)
	parts.naive = func(q workspace.Quota, n int) workspace.Quota {
		return workspace.Quota{Rate: q.Rate / float64(n), Burst: q.Burst / float64(n)}
	}
	for range int(10 * time.Second / fleetStep) {
		parts.now = parts.now.Add(fleetStep)
		if parts.rng.Float64() < 0.6*testQuota.Rate*fleetStep.Seconds() {
			parts.request(0)
		}
	}
	is.True(float64(len(parts.letIn)) < 0.4*float64(parts.offered))
}
