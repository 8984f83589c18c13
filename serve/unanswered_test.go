package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// crashLook is how a crash ends the run that causes it.
type crashLook uint8

const (
	looksRefused   crashLook = iota // recognised at once
	looksReset                      // as a broken connection
	looksSilent                     // no answer until the deadline
	looksTruncated                  // a part of an answer
	looksCanceled                   // after the caller has given up
	looks
)

// resultOf returns the result of the run that causes a crash.
func (l crashLook) resultOf() Result {
	switch l {
	case looksRefused:
		return Result{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Crashed: true}
	case looksReset:
		return Result{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}
	case looksSilent:
		return Result{Verdict: verdict.MayHaveRun, Reason: verdict.Deadline}
	case looksTruncated:
		return Result{Verdict: verdict.Ran, Reason: verdict.Incomplete, Answered: true}
	default:
		return Result{Verdict: verdict.MayHaveRun, Reason: verdict.Canceled}
	}
}

const (
	crasher  = 1 // the fingerprint of the request that crashes backend servers
	runShort = 10 * time.Millisecond
)

// crashFleet is a service whose nodes exchange notices at once. A backend server that crashes
// starts again before the next event.
type crashFleet struct {
	now     time.Time
	servers []*Server
	ids     []wire.NodeID
	op      *graph.Operation
	seq     uint64
	running []map[uint64]*Task
	asked   map[uint64]uint64 // fingerprints by number of the attempt
	crashes int
	// refused counts the innocent requests that were refused for good.
	refused int
}

func newCrashFleet(nodes int) *crashFleet {
	f := &crashFleet{now: time.Unix(1000, 0), asked: make(map[uint64]uint64), op: graph.Standalone(graph.Operation{Service: "s", Name: "o"})}
	for i := range nodes {
		f.servers = append(f.servers, nil)
		f.ids = append(f.ids, wire.NodeID{byte(i + 1)})
		f.running = append(f.running, nil)
	}
	for i := range nodes {
		f.startNode(i)
	}
	return f
}

// startNode starts a node that knows only what the others tell it.
func (f *crashFleet) startNode(i int) {
	cfg := DefaultConfig()
	cfg.Self, cfg.Service, cfg.PublishLevelOnly = f.ids[i], "s", true
	f.servers[i] = New(cfg, [once.SecretLen]byte{}, f.now)
	f.servers[i].SetPeers(f.ids)
	f.running[i] = make(map[uint64]*Task)
	f.servers[i].SetReady(f.now, true)
	f.servers[i].SetSlots(f.now, 20)
	for j, other := range f.servers {
		if j != i && other != nil {
			f.deliver(i, other.AllNotices(f.now))
		}
	}
}

func (f *crashFleet) deliver(to int, notices []poison.Notice) {
	for _, n := range notices {
		f.servers[to].ReceiveNotice(f.now, n)
	}
}

// apply carries out effects of the node i. Redirected attempts go to the node that the reply
// names.
func (f *crashFleet) apply(i int, e Effects) {
	for j := range f.servers {
		if j != i {
			f.deliver(j, e.Notices)
		}
	}
	for _, t := range e.Start {
		f.running[i][t.ID] = t
	}
	for _, r := range e.Replies {
		fp := f.asked[r.Seq]
		if r.Reason == verdict.PoisonRequest && r.BoundTo.IsZero() && fp != crasher {
			f.refused++
		}
		for j, id := range f.ids {
			if r.BoundTo == id {
				f.send(j, fp, r.Suspicions)
			}
		}
	}
}

func (f *crashFleet) send(to int, fp uint64, suspicions []poison.Notice) {
	f.seq++
	f.asked[f.seq] = fp
	f.apply(to, f.servers[to].Arrive(f.now, call.Request{
		From: wire.NodeID{0xff}, To: f.ids[to], Seq: f.seq, RequestID: fmt.Sprint(f.seq), Service: "s", Operation: "o",
		Importance: importance.Normal, Budget: time.Second, Fingerprint: fp, Suspicions: suspicions,
	}, f.op, true))
}

// finish ends the runs of innocent requests.
func (f *crashFleet) finish() {
	f.now = f.now.Add(runShort)
	for i := range f.servers {
		f.apply(i, f.servers[i].Tick(f.now))
		for id, t := range f.running[i] {
			if t.Request.Fingerprint != crasher {
				delete(f.running[i], id)
				f.apply(i, f.servers[i].Done(f.now, id, Result{Verdict: verdict.Ran, Status: 200, Answered: true}))
			}
		}
	}
}

// crash ends the runs of the crasher, each of which crashes its backend server, and starts that
// again. Nothing is sent before the next incarnation has reported.
func (f *crashFleet) crash(look crashLook) {
	for i := range f.servers {
		for id, t := range f.running[i] {
			if t.Request.Fingerprint == crasher {
				f.crashes++
				f.crashNode(i, id, look)
			}
		}
	}
}

func (f *crashFleet) crashNode(i int, id uint64, look crashLook) {
	if look == looksCanceled {
		e := f.servers[i].Cancel(f.now, call.Cancel{From: wire.NodeID{0xff}, To: f.ids[i], Seq: f.running[i][id].Request.Seq})
		if len(e.Stop) == 0 {
			look = looksReset // the run goes on
		}
		f.apply(i, e)
	}
	lost := f.running[i]
	f.running[i] = make(map[uint64]*Task)
	f.now = f.now.Add(runShort)
	f.apply(i, f.servers[i].Done(f.now, id, look.resultOf()))
	for other := range lost {
		f.apply(i, f.servers[i].Done(f.now, other, look.resultOf())) // no effect for id
	}
	for id := range f.running[i] { // what was sent to the backend server that is gone
		f.apply(i, f.servers[i].Done(f.now, id, Result{Verdict: verdict.NotRun, Reason: verdict.NoBackend, Gone: true}))
	}
	f.running[i] = make(map[uint64]*Task)
	f.now = f.now.Add(time.Second)
	f.apply(i, f.servers[i].BackendRestarted(f.now))
	f.apply(i, f.servers[i].SetReady(f.now, true))
	f.servers[i].Heard(f.now)
}

// Guards against a request that crashes one backend server after the other since the crash shows
// only by the next incarnation.
func TestUnseenCrashesAreTwo(t *testing.T) {
	for look := range looks {
		t.Run(fmt.Sprint(look), func(t *testing.T) {
			f := newCrashFleet(4)
			for n := range 60 {
				f.send(n%4, crasher, nil)
				f.crash(look)
				f.now = f.now.Add(200 * time.Millisecond)
			}
			is.New(t).Equal(f.crashes, 2)
		})
	}
}

// Guards against a third crash, and against innocent requests that are refused, whatever the order
// of requests, looks of crashes, restarts of nodes and callers that give up.
func TestPropUnseenCrashesAreTwo(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		f := newCrashFleet(rapid.IntRange(2, 5).Draw(t, "nodes"))
		node := rapid.IntRange(0, len(f.servers)-1)
		t.Repeat(map[string]func(*rapid.T){
			"innocent": func(t *rapid.T) { f.send(node.Draw(t, "to"), rapid.Uint64Range(2, 6).Draw(t, "fp"), nil) },
			"crasher": func(t *rapid.T) {
				f.send(node.Draw(t, "to"), crasher, nil)
				f.crash(crashLook(rapid.IntRange(0, int(looks)-1).Draw(t, "look")))
			},
			"finish":  func(t *rapid.T) { f.finish() },
			"pause":   func(t *rapid.T) { f.now = f.now.Add(300 * time.Millisecond) },
			"restart": func(t *rapid.T) { f.startNode(node.Draw(t, "node")) },
			"": func(t *rapid.T) {
				is := is.New(t)
				is.True(f.crashes <= 2)
				is.Equal(f.refused, 0)
			},
		})
	})
}

// Guards against an innocent request that is quarantined since its isolated run was sent to a
// backend server that another request had silenced.
func TestIsolatedRunWaitsForASignOfLife(t *testing.T) {
	is := is.New(t)
	f := newCrashFleet(1)
	const suspect = 2
	other := poison.New(poison.DefaultConfig(), wire.NodeID{9})
	f.deliver(0, other.Crashed(f.now, []uint64{suspect}, false))
	f.send(0, crasher, nil)
	for id := range f.running[0] {
		f.now = f.now.Add(time.Second)
		f.apply(0, f.servers[0].Done(f.now, id, looksSilent.resultOf()))
	}
	f.running[0] = make(map[uint64]*Task)
	f.send(0, suspect, nil)
	is.Equal(len(f.running[0]), 0) // refused for the moment
	f.servers[0].Heard(f.now.Add(time.Millisecond))
	f.now = f.now.Add(2 * time.Millisecond)
	f.send(0, suspect, nil)
	is.Equal(len(f.running[0]), 1)
}

// Guards against suspects without a crash: requests that a backend server did not answer before it
// left as planned, or long before its end, or before an answer to a later one.
func TestPlannedEndMakesNoSuspects(t *testing.T) {
	for name, between := range map[string]func(f *crashFleet){
		"leaving":  func(f *crashFleet) { f.apply(0, f.servers[0].SetReady(f.now, false)) },
		"long ago": func(f *crashFleet) { f.now = f.now.Add(unansweredFor) },
		"answered later": func(f *crashFleet) {
			f.now = f.now.Add(time.Millisecond)
			f.send(0, 2, nil)
			f.finish()
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newCrashFleet(1)
			f.send(0, 3, nil)
			for id := range f.running[0] {
				f.apply(0, f.servers[0].Done(f.now, id, looksReset.resultOf()))
			}
			f.running[0] = make(map[uint64]*Task)
			between(f)
			f.apply(0, f.servers[0].BackendRestarted(f.now.Add(time.Millisecond)))
			is.New(t).Equal(f.servers[0].counts.Crashes, uint64(0))
		})
	}
}
