package dispatch

import (
	"fmt"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/internal/ratebound"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// limitedFleet is a few entry nodes and one node beside a backend server that names a rate
// limit, in modelled time.
type limitedFleet struct {
	now     time.Time
	entries []*fleetEntry
	callee  *serve.Server
	id      wire.NodeID
	backend call.Notice // what the backend server says in its answers
	ends    []fleetRun
	record  *ratebound.Record
	// violation is the first request to a leaving backend server.
	violation error
	seq       uint64
	restarts  byte
	// silent is the naive variant, in which entries pass on no notices.
	silent bool
}

type fleetEntry struct {
	name    string
	id      wire.NodeID
	notices *notices
	// toldLeaving is set once it has forwarded an answer that says that the backend server
	// is leaving.
	toldLeaving bool
}

type fleetRun struct {
	task *serve.Task
	at   time.Time
}

const fleetRunTime = 200 * time.Millisecond

func newLimitedFleet(entries int, silent bool) *limitedFleet {
	f := &limitedFleet{now: time.Unix(1000, 0), backend: call.Notice{Incarnation: "i-1"}, record: &ratebound.Record{}, silent: silent}
	for i := range entries {
		f.entries = append(f.entries, &fleetEntry{name: fmt.Sprint("e", i), id: wire.NodeID{byte(100 + i)}, notices: newNotices()})
	}
	f.restartCallee()
	return f
}

// restartCallee replaces the node beside the backend server by a process without state.
func (f *limitedFleet) restartCallee() {
	f.restarts++
	f.id = wire.NodeID{1, f.restarts}
	cfg := serve.DefaultConfig()
	cfg.Self, cfg.Service, cfg.PublishLevelOnly = f.id, "s", true
	f.callee = serve.New(cfg, [once.SecretLen]byte{f.restarts}, f.now)
	f.callee.SetReady(f.now, true)
	f.callee.SetSlots(f.now, 100)
	f.ends = nil
}

// restartEntry replaces an entry node by a process without state.
func (f *limitedFleet) restartEntry(i int) {
	e := f.entries[i]
	e.notices, e.toldLeaving = newNotices(), false
	f.record.Excuse(e.name, f.now)
}

// send sends a request through an entry node.
func (f *limitedFleet) send(e *fleetEntry) {
	f.seq++
	req := call.Request{From: e.id, To: f.id, Seq: f.seq, RequestID: fmt.Sprint(f.seq), Service: "s", Operation: "o",
		Importance: importance.Normal, Budget: 2 * time.Second}
	if !f.silent {
		req.Notices = e.notices.forNode(f.now, "s", f.id)
	}
	f.applyNotices(req.Notices)
	f.apply(f.callee.Arrive(f.now, req, graph.Standalone(graph.Operation{Service: "s", Name: "o"}), true))
}

// applyNotices does what package node does with the notices of a request.
func (f *limitedFleet) applyNotices(list []call.Notice) {
	for _, n := range list {
		if n.Incarnation != f.backend.Incarnation {
			continue
		}
		if n.Leaving {
			f.apply(f.callee.SetReady(f.now, false))
		}
		if n.Limited {
			f.callee.LearnRateLimit(f.now, n.PerSecond)
		}
	}
}

func (f *limitedFleet) apply(e serve.Effects) {
	for _, t := range e.Start {
		entry := f.entryOf(t.Request.From)
		f.record.Arrived(f.now, entry.name)
		if entry.toldLeaving && f.violation == nil {
			f.violation = fmt.Errorf("%s sent a request to the leaving backend server", entry.name)
		}
		f.ends = append(f.ends, fleetRun{t, f.now.Add(fleetRunTime)})
	}
	for _, r := range e.Replies {
		f.entryOf(r.To).notices.record(f.now, "s", f.withNotice(r))
	}
}

// withNotice adds what the callee's node knows of its backend server to a reply.
func (f *limitedFleet) withNotice(r call.Reply) call.Reply {
	perSecond, limited := f.callee.RateLimit()
	leaving := f.backend.Leaving && r.Verdict == verdict.Ran
	if limited || leaving {
		r.Notice = call.Notice{Incarnation: f.backend.Incarnation, Limited: limited, PerSecond: perSecond, Leaving: leaving}
	}
	return r
}

func (f *limitedFleet) entryOf(id wire.NodeID) *fleetEntry { return f.entries[id[0]-100] }

// step moves the time by one tick and delivers the answers that are due.
func (f *limitedFleet) step() {
	f.now = f.now.Add(10 * time.Millisecond)
	for len(f.ends) > 0 && !f.ends[0].at.After(f.now) {
		task := f.ends[0].task
		f.ends = f.ends[1:]
		f.answer(task)
	}
	f.apply(f.callee.Tick(f.now))
}

func (f *limitedFleet) answer(task *serve.Task) {
	entry := f.entryOf(task.Request.From)
	if f.backend.Limited {
		f.record.Name(f.now, f.backend.PerSecond)
		f.record.Forwarded(entry.name, f.now)
	} else {
		f.record.Name(f.now, -1)
	}
	if f.backend.Leaving {
		f.apply(f.callee.SetReady(f.now, false))
	}
	f.apply(f.callee.Done(f.now, task.ID, serve.Result{Verdict: verdict.Ran, Status: 200, Latency: fleetRunTime, Answered: true,
		Limit: limit.Statement{Named: f.backend.Limited, PerSecond: f.backend.PerSecond}}))
	entry.toldLeaving = entry.toldLeaving || f.backend.Leaving
}

// run sends perSecond requests a second over all entries.
func (f *limitedFleet) run(perSecond int, d time.Duration) {
	due := 0.0
	for end := f.now.Add(d); f.now.Before(end); {
		f.step()
		for due += float64(perSecond) / 100; due >= 1; due-- {
			f.send(f.entries[int(f.seq)%len(f.entries)])
		}
	}
}

func (f *limitedFleet) check() error {
	if f.violation != nil {
		return f.violation
	}
	return f.record.Check()
}

// restartAgainAndAgain restarts the node beside a limited backend server every half second
// while bursts arrive.
func restartAgainAndAgain(f *limitedFleet) error {
	f.backend.Limited, f.backend.PerSecond = true, 3
	f.run(100, 4*time.Second)
	for range 20 {
		f.restartCallee()
		f.run(200, 500*time.Millisecond)
	}
	return f.check()
}

// Guards against a limit that is lost when the node beside the backend server restarts.
func TestLimitOutlivesRestartsOfTheCalleesNode(t *testing.T) {
	is := is.New(t)
	is.NoErr(restartAgainAndAgain(newLimitedFleet(3, false)))
	is.True(restartAgainAndAgain(newLimitedFleet(3, true)) != nil) // without notices it is lost
}

// Guards against requests to a limited or leaving backend server after any series of restarts
// of the entries and of its own node, bursts and changes of the limit.
func TestPropNoticesHoldOverRestarts(t *testing.T) {
	proptest.CheckSteps(t, 40, func(rt *rapid.T) {
		f := newLimitedFleet(rapid.IntRange(1, 4).Draw(rt, "entries"), false)
		check := func(rt *rapid.T) {
			if err := f.check(); err != nil {
				rt.Fatal(err)
			}
		}
		rt.Repeat(map[string]func(*rapid.T){
			"load": func(rt *rapid.T) {
				f.run(rapid.SampledFrom([]int{5, 50, 400}).Draw(rt, "per second"), time.Duration(rapid.IntRange(10, 2500).Draw(rt, "ms"))*time.Millisecond)
			},
			"limit": func(rt *rapid.T) {
				f.backend.Limited = rapid.IntRange(0, 3).Draw(rt, "named") > 0
				f.backend.PerSecond = rapid.SampledFrom([]float64{0, 0.5, 3, 20, 90}).Draw(rt, "limit")
			},
			"leave": func(rt *rapid.T) {
				f.backend.Leaving = f.backend.Leaving || rapid.IntRange(0, 9).Draw(rt, "leave") == 0
			},
			"restart":       func(rt *rapid.T) { f.restartCallee() },
			"restart entry": func(rt *rapid.T) { f.restartEntry(rapid.IntRange(0, len(f.entries)-1).Draw(rt, "entry")) },
			"":              check,
		})
	})
}

// Guards against notices that pile up, that come from a faulty peer, or that go to nodes that
// know them.
func TestNoticesAreBounded(t *testing.T) {
	is := is.New(t)
	s := newNotices()
	now := time.Unix(1000, 0)
	reply := func(from byte, n call.Notice) call.Reply {
		return call.Reply{From: wire.NodeID{from}, Verdict: verdict.Ran, Status: 200, Notice: n}
	}
	for i := range 3 * maxNotices {
		s.record(now.Add(time.Duration(i)), "s", reply(1, call.Notice{Incarnation: fmt.Sprint(i), Limited: true, PerSecond: 1}))
	}
	s.record(now, "s", reply(1, call.Notice{Incarnation: "x", Limited: true, PerSecond: math.NaN()}))
	is.Equal(len(s.forNode(now, "s", wire.NodeID{2})), maxNotices)
	is.Equal(len(s.forNode(now, "s", wire.NodeID{1})), 0) // it reported them
	is.Equal(len(s.forNode(now, "other", wire.NodeID{2})), 0)
	s.record(now, "s", reply(2, call.Notice{}))
	is.Equal(len(s.forNode(now, "s", wire.NodeID{2})), 0) // it has heard its backend server
	is.Equal(len(s.forNode(now.Add(2*noticeTTL), "s", wire.NodeID{3})), 0)
}
