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

// scheduleSteps is long enough to reach a resend after an answer, which detects
// a callee that forgets used keys.
const scheduleSteps = 80

// Under any schedule of faults no action runs twice, and no attempt runs after NotRun.
// Keyed actions are resent at any time by any node, others only after NotRun.
func TestPropAtMostOnceAndNotRun(t *testing.T) {
	proptest.CheckSteps(t, scheduleSteps, func(rt *rapid.T) {
		m := newMachine(t, 3)
		c := &callers{m: m}
		rt.Repeat(map[string]func(*rapid.T){
			"send":    func(rt *rapid.T) { c.send(rt) },
			"resend":  func(rt *rapid.T) { c.resend(rt) },
			"deliver": func(rt *rapid.T) { check(rt, c.deliver(rt)) },
			"done":    func(rt *rapid.T) { check(rt, c.complete(rt)) },
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

// callers draws the events of a schedule.
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
	if a.req.Key == "" && (a.answers == 0 || a.verdict != verdict.NotRun || c.resent(a)) {
		return
	}
	to := rapid.IntRange(0, len(c.m.servers)-1).Draw(rt, "to")
	if a.req.Key != "" && rapid.Bool().Draw(rt, "same node") {
		to = int(a.req.To[0]) - 1
	}
	c.sent = append(c.sent, c.m.send(a.action, to, a.req.Key, a.req.Importance))
}

// resent reports whether the action has been resent after attempt a.
func (c *callers) resent(a *attempt) bool {
	for _, b := range c.sent {
		if b.action == a.action && b.req.Seq > a.req.Seq {
			return true
		}
	}
	return false
}

func (c *callers) deliver(rt *rapid.T) error {
	if len(c.m.inTransit) == 0 {
		return nil
	}
	newest := len(c.m.inTransit) - 1
	if rapid.Bool().Draw(rt, "newest") {
		return c.m.deliver(newest)
	}
	return c.m.deliver(rapid.IntRange(0, newest).Draw(rt, "message"))
}

func (c *callers) complete(rt *rapid.T) error {
	n, id, ok := c.running(rapid.IntRange(0, len(c.m.servers)-1).Draw(rt, "node"))
	if !ok {
		return nil
	}
	r := rapid.SampledFrom([]Result{
		{Verdict: verdict.Ran, Status: 200, Latency: time.Millisecond},
		{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost},
		{Verdict: verdict.MayHaveRun, Reason: verdict.Deadline},
		{Verdict: verdict.NotRun, Reason: verdict.Shed},
		{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Crashed: true},
	}).Draw(rt, "result")
	if err := c.m.complete(n, id, r); err != nil {
		return err
	}
	return c.m.apply(n, c.m.servers[n].SetReady(c.m.now, true))
}

// running returns the oldest task of the first node, from the given one on, that
// runs any.
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

// deliverLateCopy has a node without backend server refuse an attempt, runs the action at
// another node and then delivers a copy of the refused attempt to the first node,
// which is ready by then. It returns an error if the copy runs.
func deliverLateCopy(t *testing.T, m *machine) error {
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

func TestLateCopyOfRefusedAttemptDoesNotRun(t *testing.T) {
	is := is.New(t)
	is.NoErr(deliverLateCopy(t, newMachine(t, 2)))
}

// Checks that deliverLateCopy detects a callee that does not remember attempts.
func TestLateCopyCheckDetectsNaiveCallee(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 2)
	m.forgetful = true
	is.True(deliverLateCopy(t, m) != nil)
}

// An attempt for an earlier incarnation may have run there: the new one at the same
// address must neither run it nor answer NotRun.
func TestAttemptForEarlierIncarnationDoesNotRun(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 1)
	m.copies = false
	a := m.send(m.newAction(), 0, "", importance.Normal)
	m.restart(0)

	is.NoErr(m.deliver(0))

	is.Equal(a.answers, 0)
	is.Equal(len(m.runs[0]), 0)
}

// A resend with the key of a running task must join it instead of running twice.
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
	is.NoErr(m.complete(0, id, Result{Verdict: verdict.Ran, Status: 200}))

	is.Equal(first.verdict, verdict.Ran)
	is.Equal(second.verdict, verdict.Ran)
	is.Equal(m.oracle.runs[first.action], 1)
}

// A request that is still queued when the binding of its key ends must be refused:
// a resend may be bound to another node by then, and the action would run twice.
func TestRequestQueuedPastItsBindingDoesNotRun(t *testing.T) {
	is := is.New(t)
	m := newMachine(t, 1)
	m.servers[0].cfg.Policy = PolicyFixed
	m.servers[0].cfg.Limit.Initial = 1
	m.send(m.newAction(), 0, "", importance.Normal)
	is.NoErr(m.deliver(0))
	a := m.send(m.newAction(), 0, "own", importance.Normal)
	m.inTransit[1].Budget = 2 * once.DefaultConfig().BindingTTL
	is.NoErr(m.deliver(1))
	is.NoErr(m.bind(0, false, false))
	is.NoErr(m.bind(0, false, false))
	is.Equal(m.servers[0].queue.Len(), 1)

	is.NoErr(m.tick(once.DefaultConfig().BindingTTL + time.Second))

	is.Equal(a.verdict, verdict.NotRun)
	is.Equal(m.oracle.runs[a.action], 0)
}

// While the log is down, a request whose key can't be bound must be refused and not run.
func TestCallerKeyIsRefusedDuringLogOutage(t *testing.T) {
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
