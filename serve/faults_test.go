package serve

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/verdict"
)

const usualTime = 20 * time.Millisecond

var (
	served     = Result{Verdict: verdict.Ran, Status: 200}
	failedSelf = Result{Verdict: verdict.Ran, Status: 500}
	failedCall = Result{Verdict: verdict.Ran, Status: 500, CallsFailed: true}
	noAnswer   = Result{Verdict: verdict.MayHaveRun, Reason: verdict.Deadline}
	reset      = Result{Verdict: verdict.MayHaveRun, Reason: verdict.ConnectionLost}
	full       = Result{Verdict: verdict.NotRun, Reason: verdict.Shed, ReachedBackend: true}
	gaveUp     = Result{Verdict: verdict.MayHaveRun, Reason: verdict.Canceled}
)

// A backend server that passes its health check and fails two of five requests must show
// within 30 requests. Overload, cancellations and failed outgoing calls must not count.
func TestFaultsCountOnlyOwnFailures(t *testing.T) {
	for name, c := range map[string]struct {
		bad      Result
		took     time.Duration
		least    uint8
		greatest uint8
	}{
		"fails":               {failedSelf, time.Millisecond, 15, 45},
		"does not answer":     {noAnswer, silentFactor*usualTime + 1, 15, 45},
		"breaks off":          {reset, time.Millisecond, 15, 45},
		"a call of it failed": {failedCall, time.Millisecond, 0, 0},
		"is full":             {full, time.Millisecond, 0, 0},
		"callers leave":       {gaveUp, usualTime, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			var f faults
			for range 50 {
				f.record(usualTime, served)
			}
			for i := range 30 {
				if i%5 < 2 {
					f.record(c.took, c.bad)
					continue
				}
				f.record(usualTime, served)
			}
			is.True(f.percent() >= c.least)
			is.True(f.percent() <= c.greatest)
		})
	}
}

// A repaired backend server must not stay marked as faulty.
func TestRepairedBackendServerIsNotFaulty(t *testing.T) {
	is := is.New(t)
	var f faults
	for range 100 {
		f.record(time.Millisecond, failedSelf)
	}
	is.True(f.percent() > 90)
	for range 100 {
		f.record(usualTime, served)
	}
	is.True(f.percent() <= 5)
}
