package load

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// Attempt is one attempt of a caller at a request.
type Attempt struct {
	Node     int
	Sent     time.Time
	Answered time.Time
	// Status is zero if no answer came.
	Status  int
	Verdict verdict.Verdict
	Reason  verdict.Reason
}

// Refused reports whether a node answered that the request has not run.
func (a Attempt) Refused() bool { return a.Status != 0 && a.Verdict == verdict.NotRun }

// Result is the result of one request as its caller saw it.
type Result struct {
	Arrival
	Due      time.Time
	Finished time.Time
	// Good is true if the complete answer arrived before the deadline.
	Good bool
	// Wrong is true if a complete answer was not the one to this request.
	Wrong    bool
	Attempts []Attempt
}

// Latency returns the time from when the request was due to its end.
func (r *Result) Latency() time.Duration { return r.Finished.Sub(r.Due) }
