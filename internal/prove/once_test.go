package prove

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rig"
)

// Guards against repeated runs when nodes, backend servers and instances are
// killed with requests in flight and restarted on the same addresses.
func TestProveAtMostOnceUnderKills(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	rng := newRand(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	for range 14 {
		time.Sleep(randomDuration(rng, 300*time.Millisecond, time.Second))
		victim := pick(rng, f.Instances)
		node, server := rng.IntN(3) != 0, rng.IntN(3) != 0
		if server {
			is.NoErr(victim.Backend.Kill())
		}
		if node {
			is.NoErr(victim.Node.Kill())
		}
		time.Sleep(randomDuration(rng, 0, 800*time.Millisecond))
		if node {
			is.NoErr(f.RestartNode(victim))
		}
		if server {
			is.NoErr(f.RestartBackend(victim))
		}
	}
	traffic.End()
	tally, _ := settleAndCheck(t, f)
	is.True(tally.ActionsToldRan > 200) // most requests still succeed
	is.True(tally.MayHaveRun > 0)       // the kills interrupted requests
}

// Guards against repeated runs when a frozen node resumes with buffered requests
// that their callers have resent through other nodes.
func TestProveAtMostOnceUnderFreezes(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	rng := newRand(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	for range 6 {
		time.Sleep(randomDuration(rng, 200*time.Millisecond, 600*time.Millisecond))
		victim := pick(rng, f.Instances)
		frozen := victim.Node
		if rng.IntN(3) == 0 {
			frozen = victim.Backend
		}
		is.NoErr(frozen.Signal(syscall.SIGSTOP))
		time.Sleep(randomDuration(rng, 300*time.Millisecond, 5*time.Second))
		is.NoErr(frozen.Signal(syscall.SIGCONT))
	}
	traffic.End()
	tally, _ := settleAndCheck(t, f)
	is.True(tally.ActionsToldRan > 100)
	is.True(tally.MayHaveRun > 0)
}

// Guards against repeated runs when connections break with messages in flight,
// or messages arrive after callers have resent through other nodes.
func TestProveAtMostOnceUnderCuts(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	rng := newRand(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	peers := f.PeerAddrs()
	for range 16 {
		time.Sleep(randomDuration(rng, 100*time.Millisecond, 500*time.Millisecond))
		state := pick(rng, []LinkState{Cut, Stalled})
		switch rng.IntN(3) {
		case 0:
			f.Network.SetAll(state)
		case 1:
			f.Network.Isolate(pick(rng, peers), peers, state)
		default:
			f.Network.Set(pick(rng, peers), pick(rng, peers), state)
		}
		time.Sleep(randomDuration(rng, 50*time.Millisecond, 1500*time.Millisecond))
		f.Network.SetAll(Open)
	}
	traffic.End()
	tally, _ := settleAndCheck(t, f)
	is.True(tally.ActionsToldRan > 100)
	is.True(tally.MayHaveRun > 0)
}

// slowFilingOptions returns options in which a filing takes long enough for
// faults during its run.
func slowFilingOptions() Options {
	opts := defaultOptions()
	opts.Shape.Services[1].Times = []string{"file=700ms,constant"}
	return opts
}

// newKey returns a key of the kind for the action.
func newKey(t *testing.T, f *Fleet, kind KeyKind, action string) string {
	t.Helper()
	if kind == CallerKey {
		return "own-" + action
	}
	key, err := f.Mint(t.Context(), f.Instances[0].CallerAddr, fileOp)
	is.New(t).NoErr(err)
	return key
}

// sendAsync sends in a new goroutine.
func sendAsync(f *Fleet, ctx context.Context, s Invocation) <-chan Invocation {
	result := make(chan Invocation, 1)
	go func() { result <- f.Send(ctx, s) }()
	return result
}

// awaitRun waits until a filing of the action runs and returns its instance.
func awaitRun(t *testing.T, f *Fleet, action string) *rig.Instance {
	t.Helper()
	is := is.New(t)
	for range 100 {
		runs, err := f.Runs()
		is.NoErr(err)
		for _, r := range runsFor(runs, fileOp, action) {
			for _, i := range f.Instances {
				if i.Name == r.Instance {
					return i
				}
			}
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s did not run", action)
	return nil
}
