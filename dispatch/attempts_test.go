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

// Guards against "may have run" for a call that was never sent: the caller could not
// safely retry it.
func TestCallNeverSentIsNotRun(t *testing.T) {
	is := is.New(t)
	var a attempts
	r := errorReply(verdict.Refuse(verdict.NoBackend, ""))

	is.Equal(a.next(r, func() bool { return false }), finish)

	is.Equal(a.conclude(r).Verdict, verdict.NotRun)
}

// Guards against "not run" when only the last attempt was refused and an earlier one may
// have run.
func TestRefusalAfterLostAttemptMayHaveRun(t *testing.T) {
	is := is.New(t)
	a := attempts{idempotent: true}
	lost := errorReply(verdict.MayHaveRunError(verdict.ConnectionLost, ""))
	shed := errorReply(verdict.Refuse(verdict.Shed, ""))

	is.Equal(a.next(lost, func() bool { return true }), tryAgain)
	is.Equal(a.next(shed, func() bool { return false }), finish)

	is.Equal(a.conclude(shed).Verdict, verdict.MayHaveRun)
}

// Property: a call that may have run is repeated only if it is idempotent or keyed; "not
// run" means that no attempt ran; a refusal by a key's holder is final.
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
			if next == tryAgain && !allNotRun && !a.idempotent && !a.keyed {
				t.Fatalf("attempted again after %v", r.Verdict)
			}
			if next == tryAgain && a.bound && r.Verdict == verdict.NotRun && r.Reason != verdict.ConnectionLost {
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
		Reason: rapid.SampledFrom([]verdict.Reason{verdict.None, verdict.Shed, verdict.ConnectionLost, verdict.Draining,
			verdict.Deadline, verdict.Incomplete, verdict.KeyNotBound, verdict.PoisonRequest}).Draw(t, "reason"),
	}
	if rapid.Bool().Draw(t, "bound") {
		r.BoundTo = wire.NodeID{1}
	}
	return r
}
