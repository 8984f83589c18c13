package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// scheduleSteps lets a schedule get as far as a resend after an answer; at 30
// a callee that forgot used keys was not found out.
const scheduleSteps = 80

// Property: over any schedule of deliveries, copies, cancellations, crashes,
// restarts, drains, log outages and lost appends, no action runs twice, and an
// attempt that was told "not run" never runs. An action without a key is sent
// again only after "not run"; one with a key is sent again at any moment,
// through any node.
func TestPropAtMostOnceAndNotRun(t *testing.T) {
	proptest.CheckSteps(t, scheduleSteps, func(rt *rapid.T) {
		m := newMachine(t, 3)
		c := &callers{m: m}
		rt.Repeat(map[string]func(*rapid.T){
			"send":    func(rt *rapid.T) { c.send(rt) },
			"resend":  func(rt *rapid.T) { c.resend(rt) },
			"deliver": func(rt *rapid.T) { check(rt, c.deliver(rt)) },
			"done":    func(rt *rapid.T) { check(rt, c.done(rt)) },
			"cancel":  func(rt *rapid.T) { check(rt, c.cancel(rt)) },
			"bind":    func(rt *rapid.T) { check(rt, c.bind(rt)) },
			"tick": func(rt *rapid.T) {
				check(rt, m.tick(time.Duration(rapid.IntRange(1, 1500).Draw(rt, "ms"))*time.Millisecond))
			},
			"restart": func(rt *rapid.T) { m.restart(rapid.IntRange(0, 2).Draw(rt, "node")) },
			"drain":   func(rt *rapid.T) { check(rt, c.drain(rt)) },
		})
	})
}

func check(rt *rapid.T, err error) {
	if err != nil {
		rt.Fatal(err)
	}
}

// callers choose what to do next.
type callers struct {
	m    *machine
	sent []*attempt
}

func (c *callers) send(rt *rapid.T) {
	m := c.m
	to := rapid.IntRange(0, len(m.servers)-1).Draw(rt, "to")
	action := m.newAction()
	key := ""
	switch rapid.IntRange(0, 2).Draw(rt, "kind of key") {
	case 1:
		minted, _, err := m.servers[to].Mint(m.now, "act")
		if err != nil {
			return
		}
		key = minted
	case 2:
		key = fmt.Sprint("own-", action)
	}
	imp := importance.Importance(rapid.IntRange(0, importance.Count-1).Draw(rt, "importance"))
	c.sent = append(c.sent, m.send(action, to, key, imp))
}

func (c *callers) resend(rt *rapid.T) {
	if len(c.sent) == 0 {
		return
	}
	a := rapid.SampledFrom(c.sent).Draw(rt, "attempt")
	if a.req.Key == "" && (a.answers == 0 || a.verdict != verdict.NotRun || c.newer(a)) {
		return
	}
	to := rapid.IntRange(0, len(c.m.servers)-1).Draw(rt, "to")
	if a.req.Key != "" && rapid.Bool().Draw(rt, "same node") {
		to = int(a.req.To[0]) - 1
	}
	c.sent = append(c.sent, c.m.send(a.action, to, a.req.Key, a.req.Importance))
}

// newer reports whether the action was already sent again.
func (c *callers) newer(a *attempt) bool {
	for _, b := range c.sent {
		if b.action == a.action && b.req.Seq > a.req.Seq {
			return true
		}
	}
	return false
}

func (c *callers) deliver(rt *rapid.T) error {
	if len(c.m.wires) == 0 {
		return nil
	}
	newest := len(c.m.wires) - 1
	if rapid.Bool().Draw(rt, "newest") {
		return c.m.deliver(newest)
	}
	return c.m.deliver(rapid.IntRange(0, newest).Draw(rt, "message"))
}

func (c *callers) done(rt *rapid.T) error {
	n, id, ok := c.running(rapid.IntRange(0, len(c.m.servers)-1).Draw(rt, "node"))
	if !ok {
		return nil
	}
	r := rapid.SampledFrom([]Result{
		{Verdict: verdict.Ran, Status: 200, Latency: time.Millisecond},
		{Verdict: verdict.MayHaveRun, Reason: verdict.Lost},
		{Verdict: verdict.MayHaveRun, Reason: verdict.Deadline},
		{Verdict: verdict.NotRun, Reason: verdict.Shed},
		{Verdict: verdict.MayHaveRun, Reason: verdict.Lost, Crashed: true},
	}).Draw(rt, "result")
	if err := c.m.done(n, id, r); err != nil {
		return err
	}
	return c.m.apply(n, c.m.servers[n].SetReady(c.m.now, true))
}

// running finds a running task, from the given node on.
func (c *callers) running(from int) (node int, id uint64, ok bool) {
	for i := range c.m.runs {
		n := (from + i) % len(c.m.runs)
		if id, ok := oldest(c.m.runs[n]); ok {
			return n, id, true
		}
	}
	return 0, 0, false
}

func oldest(runs map[uint64]*Task) (uint64, bool) {
	var least uint64
	for id := range runs {
		if least == 0 || id < least {
			least = id
		}
	}
	return least, least != 0
}

func (c *callers) cancel(rt *rapid.T) error {
	if len(c.sent) == 0 {
		return nil
	}
	a := rapid.SampledFrom(c.sent).Draw(rt, "attempt")
	for n, id := range c.m.ids {
		if id == a.req.To {
			return c.m.apply(n, c.m.servers[n].Cancel(c.m.now, call.Cancel{From: a.req.From, Seq: a.req.Seq, To: id}))
		}
	}
	return nil
}

func (c *callers) bind(rt *rapid.T) error {
	n := rapid.IntRange(0, len(c.m.servers)-1).Draw(rt, "node")
	return c.m.bind(n, rapid.IntRange(0, 3).Draw(rt, "outage") == 0, rapid.Bool().Draw(rt, "lost"))
}

func (c *callers) drain(rt *rapid.T) error {
	n := rapid.IntRange(0, len(c.m.servers)-1).Draw(rt, "node")
	return c.m.apply(n, c.m.servers[n].Drain(c.m.now))
}

// A caller's notice is refused because the node's backend server has not
// announced itself; the caller is told "not run" and sends the notice to
// another node, where it runs. Then the network delivers a copy of the first
// attempt, to a node that is ready by now. The copy must not run.
func lateCopy(t *testing.T, m *machine) error {
	is := is.New(t)
	m.servers[0].SetReady(m.now, false)
	first := m.send(m.newAction(), 0, "", importance.Normal)
	is.NoErr(m.deliver(0))
	is.Equal(first.verdict, verdict.NotRun)

	m.servers[0].SetReady(m.now, true)
	m.send(first.action, 1, "", importance.Normal)
	is.NoErr(m.deliver(1))

	return m.deliver(0)
}

func TestLateCopyOfARefusedAttemptDoesNotRun(t *testing.T) {
	is := is.New(t)
	is.NoErr(lateCopy(t, newMachine(t, 2)))
}

// The same schedule at a callee that remembers no attempts: the check is able
// to fail.
func TestNaiveCalleeRunsTheLateCopy(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 2)
	m.forgetful = true
	is.True(lateCopy(t, m) != nil)
}

// A node is replaced by another process on the same address while an attempt
// is on its way. The new process neither runs it, since it may have run before,
// nor says "not run", for the same reason; the sender concludes by itself.
func TestCopyForAnEarlierIncarnationDoesNotRun(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 1)
	m.copies = false
	a := m.send(m.newAction(), 0, "", importance.Normal)
	m.restart(0)

	is.NoErr(m.deliver(0))

	is.Equal(a.answers, 0)
	is.Equal(len(m.runs[0]), 0)
}

// A caller sends a key again through another node while its first run goes on.
// The second attempt joins the first: one run, two equal answers.
func TestResendJoinsTheRunningKey(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 2)
	key, _, err := m.servers[0].Mint(m.now, "act")
	is.True(err == nil)
	first := m.send(m.newAction(), 0, key, importance.Normal)
	second := m.send(first.action, 0, key, importance.Normal)
	second.req.From = wire.NodeID{0xfe}
	is.NoErr(m.deliver(0))
	is.NoErr(m.deliver(1))
	is.Equal(second.answers, 0)

	id, ok := oldest(m.runs[0])
	is.True(ok)
	is.NoErr(m.done(0, id, Result{Verdict: verdict.Ran, Status: 200}))

	is.Equal(first.verdict, verdict.Ran)
	is.Equal(second.verdict, verdict.Ran)
	is.Equal(m.oracle.runs[first.action], 1)
}

// A caller's own key is bound to a node, and the request then waits behind
// another until the binding has ended. By then a resend may be bound to another
// node, which knows of no earlier one: starting the first now could run the
// action twice. It is refused instead.
func TestQueuedPastTheEndOfItsBindingDoesNotRun(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 1)
	m.servers[0].cfg.Policy = PolicyFixed
	m.servers[0].cfg.Limit.Initial = 1
	m.send(m.newAction(), 0, "", importance.Normal)
	is.NoErr(m.deliver(0))
	a := m.send(m.newAction(), 0, "own", importance.Normal)
	m.wires[1].Budget = 2 * once.DefaultConfig().HeldFor
	is.NoErr(m.deliver(1))
	is.NoErr(m.bind(0, false, false))
	is.NoErr(m.bind(0, false, false))
	is.Equal(m.servers[0].queue.Len(), 1)

	is.NoErr(m.tick(once.DefaultConfig().HeldFor + time.Second))

	is.Equal(a.verdict, verdict.NotRun)
	is.Equal(m.oracle.runs[a.action], 0)
}

// Callers' own keys while the log is down: the node cannot bind the key, so
// nothing runs and the caller is told "not run" and when to come back.
func TestOwnKeyInALogOutageIsNotRun(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 1)
	a := m.send(m.newAction(), 0, "own", importance.Normal)
	is.NoErr(m.deliver(0))
	for range 40 {
		is.NoErr(m.bind(0, true, false))
		is.NoErr(m.tick(100 * time.Millisecond))
	}
	is.Equal(a.verdict, verdict.NotRun)
	is.Equal(m.oracle.runs[a.action], 0)
}
