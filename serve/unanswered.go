package serve

import (
	"net/http"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

// This file answers the crash of a backend server that can't be seen when its runs end: their
// connections are reset or fall silent, an answer is truncated, a caller gives up. It shows later,
// by the next incarnation, and the runs that may have caused it are known until then.

const (
	// unansweredFor is how long a run without an answer may be found to have crashed the
	// backend server: longer than a silent one takes to be replaced.
	unansweredFor = 10 * time.Second
	// maxUnanswered is the maximum number of these runs; the oldest make room.
	maxUnanswered = 512
)

// content identifies the content of a request, without holding it.
type content struct {
	fingerprint uint64
	requestID   string
}

func contentOf(t *Task) content {
	return content{fingerprint: t.Request.Fingerprint, requestID: t.Request.RequestID}
}

// unansweredRun is a run of the present incarnation that ended without a whole answer.
type unansweredRun struct {
	content
	// isolated says that nothing else was in flight.
	isolated bool
	endedAt  time.Time
	// activeUntil is the time until which the backend server may have worked on it.
	activeUntil time.Time
}

// unansweredRuns holds the runs that may have crashed the present incarnation. An answer to a
// request that was sent later than a run could be active removes it: it has not.
type unansweredRuns struct {
	runs []unansweredRun
	// lastSign is when the backend server last answered or reported.
	lastSign time.Time
}

// answeredWhole reports whether the backend server answered a task completely.
func (r *Result) answeredWhole() bool { return r.Verdict == verdict.Ran && r.Reason == verdict.None }

// ranToItsEnd reports whether the backend server worked on a task to the end. Its deadline or a
// failed call ends a run early.
func (r *Result) ranToItsEnd() bool {
	cutShort := r.Status == http.StatusGatewayTimeout || r.CallsFailed && r.Status >= call.MinServerError
	return r.answeredWhole() && !cutShort
}

// mayHaveCrashed reports whether the run may have crashed the backend server without a sign.
func (r *Result) mayHaveCrashed() bool {
	return r.Verdict != verdict.NotRun && !r.answeredWhole() && !r.ReachedBackend
}

// record adds the end of a run.
func (u *unansweredRuns) record(now time.Time, t *Task, r Result, isolated bool) {
	switch {
	case r.answeredWhole(), r.ReachedBackend:
		u.lastSign = now
		u.aliveAt(t.started)
	case r.mayHaveCrashed():
		u.expire(now)
		if len(u.runs) == maxUnanswered {
			u.runs = slices.Delete(u.runs, 0, 1)
		}
		activeUntil := now
		if r.Reason == verdict.Canceled {
			activeUntil = t.Deadline // it may not notice that its caller has left
		}
		u.runs = append(u.runs, unansweredRun{content: contentOf(t), isolated: isolated, endedAt: now, activeUntil: activeUntil})
	}
}

// aliveAt removes the runs that were over at a time at which the backend server accepted a
// request that it has answered.
func (u *unansweredRuns) aliveAt(t time.Time) {
	u.runs = slices.DeleteFunc(u.runs, func(r unansweredRun) bool { return r.activeUntil.Before(t) })
}

func (u *unansweredRuns) expire(now time.Time) {
	u.runs = slices.DeleteFunc(u.runs, func(r unansweredRun) bool { return now.Sub(r.activeUntil) >= unansweredFor })
}

// pending reports whether any run may have crashed the backend server.
func (u *unansweredRuns) pending(now time.Time) bool {
	u.expire(now)
	return len(u.runs) > 0
}

// unresolved reports whether nothing was heard from the backend server since a run ended without
// an answer: it may have crashed.
func (u *unansweredRuns) unresolved(now time.Time) bool {
	u.expire(now)
	return slices.ContainsFunc(u.runs, func(r unansweredRun) bool { return r.endedAt.After(u.lastSign) })
}

// forget removes all runs: another incarnation is in use, or the present one leaves as planned.
func (u *unansweredRuns) forget() { u.runs = nil }

// take returns the runs that may have caused a crash at now, and removes them. If an isolated one
// is among them, it has: nothing sent later was answered.
func (u *unansweredRuns) take(now time.Time) (contents []content, isolated bool) {
	u.expire(now)
	for _, r := range u.runs {
		if r.isolated {
			contents, isolated = []content{r.content}, true
			break
		}
		contents = append(contents, r.content)
	}
	u.forget()
	return contents, isolated
}
