package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	// faultWeight is the weight of a new task in the moving average of failures.
	// It averages over a few dozen tasks: enough to distinguish a rare failure from a
	// backend server that fails often.
	faultWeight = 1.0 / 32
	// usualWeight is the weight of a new answer in the usual latency.
	usualWeight = 1.0 / 16
	// silentFactor is the multiple of the usual latency after which a task
	// without an answer counts as a failure.
	silentFactor = 4
)

// faults tracks the share of recent tasks that a backend server did not answer, or
// answered with a failure of its own.
//
// It detects a backend server that passes its health check and fails part of its
// requests. In a large fleet the node of each caller sees too few of these requests to
// detect that. The node beside the backend server sees all of them and reports the
// share in every reply. A failure caused by an outgoing call of the task is not
// counted, because it would mark every service along a failing chain as faulty.
type faults struct {
	failureShare float64 // moving average, 0 to 1
	// usualLatency is a moving average of the latency of an answer, without the outgoing calls of the task.
	usualLatency time.Duration
}

// record records the result of a task. own is the latency without the outgoing calls of
// the task.
func (f *faults) record(own time.Duration, r Result) {
	switch {
	case r.Verdict == verdict.NotRun:
		return // declined because of load
	case r.Verdict == verdict.Ran && r.Reason == verdict.None:
		f.recordAnswer(own, r)
	case r.Reason == verdict.ConnectionLost, r.Reason == verdict.Incomplete:
		f.addSample(1)
	case f.usualLatency > 0 && own > silentFactor*f.usualLatency:
		f.addSample(1)
	}
}

func (f *faults) recordAnswer(own time.Duration, r Result) {
	if r.Status < call.MinServerError {
		f.usualLatency += time.Duration(usualWeight * float64(own-f.usualLatency))
		f.addSample(0)
		return
	}
	if !r.CallsFailed {
		f.addSample(1)
	}
}

func (f *faults) addSample(sample float64) { f.failureShare += faultWeight * (sample - f.failureShare) }

// percent returns the share in percent, as reported in replies.
func (f *faults) percent() uint8 { return uint8(f.failureShare*100 + 0.5) }
