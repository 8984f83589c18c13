package prove

import (
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/verdict"
)

// wholeAgain is when all requests through the nodes that are left must run
// again after a fault has begun or ended.
const wholeAgain = 10 * time.Second

func inDataCentre(f *Fleet, name string) (inside, outside []*rig.Instance) {
	for _, i := range f.Instances {
		if i.DataCentre == name {
			inside = append(inside, i)
		} else {
			outside = append(outside, i)
		}
	}
	return inside, outside
}

// lastFailure returns when the last sending through the nodes that did not run
// to its end was sent, as time since the moment.
func lastFailure(t *testing.T, f *Fleet, nodes []*rig.Instance, since, until time.Time) time.Duration {
	through := make(map[string]bool)
	for _, i := range nodes {
		through[i.CallerAddr] = true
	}
	last := time.Duration(0)
	told := make(map[verdict.Reason]int)
	for _, s := range f.Record.All() {
		if !through[s.Node] || s.Sent.Before(since) || s.Sent.After(until) || s.Verdict == verdict.Ran && s.Status == 200 {
			continue
		}
		last = max(last, s.Sent.Sub(since))
		told[s.Reason]++
	}
	t.Logf("sendings that did not run to their end, by reason: %v", told)
	return last
}

// All processes of one data centre are killed in the same moment, under
// traffic, and start again later with nothing of what they knew. Nothing runs
// twice, and the other data centres go on.
func TestProveLossOfADataCentre(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	rng := random(t)
	cfg := patientTraffic(rng.Uint64())
	cfg.Resends = 3
	traffic := f.StartTraffic(t.Context(), cfg)
	time.Sleep(2 * time.Second)
	inside, outside := inDataCentre(f, "kuopio-hall")
	lost := time.Now()
	for _, i := range inside {
		is.NoErr(i.Node.Signal(syscall.SIGKILL))
		is.NoErr(i.Backend.Signal(syscall.SIGKILL))
	}
	for _, i := range inside {
		<-i.Node.Done()
		<-i.Backend.Done()
	}
	time.Sleep(wholeAgain + 2*time.Second)
	back := time.Now()
	for _, i := range inside {
		is.NoErr(f.RestartNode(i))
		is.NoErr(f.RestartBackend(i))
	}
	time.Sleep(5 * time.Second)
	traffic.End()
	tally, _ := judge(t, f)
	without := lastFailure(t, f, outside, lost, back)
	t.Logf("%d of %d instances lost; last request through the others that failed: %v after the loss", len(inside), len(f.Instances), without)
	is.True(without < wholeAgain)
	is.True(tally.ActionsToldRan > 500)
}

// One data centre is cut off from the others for longer than it takes to hold
// its nodes for dead. Both sides go on with what they have; nothing runs twice.
// Once the links are open again, all nodes know each other and hold the
// publication that only one side had.
func TestProveDataCentreCutOff(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	rng := random(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	w := f.StartWatch(t.Context())
	time.Sleep(time.Second)
	inside, outside := inDataCentre(f, "joensuu-hall")
	for _, a := range inside {
		for _, b := range outside {
			f.Network.Set(a.PeerAddr, b.PeerAddr, Cut)
		}
	}
	time.Sleep(3 * time.Second)
	p, err := f.PublishText(t.Context(), "operator", variant("stationlog", 1500))
	is.NoErr(err)
	is.True(p.Accepted)
	time.Sleep(8 * time.Second)
	f.Network.SetAll(Open)
	healed := time.Now()
	is.NoErr(f.AwaitServing(t.Context()))
	t.Logf("all nodes know each other %v after the cut", time.Since(healed).Round(time.Millisecond))
	inForce(t, f, w, p.Version)
	time.Sleep(time.Second)
	traffic.End()
	_, err = w.End()
	is.NoErr(err)
	judge(t, f)
	sameState(t, f)
}

// All nodes are frozen for five seconds with requests in flight and go on as
// if nothing had been. Callers have sent again meanwhile; nothing runs twice,
// no node takes the others for dead for good, and all is served soon again.
func TestProveFreezeOfAllNodes(t *testing.T) {
	is := is.New(t)
	f := start(t, options())
	rng := random(t)
	traffic := f.StartTraffic(t.Context(), DefaultTraffic(rng.Uint64()))
	later := patientTraffic(rng.Uint64())
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
	time.Sleep(wholeAgain)
	patient.End()
	tally, _ := judge(t, f)
	failed := lastFailure(t, f, f.Instances, again, time.Now())
	t.Logf("last failure of patient callers: %v after they began", failed)
	is.True(failed < wholeAgain/2)
	is.True(tally.MayHaveRun > 0)
}
