package prove

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/verdict"
)

// recoveryTimeout is the longest time after a fault until all requests through
// the remaining nodes succeed.
const recoveryTimeout = 10 * time.Second

func splitByDataCentre(f *Fleet, name string) (inside, outside []*rig.Instance) {
	for _, i := range f.Instances {
		if i.DataCentre == name {
			inside = append(inside, i)
		} else {
			outside = append(outside, i)
		}
	}
	return inside, outside
}

// lastFailure returns the time from since to the sending of the last failed
// request through the nodes.
func lastFailure(t *testing.T, f *Fleet, nodes []*rig.Instance, since, until time.Time) time.Duration {
	through := make(map[string]bool)
	for _, i := range nodes {
		through[i.CallerAddr] = true
	}
	last := time.Duration(0)
	reasons := make(map[verdict.Reason]int)
	for _, s := range f.History.All() {
		if !through[s.Node] || s.Sent.Before(since) || s.Sent.After(until) || s.Verdict == verdict.Ran && s.Status == 200 {
			continue
		}
		last = max(last, s.Sent.Sub(since))
		reasons[s.Reason]++
	}
	t.Logf("failed invocations by reason: %v", reasons)
	return last
}

// Guards against repeated runs and against a lasting outage elsewhere when all
// processes of a data centre are killed at once and restarted without state.
func TestProveDataCentreLoss(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	rng := newRand(t)
	cfg := longTimeoutTraffic(rng.Uint64())
	cfg.MaxResends = 3
	traffic := f.StartTraffic(t.Context(), cfg)
	time.Sleep(2 * time.Second)
	inside, outside := splitByDataCentre(f, "kuopio-hall")
	lost := time.Now()
	for _, i := range inside {
		is.NoErr(i.Node.Signal(syscall.SIGKILL))
		is.NoErr(i.Backend.Signal(syscall.SIGKILL))
	}
	for _, i := range inside {
		<-i.Node.Done()
		<-i.Backend.Done()
	}
	time.Sleep(recoveryTimeout + 2*time.Second)
	back := time.Now()
	for _, i := range inside {
		is.NoErr(f.RestartNode(i))
		is.NoErr(f.RestartBackend(i))
	}
	time.Sleep(5 * time.Second)
	traffic.End()
	tally, _ := settleAndCheck(t, f)
	without := lastFailure(t, f, outside, lost, back)
	t.Logf("%d of %d instances lost; last failure through the other instances: %v after the loss", len(inside), len(f.Instances), without)
	is.True(without < recoveryTimeout)
	is.True(tally.ActionsToldRan > 500)
}

// Guards against repeated runs while a data centre is partitioned for longer
// than nodes take to mark peers failed, and against a view that stays split.
func TestProveDataCentreCutOff(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	rng := newRand(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	w := f.WatchVersions(t.Context())
	time.Sleep(time.Second)
	inside, outside := splitByDataCentre(f, "joensuu-hall")
	for _, a := range inside {
		for _, b := range outside {
			f.Network.Set(a.PeerAddr, b.PeerAddr, Cut)
		}
	}
	time.Sleep(3 * time.Second)
	p, err := f.PublishText(t.Context(), "operator", graphWithDeadline("stationlog", 1500))
	is.NoErr(err)
	is.True(p.Accepted)
	time.Sleep(8 * time.Second)
	f.Network.SetAll(Open)
	healed := time.Now()
	is.NoErr(f.AwaitServing(t.Context()))
	t.Logf("all nodes see each other %v after the partition", time.Since(healed).Round(time.Millisecond))
	awaitVersion(t, f, w, p.Version)
	time.Sleep(time.Second)
	traffic.End()
	_, err = w.End()
	is.NoErr(err)
	settleAndCheck(t, f)
	checkSameState(t, f)
}

// Guards against repeated runs, and against nodes that keep peers marked failed,
// after all nodes were frozen with requests in flight.
func TestProveFreezeOfAllNodes(t *testing.T) {
	is := is.New(t)
	f := startFleet(t, defaultOptions())
	rng := newRand(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	later := longTimeoutTraffic(rng.Uint64())
	for range 2 {
		time.Sleep(1500 * time.Millisecond)
		for _, i := range f.Instances {
			is.NoErr(i.Node.Signal(syscall.SIGSTOP))
		}
		time.Sleep(5 * time.Second)
		for _, i := range f.Instances {
			is.NoErr(i.Node.Signal(syscall.SIGCONT))
		}
	}
	time.Sleep(2 * time.Second)
	traffic.End()
	again := time.Now()
	patient := f.StartTraffic(t.Context(), later)
	time.Sleep(recoveryTimeout)
	patient.End()
	tally, _ := settleAndCheck(t, f)
	failed := lastFailure(t, f, f.Instances, again, time.Now())
	t.Logf("last failure of callers with long timeouts: %v after their start", failed)
	is.True(failed < recoveryTimeout/2)
	is.True(tally.MayHaveRun > 0)
}
