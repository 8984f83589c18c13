package outage

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/wire"
)

var (
	startTime = time.Unix(1000, 0)
	deep      = Target{Service: "deep"}
	nodeA     = wire.NodeID{1}
	nodeB     = wire.NodeID{2}
	both      = []wire.NodeID{nodeA, nodeB}
)

func at(d time.Duration) time.Time { return startTime.Add(d) }

// lostTracker returns a tracker for which both nodes of deep have failed silently.
func lostTracker() *Tracker {
	t := NewTracker(DefaultConfig(), 1)
	t.Failed(startTime, deep, nodeA, false, both)
	t.Failed(startTime, deep, nodeB, false, both)
	return t
}

// Guards against refusing what another node could have served.
func TestOneFailedNodeIsNoLoss(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig(), 1)
	for i := range 100 {
		now := at(time.Duration(i) * time.Millisecond)
		tr.Failed(now, deep, nodeA, true, both)
		is.True(!tr.Lost(now, deep, both))
	}
	tr.Reached(at(time.Second), deep)
	tr.Failed(at(time.Second), deep, nodeB, true, both)
	is.True(!tr.Lost(at(time.Second), deep, both)) // A has answered since it failed
}

// Guards against a loss made up of failures that are long past.
func TestOldFailuresDoNotCount(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig(), 1)
	tr.Failed(startTime, deep, nodeA, false, both)
	later := at(DefaultConfig().FailureTTL + time.Millisecond)
	tr.Failed(later, deep, nodeB, false, both)
	is.True(!tr.Lost(later, deep, both))
}

// Guards against a service that stays lost after its return, and against a return that is
// noticed only by chance.
func TestLossEnds(t *testing.T) {
	is := is.New(t)
	tr := lostTracker()
	is.True(tr.Lost(startTime, deep, both))
	tr.Reached(at(time.Second), deep)
	is.True(!tr.Lost(at(time.Second), deep, both))
	is.Equal(tr.TakeChanges(), []Change{{Target: deep, Lost: true}, {Target: deep, Lasted: time.Second}})
	is.Equal(len(tr.targets), 0)

	tr = lostTracker()
	is.True(!tr.Lost(startTime, deep, append(both, wire.NodeID{3}))) // a new node

	tr = NewTracker(DefaultConfig(), 1)
	tr.NoNode(startTime, deep)
	is.True(tr.Lost(startTime, deep, nil))
	is.True(tr.Ended(deep))
	is.True(!tr.Lost(startTime, deep, []wire.NodeID{nodeA}))
}

// Guards against all of a large service having to fail before it counts as lost.
func TestLossOfALargeService(t *testing.T) {
	is := is.New(t)
	tr := NewTracker(DefaultConfig(), 1)
	nodes := make([]wire.NodeID, 300)
	for i := range nodes {
		nodes[i] = wire.NodeID{byte(i), byte(i >> 8), 1}
	}
	for i := range DefaultConfig().MaxNodes {
		is.True(!tr.Lost(startTime, deep, nodes))
		tr.Failed(startTime, deep, nodes[i], false, nodes)
	}
	is.True(tr.Lost(startTime, deep, nodes))

	read := Target{Service: "deep", Operation: "read"}
	for i := range DefaultConfig().MaxOperationNodes {
		is.True(!tr.Lost(startTime, read, nodes))
		tr.Failed(startTime, read, nodes[i], false, nodes)
	}
	is.True(tr.Lost(startTime, read, nodes))
}

// Guards against a lost service that is never asked again, and against many requests that fail
// to find out.
func TestProbesAreFew(t *testing.T) {
	is := is.New(t)
	var tr *Tracker
	for idempotent, interval := range map[bool]time.Duration{true: DefaultConfig().ProbeInterval, false: DefaultConfig().MaxProbeInterval} {
		tr = lostTracker()
		probes := 0
		for i := range 3000 {
			now := at(time.Duration(i) * time.Millisecond)
			if !tr.Refuses(now, deep, both, Need{Idempotent: idempotent}) {
				probes++
				tr.Failed(now, deep, nodeA, false, both)
			}
		}
		is.Equal(probes, int(3*time.Second/interval)-1)
	}
	is.True(tr.Refuses(at(time.Minute), deep, both, Need{Noticed: true}))

	tr = lostTracker()
	for i := range 10 { // few requests: most would be let through by time alone
		refused := tr.Refuses(at(time.Duration(i)*250*time.Millisecond), deep, both, Need{Idempotent: true})
		is.Equal(refused, i%4 != 0 || i == 0)
	}
}

// Guards against refusals in a short loss, which runs can wait out.
func TestShortLossRefusesNothing(t *testing.T) {
	is := is.New(t)
	tr := lostTracker()
	short, long := at(DefaultConfig().RefuseAfter/2), at(DefaultConfig().RefuseAfter)
	is.True(!tr.Refuses(short, deep, both, Need{MayWait: true}))
	is.True(tr.Refuses(short, deep, both, Need{Noticed: true}))
	is.True(tr.Refuses(long, deep, both, Need{MayWait: true, Noticed: true}))
}

// Guards against callers that have used up their retries long before their deadline.
func TestRetryAfterFollowsTheDeadline(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	tr := lostTracker()
	for range 100 {
		after := tr.RetryAfter(startTime, deep, 0)
		is.True(after >= cfg.RetryMin/2 && after < 3*cfg.RetryMin/2)
		after = tr.RetryAfter(at(time.Minute), deep, 0)
		is.True(after >= cfg.RetryMax/2 && after < 3*cfg.RetryMax/2)
		after = tr.RetryAfter(startTime, deep, 6*time.Second)
		is.True(after < 3*cfg.RetryMin/2) // another node may reach it
		after = tr.RetryAfter(at(cfg.RefuseAfter), deep, 6*time.Second)
		is.True(after > time.Second && after <= 2*time.Second)
	}
}

// A loss counts as certain only while no node is merely silent.
func TestEndedNodes(t *testing.T) {
	is := is.New(t)
	is.True(!lostTracker().Ended(deep))
	tr := NewTracker(DefaultConfig(), 1)
	tr.Failed(startTime, deep, nodeA, true, both)
	tr.Failed(startTime, deep, nodeB, true, both)
	is.True(tr.Ended(deep))
}

// Guards against memory growth by targets that are never reached again.
func TestTargetsAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultConfig()
	cfg.Targets = 3
	tr := NewTracker(cfg, 1)
	for i := range 10 {
		tr.Failed(startTime, Target{Service: string(rune('a' + i))}, nodeA, false, both)
	}
	is.Equal(len(tr.targets), 3)
	tr.Failed(at(time.Minute), Target{Service: "z"}, nodeA, false, both)
	is.Equal(len(tr.targets), 1)
}
