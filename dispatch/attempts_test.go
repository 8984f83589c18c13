package dispatch

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// The caller's only attempt finds no backend server at all. Nothing was sent
// to anybody, so the answer must be "not run": a caller that is told "may have
// run" would not dare to send its notice again.
func TestRefusalAloneIsNotRun(t *testing.T) {
	is := is.New(t)
	var a attempts
	r := refused(verdict.Refuse(verdict.NoBackend, ""))

	is.Equal(a.next(r, func() bool { return false }), finish)

	is.Equal(a.conclude(r).Verdict, verdict.NotRun)
}

// The answer of the first attempt is lost, the second is refused. The caller
// must not hear "not run" from the second: the first may have run.
func TestRefusalAfterALostAttemptIsNotNotRun(t *testing.T) {
	is := is.New(t)
	a := attempts{idempotent: true}
	lost := refused(verdict.Doubt(verdict.Lost, ""))
	shed := refused(verdict.Refuse(verdict.Shed, ""))

	is.Equal(a.next(lost, func() bool { return true }), again)
	is.Equal(a.next(shed, func() bool { return false }), finish)

	is.Equal(a.conclude(shed).Verdict, verdict.MayHaveRun)
}

// Property: over any answers, a call that is neither idempotent nor keyed is
// attempted again only while every answer so far was "not run"; "not run" is
// concluded only if every answer was; and what a key's holder refuses is not
// asked of others.
func TestPropAttempts(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		a := attempts{
			idempotent: rapid.Bool().Draw(t, "idempotent"),
			keyed:      rapid.Bool().Draw(t, "keyed"),
		}
		allNotRun := true
		for {
			r := drawReply(t)
			allNotRun = allNotRun && r.Verdict == verdict.NotRun
			next := a.next(r, func() bool { return rapid.Bool().Draw(t, "spend") })
			if next == again && !allNotRun && !a.idempotent && !a.keyed {
				t.Fatalf("attempted again after %v", r.Verdict)
			}
			if next == again && a.bound && r.Verdict == verdict.NotRun && r.Reason != verdict.Lost {
				t.Fatalf("asked others after the holder refused: %v", r.Reason)
			}
			if next != finish {
				continue
			}
			if got := a.conclude(r).Verdict == verdict.NotRun; got != allNotRun {
				t.Fatalf("concluded not run = %v, want %v", got, allNotRun)
			}
			return
		}
	})
}

func drawReply(t *rapid.T) call.Reply {
	r := call.Reply{
		Verdict: rapid.SampledFrom([]verdict.Verdict{verdict.NotRun, verdict.MayHaveRun, verdict.Ran, verdict.Unknown}).Draw(t, "verdict"),
		Reason: rapid.SampledFrom([]verdict.Reason{verdict.None, verdict.Shed, verdict.Lost, verdict.Draining,
			verdict.Deadline, verdict.Incomplete, verdict.KeyNotBound, verdict.Poison}).Draw(t, "reason"),
	}
	if rapid.Bool().Draw(t, "bound") {
		r.BoundTo = wire.NodeID{1}
	}
	return r
}
