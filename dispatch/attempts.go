package dispatch

import (
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// maxRedirects bounds how often a key's attempt follows the key to the
// incarnation that it is bound to. One is enough while membership is settled;
// a second covers a binding that was learned while the first was on its way.
const maxRedirects = 2

// step is what follows an answer.
type step uint8

const (
	finish step = iota
	again
	redirect
)

// attempts decides what follows each answer of one call. It is a plain type:
// whoever owns it spends the grant and the budget.
type attempts struct {
	// idempotent allows another attempt after "may have run".
	idempotent bool
	// keyed allows another attempt at the same incarnation after "may have
	// run": it remembers the key, so the request cannot run twice.
	keyed bool
	// bound says that only one incarnation may run the call: what it
	// refuses, no other can do.
	bound     bool
	worst     verdict.Verdict
	noted     bool
	tried     []wire.NodeID
	redirects int
	// reroutes is how often the call may still go on for nothing.
	reroutes int
	// reoffers is how often the call may still be offered again to a backend
	// server that declined it.
	reoffers int
}

// declined reports whether r is the refusal of a backend server itself.
func declined(r call.Reply) bool { return r.Verdict == verdict.NotRun && r.Offered }

// free reports whether another attempt after r costs nothing, and counts it.
func (a *attempts) free(r call.Reply) bool {
	if r.Verdict != verdict.NotRun || r.Offered || a.reroutes == 0 {
		return false
	}
	a.reroutes--
	return true
}

// next judges one answer. spend is asked only when another attempt is allowed
// and useful; it takes the extra attempt or refuses.
func (a *attempts) next(r call.Reply, spend func() bool) step {
	a.note(r.Verdict)
	if !r.BoundTo.IsZero() && r.Verdict == verdict.NotRun && a.redirects < maxRedirects {
		a.redirects++
		a.bound = a.keyed
		return redirect
	}
	if !a.allowed(r) || !spend() {
		return finish
	}
	return again
}

func (a *attempts) allowed(r call.Reply) bool {
	if !r.Reason.Elsewhere() {
		return false
	}
	switch r.Verdict {
	case verdict.NotRun:
		return !a.bound || r.Reason == verdict.Lost
	case verdict.Ran:
		// The backend server answered, but its answer cannot be used.
		return a.idempotent && r.Reason == verdict.Incomplete
	default:
		return a.idempotent || a.keyed
	}
}

// worse orders verdicts by how much may have happened.
func worse(a, b verdict.Verdict) verdict.Verdict {
	if rank(b) > rank(a) {
		return b
	}
	return a
}

func rank(v verdict.Verdict) int {
	switch v {
	case verdict.NotRun:
		return 1
	case verdict.Ran:
		return 3
	default:
		return 2
	}
}

func newAttempts(p Params) attempts {
	return attempts{
		idempotent: p.Operation.Idempotent,
		keyed:      p.Key != "",
		bound:      !p.Holder.IsZero(),
	}
}

// note takes a verdict into account. The first one stands as it is: no
// attempt before it could have run.
func (a *attempts) note(v verdict.Verdict) {
	if !a.noted {
		a.worst, a.noted = v, true
		return
	}
	a.worst = worse(a.worst, v)
}

// conclude turns the last answer into the call's outcome. The verdict covers
// all attempts: a refusal after a lost attempt is not "not run".
func (a *attempts) conclude(r call.Reply) call.Outcome {
	return call.Outcome{
		Verdict:    a.worst,
		Reason:     r.Reason,
		Detail:     r.Detail,
		RetryAfter: r.RetryAfter,
		Status:     r.Status,
		Header:     r.Header,
		Body:       r.Body,
		KeyHeld:    r.KeyHeld,
		Used:       r.Used,
		RanFor:     r.RanFor,
	}
}
