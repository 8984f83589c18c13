package call

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// Outcome is what became of a request, over all its attempts.
type Outcome struct {
	Verdict verdict.Verdict
	// Reason is empty when Status, Header and Body are the backend
	// server's own answer.
	Reason     verdict.Reason
	Detail     string
	RetryAfter time.Duration
	Status     int
	Header     []Field
	Body       []byte
	// KeySafeFor is how long a resend with the same key stays safe.
	KeySafeFor time.Duration
	// SlotTimeUsed is the slot time that the request's calls took at each service that
	// they reached.
	SlotTimeUsed []Use
	// RanFor is the time that the backend server took for the answer.
	RanFor time.Duration
}

// Failed is the outcome for an error.
func Failed(e *verdict.Error) Outcome {
	return Outcome{Verdict: e.Verdict, Reason: e.Reason, Detail: e.Detail, RetryAfter: e.RetryAfter}
}

// LeastServerError is the least status with which a backend server says that it failed,
// and not its caller.
const LeastServerError = 500

// Served reports whether the backend server answered, and no failure of its own.
func (o *Outcome) Served() bool {
	return o.Verdict == verdict.Ran && o.Reason == verdict.None && o.Status < LeastServerError
}

// AddUses adds to a list the slot time that a call of the service took, there and at
// all services below it.
func (o *Outcome) AddUses(list []Use, service string) []Use {
	list = AddUse(list, service, o.RanFor)
	for _, u := range o.SlotTimeUsed {
		list = AddUse(list, u.Service, time.Duration(u.Micros)*time.Microsecond)
	}
	return list
}
