package dispatch

import (
	"context"
	"errors"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// newNetworkDownUntil returns a network whose links to all nodes fail before a time.
func newNetworkDownUntil(up time.Time) *network {
	n := newNetwork(&network{forge: func(call.Request) []forgery { return nil }})
	n.script = func() event {
		if time.Now().Before(up) {
			return noLink
		}
		return answered
	}
	return n
}

// Guards against a failed action whose work is done: a call of a running request is given up,
// although it was never sent and most of its deadline is left, because no node could be
// reached for a moment.
func TestCallOfARunOutlastsLostLinks(t *testing.T) {
	for _, operation := range []string{"once", "safe"} {
		for _, key := range []string{"", "own"} {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				n := newNetworkDownUntil(time.Now().Add(3 * time.Second))
				p := params(t, operation, 0)
				p.Deadline = time.Now().Add(7 * time.Second)
				p.ForRun, p.Key = true, key
				out := n.d.Call(t.Context(), p)
				is.Equal(out.Verdict, verdict.Ran)
				is.Equal(len(n.ranAt), 1)
				is.Equal(n.d.Counts().Retries, uint64(0))
			})
		}
	}
}

// Guards against a call that waits for lost links until its deadline has passed, so that
// the run that made it can no longer answer, and against dials without a pause.
func TestTransparentRetriesEndBeforeTheDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		n := newNetworkDownUntil(start.Add(time.Hour))
		p := params(t, "once", 0)
		p.Deadline = start.Add(5 * time.Second)
		p.ForRun = true
		out := n.d.Call(t.Context(), p)
		is.Equal(out.Verdict, verdict.NotRun)
		is.Equal(out.Reason, verdict.ConnectionLost)
		is.True(out.RetryAfter > 0)
		is.True(time.Now().Before(p.Deadline))
		is.True(n.linksAsked < 200)
	})
}

// Guards against an entering request that is held while no node can be reached: its caller
// can resend it elsewhere.
func TestEnteringRequestIsRefusedAtOnceWhenLinksAreLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		start := time.Now()
		n := newNetworkDownUntil(start.Add(time.Hour))
		p := params(t, "once", 2)
		p.FromCaller = true
		out := n.d.Call(t.Context(), p)
		is.Equal(out.Verdict, verdict.NotRun)
		is.True(out.RetryAfter > 0)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// Guards against a failed action whose work is done: its call finds no node of a service for
// a moment.
func TestCallOfARunWaitsForANode(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now())
		nodes := n.nodes
		n.nodes = nil
		n.d.members = changingMembers{n}
		time.AfterFunc(time.Second, func() { n.nodes = nodes })
		p := params(t, "once", 0)
		p.Deadline = time.Now().Add(7 * time.Second)
		p.ForRun = true
		is.Equal(n.d.Call(t.Context(), p).Verdict, verdict.Ran)
	})
}

// Guards against "may have run" for a key whose node can't be reached for a moment. A node that
// is no longer there is not waited for.
func TestCallWithABoundKeyOutlastsLostLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now().Add(time.Second))
		p := params(t, "once", 0)
		p.Deadline = time.Now().Add(3 * time.Second)
		p.FromCaller, p.Key, p.KeyHolder = true, "minted", n.nodes[1]
		is.Equal(n.d.Call(t.Context(), p).Verdict, verdict.Ran)
		is.Equal(n.ranAt, []wire.NodeID{n.nodes[1]})

		start := time.Now()
		n = newNetworkDownUntil(start.Add(time.Hour))
		n.d.members = gone{n}
		p.Deadline = start.Add(3 * time.Second)
		out := n.d.Call(t.Context(), p)
		is.Equal(out.Verdict, verdict.MayHaveRun)
		is.Equal(out.Reason, verdict.KeyHolderGone)
		is.Equal(time.Since(start), time.Duration(0))
	})
}

// gone is a view of a network in which no node is believed to be alive.
type gone struct{ *network }

func (gone) Known(wire.NodeID) bool { return false }

func (gone) Gone(wire.NodeID) bool { return true }

// Guards against "may have run" for a key of a node that has just started and that this node
// hasn't heard of.
func TestKeyOfANewNodeWaitsUntilItIsKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now())
		n.d.members = unknownUntil{n, time.Now().Add(300 * time.Millisecond)}
		p := params(t, "once", 0)
		p.FromCaller, p.Key, p.KeyHolder = true, "minted", n.nodes[1]
		is.Equal(n.d.Call(t.Context(), p).Verdict, verdict.Ran)

		n.d.members = unknownUntil{n, time.Now().Add(time.Hour)}
		out := n.d.Call(t.Context(), p)
		is.Equal(out.Verdict, verdict.MayHaveRun)
		is.Equal(out.Reason, verdict.KeyHolderGone)
	})
}

// unknownUntil is a view of a network in which no node has been heard of before a time.
type unknownUntil struct {
	*network
	at time.Time
}

func (u unknownUntil) Known(wire.NodeID) bool { return !time.Now().Before(u.at) }

// changingMembers gives each set of candidates of a network a version of its own.
type changingMembers struct{ *network }

func (m changingMembers) Candidates(service string) ([]balancer.Candidate, uint64) {
	candidates, _ := m.network.Candidates(service)
	return candidates, uint64(len(candidates))
}

// Property: transparent retries of a call of a run take no extra attempts, and never repeat an attempt
// that may have run unless the call is idempotent or keyed.
func TestPropCallOfARun(t *testing.T) {
	const schedules = 2000
	for seed := range uint64(schedules) {
		synctest.Test(t, func(t *testing.T) { checkCallOfARun(t, rand.New(rand.NewPCG(seed, 0))) })
	}
}

func checkCallOfARun(t *testing.T, rng *rand.Rand) {
	is := is.New(t)
	extra := uint32(rng.IntN(5))
	p := params(t, []string{"once", "safe"}[rng.IntN(2)], extra)
	p.ForRun = true
	if rng.IntN(2) == 0 {
		p.Key = "own"
	}
	sent := 0
	n := newNetwork(&network{forge: func(call.Request) []forgery { return nil }})
	n.script = func() event {
		e := allEvents[rng.IntN(len(allEvents))]
		if e != noLink && e != notQueued && e != cutBeforeSend {
			sent++
		}
		return e
	}

	out := n.d.Call(t.Context(), p)

	ran := len(n.ranAt)
	is.True(out.Verdict != verdict.NotRun || ran == 0)
	is.True(out.Verdict != verdict.Ran || ran > 0)
	is.True(ran <= 1 || p.Operation.Idempotent || p.Key != "")
	for _, id := range n.ranAt {
		is.True(p.Key == "" || p.Operation.Idempotent || id == n.ranAt[0]) // a key stays where it may have run
	}
	is.True(sent <= 1+int(extra))
	is.True(n.grants+p.Ledger.Available() <= extra)
	transparent := int(n.d.Counts().TransparentRetries)
	is.Equal(uint32(n.linksAsked-1-transparent)+n.grants+p.Ledger.Available(), extra)
}

var errUnreachable = errors.New("unreachable")

// partlyDown is a network in which the link to one node fails.
type partlyDown struct {
	*network
	down wire.NodeID
}

func (l partlyDown) Link(ctx context.Context, id wire.NodeID) (Link, error) {
	if id == l.down {
		return nil, errUnreachable
	}
	return l.network.Link(ctx, id)
}

// Guards against a pause before a call moves to a node that can be reached.
func TestTransparentRetryMovesToAnotherNodeAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		n := newNetworkDownUntil(time.Now())
		for _, down := range n.nodes {
			n.d.linker = partlyDown{n, down}
			start := time.Now()
			p := params(t, "once", 0)
			p.ForRun = true
			is.Equal(n.d.Call(t.Context(), p).Verdict, verdict.Ran)
			is.Equal(time.Since(start), time.Duration(0))
		}
	})
}
