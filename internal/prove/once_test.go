package prove

import (
	"context"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rig"
)

// Callers send notices, filings and reads, give up at random and resend as
// they may. Meanwhile nodes, backend servers and whole instances are killed
// with requests in flight and started again on the same addresses.
func TestProveAtMostOnceUnderKills(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	rng := random(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	for range 14 {
		time.Sleep(between2(rng, 300*time.Millisecond, time.Second))
		victim := pick(rng, f.Instances)
		node, server := rng.IntN(3) != 0, rng.IntN(3) != 0
		if server {
			is.NoErr(victim.Backend.Kill())
		}
		if node {
			is.NoErr(victim.Node.Kill())
		}
		time.Sleep(between2(rng, 0, 800*time.Millisecond))
		if node {
			is.NoErr(f.RestartNode(victim))
		}
		if server {
			is.NoErr(f.RestartBackend(victim))
		}
	}
	traffic.End()
	tally, _ := judge(t, f)
	is.True(tally.ActionsToldRan > 200) // the fleet went on working
	is.True(tally.MayHaveRun > 0)       // the kills were felt
}

// Nodes are frozen with requests in flight and go on after a while, some only
// when all others hold them for dead. A frozen node wakes up with requests in
// its sockets that their callers have sent again elsewhere meanwhile.
func TestProveAtMostOnceUnderFreezes(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	rng := random(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	for range 6 {
		time.Sleep(between2(rng, 200*time.Millisecond, 600*time.Millisecond))
		victim := pick(rng, f.Instances)
		frozen := victim.Node
		if rng.IntN(3) == 0 {
			frozen = victim.Backend
		}
		is.NoErr(frozen.Signal(syscall.SIGSTOP))
		time.Sleep(between2(rng, 300*time.Millisecond, 5*time.Second))
		is.NoErr(frozen.Signal(syscall.SIGCONT))
	}
	traffic.End()
	tally, _ := judge(t, f)
	is.True(tally.ActionsToldRan > 100)
	is.True(tally.MayHaveRun > 0)
}

// Connections between nodes are cut with messages in flight, and links stall
// so that messages arrive late, when their senders have given up and callers
// have resent through other nodes.
func TestProveAtMostOnceUnderCuts(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	rng := random(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	peers := f.PeerAddrs()
	for range 16 {
		time.Sleep(between2(rng, 100*time.Millisecond, 500*time.Millisecond))
		state := pick(rng, []LinkState{Cut, Stalled})
		switch rng.IntN(3) {
		case 0:
			f.Network.SetAll(state)
		case 1:
			f.Network.Isolate(pick(rng, peers), peers, state)
		default:
			f.Network.Set(pick(rng, peers), pick(rng, peers), state)
		}
		time.Sleep(between2(rng, 50*time.Millisecond, 1500*time.Millisecond))
		f.Network.SetAll(Open)
	}
	traffic.End()
	tally, _ := judge(t, f)
	is.True(tally.ActionsToldRan > 100)
	is.True(tally.MayHaveRun > 0)
}

// slowFiling is a fleet in which a filing takes long enough for a test to do
// something meanwhile.
func slowFiling() Options {
	opts := options()
	opts.Shape.Services[1].Times = []string{"file=700ms,constant"}
	return opts
}

// keyOf returns a key of the kind, for one action.
func keyOf(t *testing.T, f *Fleet, kind KeyKind, action string) string {
	t.Helper()
	if kind == OwnKey {
		return "own-" + action
	}
	key, err := f.Mint(t.Context(), f.Instances[0].CallerAddr, file)
	is.New(t).NoErr(err)
	return key
}

// sendLater sends in the background.
func sendLater(f *Fleet, ctx context.Context, s Sending) <-chan Sending {
	told := make(chan Sending, 1)
	go func() { told <- f.Send(ctx, s) }()
	return told
}

// awaitRun returns the instance where an action runs.
func awaitRun(t *testing.T, f *Fleet, action string) *rig.Instance {
	t.Helper()
	is := is.New(t)
	for range 100 {
		runs, err := f.Runs()
		is.NoErr(err)
		for _, r := range runsOf(runs, file, action) {
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
