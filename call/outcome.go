package call

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// Outcome is the result of a request over all its attempts.
type Outcome struct {
	Verdict verdict.Verdict
	// Reason is empty if Status, Header and Body are the backend server's own
	// answer.
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
	Status     int
	Header     []Field
	Body       []byte
	// KeySafeFor is how long sending the request again with the same key stays
	// safe.
	KeySafeFor time.Duration
	// SlotTimeUsed is the slot time that the request's calls took at each service.
	SlotTimeUsed []SlotTime
	// RanFor is the time that the backend server took to answer.
	RanFor time.Duration
	// DependencyLost says that a call of the request's run could not be sent, or was refused
	// for that reason.
	DependencyLost bool
}

// LacksDependency reports whether the request failed because a service can't be reached.
func (o *Outcome) LacksDependency() bool {
	switch o.Reason {
	case verdict.DependencyLost:
		return true
	case verdict.ConnectionLost:
		return o.Verdict == verdict.NotRun
	default:
		return o.DependencyLost && !o.Succeeded()
	}
}

// OutcomeOf returns the outcome for an error.
func OutcomeOf(e *verdict.Error) Outcome {
	return Outcome{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, RetryAfter: e.RetryAfter}
}

// MinServerError is the lowest HTTP status that reports a failure of the
// server and not of its caller.
const MinServerError = 500

// Succeeded reports whether the backend server answered, with a status below
// MinServerError.
func (o *Outcome) Succeeded() bool { return Succeeded(o.Verdict, o.Reason, o.Status) }

// Succeeded is Outcome.Succeeded for the parts of a reply or result.
func Succeeded(v verdict.Verdict, reason verdict.Reason, status int) bool {
	return v == verdict.Ran && reason == verdict.None && status < MinServerError
}

// AddSlotTimes adds the slot time of a call to list and returns it: the time at the
// called service itself and at all services below it.
func (o *Outcome) AddSlotTimes(list []SlotTime, service string) []SlotTime {
	list = AddSlotTime(list, service, o.RanFor)
	for _, u := range o.SlotTimeUsed {
		list = AddSlotTime(list, u.Service, time.Duration(u.Micros)*time.Microsecond)
	}
	return list
}
