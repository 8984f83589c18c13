// Package verdict defines the errors of cassialoom. Every refusal and every
// failure says whether the request may have run.
package verdict

import (
	"errors"
	"fmt"
	"time"
)

// Verdict says whether a request may have run at a backend server. The zero
// value is Unknown and must be treated like MayHaveRun.
type Verdict uint8

const (
	// Unknown is the zero value: nothing is known about the request.
	Unknown Verdict = iota
	// NotRun guarantees that the request did not run anywhere and never will:
	// it was never handed over, or the only incarnation that could run it
	// refused it and remembers the refusal.
	NotRun
	// MayHaveRun gives no guarantee: the request was handed over and no answer
	// came back.
	MayHaveRun
	// Ran guarantees that the request ran at a backend server.
	Ran
)

// String returns the form used in the Cassialoom-Verdict header.
func (v Verdict) String() string {
	switch v {
	case NotRun:
		return "not run"
	case Ran:
		return "ran"
	default:
		return "may have run"
	}
}

// Parse reads the header form. Any other text gives MayHaveRun.
func Parse(s string) Verdict {
	switch s {
	case "not run":
		return NotRun
	case "ran":
		return Ran
	default:
		return MayHaveRun
	}
}

// Error is a refusal or a failure with its verdict.
type Error struct {
	Verdict Verdict
	Reason  Reason
	// RetryAfter is how long the caller should wait before it retries; zero
	// means that no time is proposed.
	RetryAfter time.Duration
	// Detail is for people: it names the setting, service or node concerned.
	Detail string
}

// Error implements error.
func (e *Error) Error() string {
	if e.Detail == "" {
		return fmt.Sprintf("%s: %s", e.Verdict, e.Reason)
	}
	return fmt.Sprintf("%s: %s: %s", e.Verdict, e.Reason, e.Detail)
}

// Refuse returns an error with the verdict NotRun.
func Refuse(reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: NotRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// MayHaveRunError returns an error with the verdict MayHaveRun.
func MayHaveRunError(reason Reason, format string, args ...any) *Error {
	return &Error{Verdict: MayHaveRun, Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// WithRetryAfter returns a copy of e with RetryAfter set to d.
func (e *Error) WithRetryAfter(d time.Duration) *Error {
	c := *e
	c.RetryAfter = d
	return &c
}

// From returns err as an *Error. An error of another type gets the verdict
// MayHaveRun.
func From(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	return &Error{Verdict: MayHaveRun, Reason: Internal, Detail: err.Error()}
}
