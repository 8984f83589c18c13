package load

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// Attempt is one sending of a request.
type Attempt struct {
	Node     int
	Sent     time.Time
	Answered time.Time
	// Status is zero if no answer came.
	Status  int
	Verdict verdict.Verdict
	Reason  verdict.Reason
}

// Refused reports whether a node refused the request without running it.
func (a Attempt) Refused() bool { return a.Status != 0 && a.Verdict == verdict.NotRun }

// Result is what one caller saw of its request.
type Result struct {
	Arrival
	Due      time.Time
	Finished time.Time
	// Good says that the complete answer came before the deadline.
	Good bool
	// Wrong says that a complete answer was not the one to this request.
	Wrong    bool
	Attempts []Attempt
}

// Latency counts from the moment at which the request was due.
func (r *Result) Latency() time.Duration { return r.Finished.Sub(r.Due) }
