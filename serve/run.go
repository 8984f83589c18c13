package serve

import (
	"maps"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
)

// maxConcurrency means no limit; it also caps the limit reported in replies.
const maxConcurrency = 1 << 20

// startQueued starts waiting tasks while there are free slots.
func (s *Server) startQueued(now time.Time, e *Effects) {
	for s.mayStart(now) {
		item, ok := s.queue.Pop(now)
		if !ok {
			break
		}
		s.startDequeued(now, item.Value, e)
	}
	s.startIsolated(now, e)
}

// mayStart reports whether a waiting task may start now.
func (s *Server) mayStart(now time.Time) bool {
	return s.ready && s.isolated == nil && len(s.running) < s.roomNow(now) && s.rate.Ready(now)
}

// startDequeued starts a task that left the queue, unless it has become a suspect while
// it waited.
func (s *Server) startDequeued(now time.Time, t *Task, e *Effects) {
	s.observe(now, admission.Served)
	if s.recheckDependencies(now, t, e) || s.checkSuspect(now, t, e) {
		return
	}
	if t.mustIsolate {
		s.holdForIsolation(now, t, e)
		return
	}
	s.start(now, t, e)
}

// observe reports to the gate that a task has left the queue.
func (s *Server) observe(now time.Time, event admission.Event) {
	s.gate.Observe(now, admission.Sample{
		Event:    event,
		Queued:   s.queue.Len(),
		InFlight: len(s.running),
		Limit:    s.effectiveConcurrency(),

		QueueBound: s.rateQueueBound(),
	})
}

// checkSuspect refuses a quarantined request and redirects a suspect to its
// isolation node; it reports whether it has answered the task. A suspect that may
// run here is marked for an isolated run.
func (s *Server) checkSuspect(now time.Time, t *Task, e *Effects) bool {
	if s.cfg.Policy != PolicyFull {
		return false
	}
	fp := t.Request.Fingerprint
	switch s.guard.Check(now, fp) {
	case poison.Refuse:
		s.counts.PoisonRequest++
		s.finishUnstarted(t, s.guard.Refusal(now, fp), e)
		return true
	case poison.Isolated:
		t.mustIsolate = true
		if t.Request.Key != "" {
			return false // its key is bound to this node: the isolated run is here
		}
		node := s.guard.IsolationNode(now, fp, s.peers)
		if node.IsZero() || node == s.cfg.Self {
			return false
		}
		s.removeTask(t)
		suspicions := s.guard.NoticeFor(now, fp)
		e.DirectNotices = append(e.DirectNotices, DirectNotices{To: node, Notices: suspicions})
		s.redirect(t, verdict.Refuse(verdict.PoisonRequest, "isolated run at another node"), node, suspicions, e)
		return true
	default:
		t.mustIsolate = false
		return false
	}
}

// roomNow returns how many tasks may run now: the concurrency less the slots in which the
// backend server still works for others. One task may always run, to learn of their end.
func (s *Server) roomNow(now time.Time) int {
	return max(1, s.concurrency()-s.occupancy.Others(now))
}

// LearnLoad applies what the backend server says about its load without a task of this
// node. busy is the number of requests that it runs or queues.
func (s *Server) LearnLoad(now time.Time, busy int) {
	s.occupancy.Report(now, busy, len(s.running))
}

func (s *Server) concurrency() int {
	switch s.cfg.Policy {
	case PolicyNone:
		return maxConcurrency
	case PolicyFixed:
		return s.cfg.Limit.Initial
	default:
		if s.slots > 0 {
			return s.slots
		}
		return s.limit.Limit()
	}
}

func (s *Server) start(now time.Time, t *Task, e *Effects) {
	s.counts.Started++
	t.started = now
	s.running[t.ID] = t
	t.inFlight = s.limit.Begin(now)
	t.incarnation = s.incarnation
	s.rate.Started(now)
	e.Start = append(e.Start, t)
}

// OutgoingCallsChanged records that a running task began (change 1) or ended (change -1) an
// outgoing call. The time in which it waits for outgoing calls does not count as
// latency of the backend server.
func (s *Server) OutgoingCallsChanged(now time.Time, id uint64, change int) {
	t, ok := s.running[id]
	if !ok {
		return
	}
	before := t.openCalls
	t.openCalls += change
	switch {
	case before == 0 && t.openCalls > 0:
		t.callsSince = now
		s.limit.Waiting(now, 1)
	case before > 0 && t.openCalls == 0:
		t.callTime += now.Sub(t.callsSince)
		s.limit.Waiting(now, -1)
	}
}

// Done handles the result of a task that Effects.Start listed.
func (s *Server) Done(now time.Time, id uint64, r Result) Effects {
	var e Effects
	t, ok := s.running[id]
	if !ok {
		return e
	}
	if t.openCalls > 0 {
		s.OutgoingCallsChanged(now, id, -t.openCalls)
	}
	switch {
	case (r.Crashed || r.Gone) && t.incarnation != s.incarnation:
		// BackendRestarted has reported this crash; the next incarnation goes on.
	case r.Gone:
		s.foundGone(now, t, &e)
	case r.Crashed:
		s.crash(now, s.running, &e)
	default:
		s.reportFinished(now, t, r, &e)
		s.faults.record(r.Latency-t.callTime, r)
		s.recordPace(r.Latency-t.callTime, r)
	}
	s.learnRateLimit(now, t, r)
	s.recordRunTime(r)
	if r.Slowdown > 0 {
		s.LearnLoad(now, r.Busy)
	}
	s.recordCalls(now, t, r)
	delete(s.running, id)
	if s.isolated == t {
		s.endIsolation(now)
	}
	s.limit.End(now, limit.Sample{
		Latency:    r.Latency,
		Downstream: t.callTime,
		InFlight:   t.inFlight,
		Outcome:    outcome(r),
		Class:      t.class,
	})
	s.finish(now, t, r, &e)
	s.startQueued(now, &e)
	return e
}

// recordPace records how long the backend server worked on a task that it has answered.
func (s *Server) recordPace(own time.Duration, r Result) {
	if r.Verdict == verdict.Ran && r.Reason == verdict.None && r.Status < call.MinServerError {
		s.pace.Record(own, r.Slowdown)
	}
}

func outcome(r Result) limit.Outcome {
	switch {
	case r.Reason == verdict.Shed, r.Reason == verdict.Deadline:
		return limit.Overload
	case r.Verdict == verdict.Ran && r.Reason == verdict.None:
		return limit.Success
	default:
		return limit.Ignore
	}
}

// reportFinished reports the end of a task without a crash to the guard.
func (s *Server) reportFinished(now time.Time, t *Task, r Result, e *Effects) {
	fp := t.Request.Fingerprint
	if t.incarnation == s.incarnation {
		s.unanswered.record(now, t, r, s.isolated == t)
	}
	if r.ranToItsEnd() {
		e.Notices = append(e.Notices, s.guard.Finished(now, fp)...)
		s.noteSuspicions(e, contentOf(t))
		return
	}
	if t.mustIsolate {
		s.guard.Abandoned(fp)
	}
}

// BackendRestarted handles the announcement of a new process of the backend server.
// Tasks that still ran at the old process are treated as lost in a crash, as are those that it
// did not answer unless it had left as planned.
func (s *Server) BackendRestarted(now time.Time) Effects {
	var e Effects
	s.faults = faults{}
	s.pace = limit.Pace{}
	s.occupancy = limit.Occupancy{}
	s.forgetRateLimit()
	if len(s.running) > 0 || s.unanswered.pending(now) {
		s.crash(now, s.running, &e)
	}
	s.unanswered.forget()
	return e
}

// foundGone handles a task that found no backend server: it has crashed before, unless it was
// leaving.
func (s *Server) foundGone(now time.Time, t *Task, e *Effects) {
	if t.mustIsolate {
		s.guard.Abandoned(t.Request.Fingerprint)
	}
	if !s.ready {
		return
	}
	others := maps.Clone(s.running)
	delete(others, t.ID)
	s.crash(now, others, e)
}

// crash marks all requests that were in flight at the backend server as suspects, and those that
// it did not answer before. Each of them reports the same crash. Only the first report counts: the
// later ones miss the requests that have been answered since.
func (s *Server) crash(now time.Time, inFlight map[uint64]*Task, e *Effects) {
	if s.crashed {
		return
	}
	s.crashed = true
	s.counts.Crashes++
	lost, isolated := s.lostIn(now, inFlight)
	fingerprints := make([]uint64, 0, len(lost))
	for _, c := range lost {
		fingerprints = append(fingerprints, c.fingerprint)
	}
	e.Notices = append(e.Notices, s.guard.Crashed(now, fingerprints, isolated)...)
	s.noteSuspicions(e, lost...)
	s.ready = false
	s.refuseWaiting(now, verdict.NoBackend, e)
}

// lostIn returns the contents that may have caused a crash; isolated says that it is one that ran
// alone.
func (s *Server) lostIn(now time.Time, inFlight map[uint64]*Task) (lost []content, isolated bool) {
	lost, isolated = s.unanswered.take(now)
	if s.isolated != nil && inFlight[s.isolated.ID] != nil {
		return []content{contentOf(s.isolated)}, true
	}
	if isolated {
		return lost, true
	}
	for _, t := range inFlight {
		lost = append(lost, contentOf(t))
	}
	return lost, false
}

// ReceiveNotice applies a notice about suspects from another node. It returns the notices to
// forward, and Effects for the log alone.
func (s *Server) ReceiveNotice(now time.Time, n poison.Notice) (forward []poison.Notice, e Effects) {
	forward = s.guard.Receive(now, n)
	s.noteSuspicions(&e)
	return forward, e
}

// AllNotices returns notices of all that this node knows, for a node that knows nothing yet.
func (s *Server) AllNotices(now time.Time) []poison.Notice { return s.guard.AllNotices(now) }

// NoticesToGossip returns at most limit fingerprints, as notices to repeat to one other
// node of the service.
func (s *Server) NoticesToGossip(now time.Time, limit int) []poison.Notice {
	return s.guard.NoticesToGossip(now, limit)
}
