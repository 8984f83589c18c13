package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// This file handles suspects, requests that may have crashed a backend server. They run with
// nothing else in flight, so the slots stay empty for as long as one runs.

const (
	// isolationShare is the share of the time for which isolated runs may keep the slots from
	// other requests.
	isolationShare = 0.05
	// isolationBurst is the time that may be used at once, a few runs of usual length.
	isolationBurst = 300 * time.Millisecond
	// maxIsolationWait limits the wait until nothing else runs: runs that make calls of
	// their own can take seconds.
	maxIsolationWait = 500 * time.Millisecond
)

// isolationBudget bounds the time for which isolated runs hold back other requests.
//
// It answers the crash of a backend server with many requests in flight, each of which must
// run alone next: at a large backend server that takes longer than all callers wait, and its
// slots would stay empty for as long.
type isolationBudget struct {
	// spent is the time used and not earned again yet.
	spent     time.Duration
	updatedAt time.Time
	// heldSince is when the latest hold began.
	heldSince time.Time
}

// refill reduces the spent time by what was earned since the last update.
func (b *isolationBudget) refill(now time.Time) {
	if earned := now.Sub(b.updatedAt); earned > 0 {
		b.spent = max(0, b.spent-time.Duration(isolationShare*float64(earned)))
	}
	b.updatedAt = now
}

// wait returns the time until a hold may begin, zero only if one may begin now.
func (b *isolationBudget) wait(now time.Time) time.Duration {
	b.refill(now)
	over := b.spent - isolationBurst
	if over < 0 {
		return 0
	}
	return max(time.Millisecond, time.Duration(float64(over)/isolationShare))
}

func (b *isolationBudget) begin(now time.Time) { b.heldSince = now }

// end ends the present hold. heldBack is the number of requests that waited at its
// end as a share of the slots: a hold that keeps few from starting costs little.
func (b *isolationBudget) end(now time.Time, heldBack float64) {
	b.refill(now)
	b.spent += time.Duration(min(1, heldBack) * float64(now.Sub(b.heldSince)))
}

// waitedTooLong reports whether the present hold has waited for the end of other runs for
// longer than allowed.
func (b *isolationBudget) waitedTooLong(now time.Time) bool {
	return now.Sub(b.heldSince) >= maxIsolationWait
}

// holdForIsolation lets nothing else start until the isolated run of t has ended. It refuses t
// instead if that would hold back others for too much of the time, while the slots don't suffice for
// them, while other nodes may not know yet that this one is ready, or while the backend server may
// be gone: its crash would be taken for that of t.
func (s *Server) holdForIsolation(now time.Time, t *Task, e *Effects) {
	wait := s.isolation.wait(now)
	if s.gate.Level(now) > 0 {
		wait = max(wait, s.gate.RetryAfter(now, s.random))
	}
	if s.unanswered.unresolved(now) {
		wait = max(wait, s.cfg.RefuseRetryAfter)
	}
	wait = max(wait, s.readySince.Add(s.cfg.IsolationSettle).Sub(now))
	if wait > 0 {
		s.counts.NotIsolated++
		err := verdict.Refuse(verdict.Shed, "an isolated run would hold back other requests")
		// The wait can be long after a long run; a copy of the request may clear it earlier.
		wait = min(max(wait, s.cfg.RefuseRetryAfter), s.cfg.Gate.RetryMax)
		s.finishUnstarted(t, err.WithRetryAfter(wait), e)
		return
	}
	s.isolated = t
	s.isolation.begin(now)
}

// endIsolation lets other tasks start again.
func (s *Server) endIsolation(now time.Time) {
	s.isolated = nil
	s.isolation.end(now, float64(s.heldBack())/float64(s.concurrency()))
}

// heldBack returns the number of waiting tasks that need no isolated run.
func (s *Server) heldBack() (n int) {
	for id, t := range s.tasks {
		if s.running[id] == nil && !t.mustIsolate {
			n++
		}
	}
	return n
}

// startIsolated starts the isolated task once nothing else runs. Nothing else starts
// until it ends, so that a crash loses no other request.
func (s *Server) startIsolated(now time.Time, e *Effects) {
	if s.isolated == nil || len(s.running) > 0 || !s.ready || !s.rate.Ready(now) {
		return
	}
	if s.unanswered.unresolved(now) {
		s.counts.NotIsolated++
		s.refuseIsolated(now, verdict.Shed, e)
		s.startQueued(now, e)
		return
	}
	t := s.isolated
	answered := s.checkSuspect(now, t, e)
	switch {
	case answered:
	case !t.mustIsolate: // cleared while it waited
		s.start(now, t, e)
	case s.guard.StartIsolated(now, t.Request.Fingerprint):
		s.noteSuspicions(e, contentOf(t))
		s.start(now, t, e)
		return
	default:
		s.finishUnstarted(t, verdict.Refuse(verdict.Shed, "another isolated run is in progress").WithRetryAfter(s.cfg.RefuseRetryAfter), e)
	}
	s.endIsolation(now)
	s.startQueued(now, e)
}

// waitsForIsolation reports whether a task waits for its isolated run.
func (s *Server) waitsForIsolation() bool {
	return s.isolated != nil && s.running[s.isolated.ID] == nil
}

// expireIsolated refuses the task that waits for its isolated run, if its time is over or
// other runs take too long to end.
func (s *Server) expireIsolated(now time.Time, e *Effects) {
	switch {
	case !s.waitsForIsolation():
	case !now.Before(s.isolated.Deadline):
		s.counts.Expired++
		s.refuseIsolated(now, verdict.Deadline, e)
	case s.isolation.waitedTooLong(now) && len(s.running) > 0:
		s.counts.NotIsolated++
		s.refuseIsolated(now, verdict.Shed, e)
	}
}

// refuseIsolated refuses the task that waits for its isolated run, if there is one.
func (s *Server) refuseIsolated(now time.Time, reason verdict.Reason, e *Effects) {
	if !s.waitsForIsolation() {
		return
	}
	t := s.isolated
	s.endIsolation(now)
	err := verdict.Refuse(reason, "refused while waiting for an isolated run").WithRetryAfter(s.cfg.RefuseRetryAfter)
	s.finishUnstarted(t, err, e)
}
