package dispatch

import (
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// maxRedirects limits how often a call follows its key to the incarnation that the key is
// bound to. A second redirect is needed if the binding changes during the first.
const maxRedirects = 2

// step is the action after an answer.
type step uint8

const (
	finish step = iota
	tryAgain
	redirect
)

// attempts tracks the attempts of one call and decides what follows each answer. It does no
// I/O; its owner spends the grant and the budget.
type attempts struct {
	// idempotent allows another attempt after "may have run".
	idempotent bool
	// keyed allows another attempt at the same incarnation after "may have run": the
	// incarnation remembers the key, so the request can't run twice.
	keyed bool
	// bound says that only one incarnation may run the call. If it refuses, no other
	// one is tried.
	bound bool
	// mayHaveArrived says that a node may have received an attempt.
	mayHaveArrived bool
	// reached says that an attempt may have reached a backend server, which declined it or not.
	reached    bool
	worst      verdict.Verdict
	hasVerdict bool
	tried      []wire.NodeID
	redirects  int
	// reroutesLeft is how often the call may still move to another node without
	// spending an extra attempt.
	reroutesLeft int
	// reoffersLeft is how often the call may still be offered again to a backend
	// server that declined it.
	reoffersLeft int
}

// declined reports whether the backend server itself refused the call, not its node.
func declined(r call.Reply) bool { return r.Verdict == verdict.NotRun && r.ReachedBackend }

// reached reports whether the attempt may have reached a backend server.
func reached(r call.Reply) bool { return r.Verdict != verdict.NotRun || r.ReachedBackend }

// takeReroute reports whether another attempt after r is free, and counts it.
func (a *attempts) takeReroute(r call.Reply) bool {
	if reached(r) || a.reroutesLeft == 0 {
		return false
	}
	a.reroutesLeft--
	return true
}

// next decides what follows an answer. It calls spend only if another attempt is allowed;
// spend takes the extra attempt and returns false if there is none or no node for it.
func (a *attempts) next(r call.Reply, spend func() bool) step {
	a.record(r)
	if !r.BoundTo.IsZero() && r.Verdict == verdict.NotRun && a.redirects < maxRedirects {
		a.redirects++
		a.bound = a.keyed
		return redirect
	}
	if !a.mayRetry(r) || !spend() {
		return finish
	}
	return tryAgain
}

// mayRetry reports whether another attempt after r is safe and may help.
func (a *attempts) mayRetry(r call.Reply) bool {
	if !r.Reason.RetryElsewhere() {
		return false
	}
	switch r.Verdict {
	case verdict.NotRun:
		return !a.bound || r.Reason == verdict.ConnectionLost
	case verdict.Ran:
		// The backend server answered, but its answer can't be used.
		return a.idempotent && r.Reason == verdict.Incomplete
	default:
		return a.idempotent || a.keyed
	}
}

// worseVerdict returns the verdict that claims more: "ran" over "may have run" over "not
// run".
func worseVerdict(a, b verdict.Verdict) verdict.Verdict {
	if severity(b) > severity(a) {
		return b
	}
	return a
}

func severity(v verdict.Verdict) int {
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
		bound:      !p.KeyHolder.IsZero(),
	}
}

// record adds the answer to one attempt. The first verdict is stored as it is, since the zero
// value of worst is not a verdict of this call.
func (a *attempts) record(r call.Reply) {
	a.reached = a.reached || reached(r)
	if !a.hasVerdict {
		a.worst, a.hasVerdict = r.Verdict, true
		return
	}
	a.worst = worseVerdict(a.worst, r.Verdict)
}

// conclude returns the outcome of the call, given its last answer. The verdict covers all
// attempts: a refusal after a lost attempt is not "not run".
func (a *attempts) conclude(r call.Reply) call.Outcome {
	return call.Outcome{
		Verdict:      a.worst,
		Reason:       r.Reason,
		Detail:       r.Detail,
		RetryAfter:   r.RetryAfter,
		Status:       r.Status,
		Header:       r.Header,
		Body:         r.Body,
		KeySafeFor:   r.KeySafeFor,
		SlotTimeUsed: r.SlotTimeUsed,

		DependencyLost: r.DependencyLost,
		RanFor:         r.RanFor,
	}
}
