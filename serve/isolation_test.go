package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// isolationLoad sends requests to a callee of 20 slots, 19 in use, each of which runs for
// loadRunTime. The fingerprints from 1 to suspects are those of suspects.
type isolationLoad struct {
	*callee
	running  []*Task
	finished int // requests that are no suspects
	cleared  int // suspects that ran
	refused  int // suspects that did not run
	crashes  int // of the backend server
	// crasher is the fingerprint that crashes the backend server.
	crasher  uint64
	suspects int
	sent     map[uint64]uint64 // fingerprints by number of the attempt
	resends  []resend
}

// resend is a refused suspect that is sent again.
type resend struct {
	at          time.Time
	fingerprint uint64
}

const (
	loadRunTime = 100 * time.Millisecond
	resendAfter = 500 * time.Millisecond
)

// newIsolationLoad returns a callee that has learned of the crash of another backend server
// with that many requests in flight.
func newIsolationLoad(suspects int) *isolationLoad {
	l := &isolationLoad{callee: newCallee(20), suspects: suspects, sent: make(map[uint64]uint64)}
	l.SetPeers([]wire.NodeID{{1}})
	var inFlight []uint64
	for i := range suspects {
		inFlight = append(inFlight, uint64(i+1))
	}
	other := poison.New(poison.DefaultConfig(), wire.NodeID{3})
	for _, n := range other.Crashed(l.now, inFlight, false) {
		l.ReceiveNotice(l.now, n)
	}
	return l
}

func (l *isolationLoad) send(fp uint64) {
	l.seq++
	l.sent[l.seq] = fp
	l.apply(l.Arrive(l.now, call.Request{
		From: wire.NodeID{2}, To: wire.NodeID{1}, Seq: l.seq, Service: "s", Operation: "o",
		Importance: importance.Normal, Budget: 700 * time.Millisecond, Fingerprint: fp,
	}, l.op, true))
}

// apply records what was started. The senders of refused suspects try again after resendAfter.
func (l *isolationLoad) apply(e Effects) {
	l.running = append(l.running, e.Start...)
	for _, r := range e.Replies {
		if fp := l.sent[r.Seq]; r.Verdict == verdict.NotRun && l.isSuspect(fp) {
			l.refused++
			l.resends = append(l.resends, resend{l.now.Add(resendAfter), fp})
		}
	}
}

// resendDue sends the refused suspects whose time has come.
func (l *isolationLoad) resendDue() {
	for len(l.resends) > 0 && !l.now.Before(l.resends[0].at) {
		fp := l.resends[0].fingerprint
		l.resends = l.resends[1:]
		l.send(fp)
	}
}

func (l *isolationLoad) isSuspect(fp uint64) bool { return fp <= uint64(l.suspects) }

// step advances the time by a millisecond and ends the runs that are over.
func (l *isolationLoad) step() {
	l.now = l.now.Add(time.Millisecond)
	l.apply(l.Tick(l.now))
	for len(l.running) > 0 && l.now.Sub(l.running[0].started) >= loadRunTime {
		t := l.running[0]
		l.running = l.running[1:]
		if t.Request.Fingerprint == l.crasher {
			l.crashes++
			l.apply(l.Done(l.now, t.ID, Result{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost, Crashed: true}))
			l.apply(l.BackendRestarted(l.now))
			l.running = nil
			l.apply(l.SetReady(l.now, true))
			continue
		}
		if l.isSuspect(t.Request.Fingerprint) {
			l.cleared++
		} else {
			l.finished++
		}
		l.apply(l.Done(l.now, t.ID, Result{Verdict: verdict.Ran, Status: 200, Latency: l.now.Sub(t.started)}))
	}
}

// Guards against a backend server whose slots stay empty while the requests that another one
// had in flight when it crashed run there alone, one after the other.
func TestIsolatedRunsLeaveTheSlotsToOthers(t *testing.T) {
	is := is.New(t)
	l := newIsolationLoad(300)
	for ms := range 5000 {
		if ms < 300 { // the retries of what was in flight
			l.send(uint64(ms + 1))
		}
		if ms%6 == 0 { // 167 requests a second, of the 190 that the slots serve
			l.send(uint64(1_000_000 + ms))
		}
		l.resendDue()
		l.step()
	}
	t.Log(l.finished, "others finished,", l.cleared, "suspects")
	is.True(float64(l.finished) > 0.85*5*167)
	is.True(l.cleared > 0)
}

// Guards against innocent requests that are refused after a crash although there is room to run
// them alone.
func TestSuspectsRunWhileFewOthersCome(t *testing.T) {
	is := is.New(t)
	l := newIsolationLoad(15)
	for i := range 15 {
		l.send(uint64(i + 1))
	}
	for ms := range 10000 {
		if ms%40 == 0 {
			l.send(uint64(1_000_000 + ms))
		}
		l.resendDue()
		l.step()
	}
	t.Log(l.finished, "others finished,", l.cleared, "suspects,", l.refused, "refusals of suspects")
	is.Equal(l.cleared, 15)
	is.True(l.finished >= 245)
}

// Guards against a second backend server that crashes more than once: what bounds the isolated
// runs must not let a suspect run beside others.
func TestBusyNodeCrashesOnceForASuspect(t *testing.T) {
	is := is.New(t)
	l := newIsolationLoad(300)
	l.crasher = 7
	for ms := range 20000 {
		if ms < 300 {
			l.send(uint64(ms + 1))
		}
		if ms%9 == 0 {
			l.send(uint64(1_000_000 + ms))
		}
		if ms%700 == 0 {
			l.send(l.crasher)
		}
		l.resendDue()
		before := len(l.running)
		crashed := l.crashes
		l.step()
		is.True(l.crashes == crashed || before == 1) // nothing else ran
	}
	t.Log(l.finished, "others finished,", l.cleared, "suspects,", l.crashes, "crashes")
	is.True(l.crashes <= 1)
	is.True(float64(l.finished) > 0.85*20*111)
}

// Guards against slots that stay empty until a run of seconds has ended, since a suspect waits to
// run alone.
func TestIsolatedRunDoesNotWaitForLongRuns(t *testing.T) {
	is := is.New(t)
	l := newIsolationLoad(1)
	l.send(1_000_000)
	long := l.running[0]
	l.running = nil // it does not end
	l.send(1)
	for ms := range 2000 {
		if ms%40 == 0 {
			l.send(uint64(2_000_000 + ms))
		}
		l.step()
	}
	is.Equal(l.refused, 1)
	is.True(l.finished > 40) // of 50
	l.apply(l.Done(l.now, long.ID, Result{Verdict: verdict.Ran, Status: 200, Latency: 2 * time.Second}))
	l.resendDue()
	for range 1000 {
		l.step()
	}
	is.Equal(l.cleared, 1)
}

// Guards against two isolation nodes at once: where backend servers return together, each node may
// take itself for the only one that is ready.
func TestNoIsolatedRunBeforeOthersKnowThatTheNodeIsReady(t *testing.T) {
	is := is.New(t)
	l := newIsolationLoad(1)
	l.cfg.IsolationSettle = 500 * time.Millisecond
	l.apply(l.SetReady(l.now, false))
	l.now = l.now.Add(time.Second)
	l.apply(l.SetReady(l.now, true))
	l.send(1)
	is.Equal(l.refused, 1)
	for range 400 {
		l.step()
	}
	l.apply(l.SetReady(l.now, true)) // a heartbeat changes nothing
	l.send(1)
	is.Equal(l.refused, 2)
	is.Equal(l.cleared, 0)
	for range 1000 {
		l.resendDue()
		l.step()
	}
	is.Equal(l.cleared, 2)
}
