package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	// faultWeight of a new task: the last few dozen decide. A backend server that
	// fails two of five shows within twenty, a sound one that fails one in a
	// hundred is never taken for it.
	faultWeight = 1.0 / 32
	// usualWeight of a new answer in the usual time of one.
	usualWeight = 1.0 / 16
	// silentFactor times the usual time without an answer is beyond nearly all
	// answers of a backend server that works (see dispatch's hedges).
	silentFactor = 4
)

// faults is the share of a backend server's latest tasks that it did not answer, or
// answered with a failure of its own.
//
// The load it answers: a backend server that looks healthy fails a part of its
// requests. In a large fleet each caller's node sees a few calls a second of it, too
// few to judge by; the node beside it sees them all and says so in each reply. A
// failure that a call of the task's own brought about is not counted: that would
// blame a whole chain of services for the last of them.
type faults struct {
	share float64
	// usual is the usual time of an answer, without the calls of the task.
	usual time.Duration
}

// note takes in how a task ended. own is the time without the calls of the task.
func (f *faults) note(own time.Duration, r Result) {
	switch {
	case r.Verdict == verdict.NotRun:
		return // it was declined: the load is the cause
	case r.Verdict == verdict.Ran && r.Reason == verdict.None:
		f.answered(own, r)
	case r.Reason == verdict.Lost, r.Reason == verdict.Incomplete:
		f.add(1)
	case f.usual > 0 && own > silentFactor*f.usual:
		f.add(1)
	}
}

func (f *faults) answered(own time.Duration, r Result) {
	if r.Status < call.LeastServerError {
		f.usual += time.Duration(usualWeight * float64(own-f.usual))
		f.add(0)
		return
	}
	if !r.CallsFailed {
		f.add(1)
	}
}

func (f *faults) add(sample float64) { f.share += faultWeight * (sample - f.share) }

// percent is the share for a reply.
func (f *faults) percent() uint8 { return uint8(f.share*100 + 0.5) }
