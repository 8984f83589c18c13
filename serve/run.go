package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
)

// maxConcurrency stands for no limit; it also bounds the limit reported.
const maxConcurrency = 1 << 20

// pump starts as many waiting tasks as the limit allows.
func (s *Server) pump(now time.Time, e *Effects) {
	for s.hasRoom() {
		item, ok := s.queue.Pop(now)
		if !ok {
			break
		}
		s.next(now, item.Value, e)
	}
	s.pumpLone(now, e)
}

// hasRoom reports whether a waiting task may start now.
func (s *Server) hasRoom() bool {
	return s.ready && s.lone == nil && len(s.running) < s.concurrency()
}

// next starts the task that left the queue, unless it has become suspect since
// it came.
func (s *Server) next(now time.Time, t *Task, e *Effects) {
	s.observe(now, admission.Served)
	if s.quarantined(now, t, e) {
		return
	}
	if t.alone {
		s.lone = t
		return
	}
	s.start(now, t, e)
}

// observe tells the gate of a task that has left the queue.
func (s *Server) observe(now time.Time, event admission.Event) {
	s.gate.Observe(now, admission.Sample{
		Event:    event,
		Queued:   s.queue.Len(),
		InFlight: len(s.running),
		Limit:    s.concurrency(),
	})
}

// quarantined sends a suspect to the one node where its kind runs alone, and
// refuses it if it has been convicted meanwhile. It marks a suspect that may
// run here.
func (s *Server) quarantined(now time.Time, t *Task, e *Effects) bool {
	if s.cfg.Policy != PolicyFull {
		return false
	}
	fp := t.Request.Fingerprint
	switch s.guard.Check(now, fp) {
	case poison.Refuse:
		s.counts.Poison++
		s.finishUnstarted(t, s.guard.Refusal(now, fp), e)
		return true
	case poison.Alone:
		t.alone = true
		if t.Request.Key != "" {
			return false // its key binds it to this node: it runs alone here
		}
		place := s.guard.Place(now, fp, s.peers)
		if place.IsZero() || place == s.cfg.Self {
			return false
		}
		s.forget(t)
		e.Tell = append(e.Tell, Tell{To: place, Notices: s.guard.About(now, fp)})
		s.redirect(t, verdict.Refuse(verdict.Poison, "runs alone at another node"), place, e)
		return true
	default:
		t.alone = false
		return false
	}
}

// pumpLone starts a suspect once nothing else runs. While it waits and runs
// nothing else starts, so that a crash takes no other request with it.
func (s *Server) pumpLone(now time.Time, e *Effects) {
	if s.lone == nil || len(s.running) > 0 || !s.ready {
		return
	}
	t := s.lone
	s.lone = nil
	if s.quarantined(now, t, e) {
		s.pump(now, e)
		return
	}
	if !t.alone { // cleared while it waited: it runs like any other
		s.start(now, t, e)
		s.pump(now, e)
		return
	}
	if !s.guard.Start(now, t.Request.Fingerprint) {
		s.finishUnstarted(t, verdict.Refuse(verdict.Shed, "another suspect runs alone").After(s.cfg.RefuseRetryAfter), e)
		s.pump(now, e)
		return
	}
	s.lone = t
	s.start(now, t, e)
}

func (s *Server) refuseLone(reason verdict.Reason, e *Effects) {
	if s.lone == nil || s.running[s.lone.ID] != nil {
		return
	}
	t := s.lone
	s.lone = nil
	err := verdict.Refuse(reason, "refused while waiting to run alone").After(s.cfg.RefuseRetryAfter)
	s.finishUnstarted(t, err, e)
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
	e.Start = append(e.Start, t)
}

// Calling notes that a running task began (change 1) or ended (change -1) a
// call of its own: the time that it waits for others is not the backend
// server's.
func (s *Server) Calling(now time.Time, id uint64, change int) {
	t, ok := s.running[id]
	if !ok {
		return
	}
	before := t.calls
	t.calls += change
	switch {
	case before == 0 && t.calls > 0:
		t.waitSince = now
		s.limit.Waiting(now, 1)
	case before > 0 && t.calls == 0:
		t.downstream += now.Sub(t.waitSince)
		s.limit.Waiting(now, -1)
	}
}

// Done takes the result of a task that Effects.Start handed out.
func (s *Server) Done(now time.Time, id uint64, r Result) Effects {
	var e Effects
	t, ok := s.running[id]
	if !ok {
		return e
	}
	if t.calls > 0 {
		s.Calling(now, id, -t.calls)
	}
	if r.Crashed {
		s.crash(now, &e)
	} else {
		s.judge(now, t, r, &e)
		s.faults.note(r.Latency-t.downstream, r)
	}
	delete(s.running, id)
	if s.lone == t {
		s.lone = nil
	}
	s.limit.End(now, limit.Sample{
		Latency:    r.Latency,
		Downstream: t.downstream,
		InFlight:   t.inFlight,
		Outcome:    outcome(r),
		Class:      t.class,
	})
	s.finish(now, t, r, &e)
	s.pump(now, &e)
	return e
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

// judge tells the guard how a task ended that did not crash.
func (s *Server) judge(now time.Time, t *Task, r Result, e *Effects) {
	fp := t.Request.Fingerprint
	if r.Verdict == verdict.Ran {
		e.Notices = append(e.Notices, s.guard.Finished(now, fp)...)
		return
	}
	if t.alone {
		s.guard.Abandoned(fp)
	}
}

// Restarted takes the news that another process of the backend server has
// announced itself: what still ran at the old one ended with it.
func (s *Server) Restarted(now time.Time) Effects {
	var e Effects
	s.faults = faults{}
	if len(s.running) > 0 {
		s.crash(now, &e)
	}
	return e
}

// crash makes suspects of all that ran at the backend server. Each request
// that ran reports the crash; only the first report counts, since later ones
// would miss the requests that were answered in between.
func (s *Server) crash(now time.Time, e *Effects) {
	if s.crashed {
		return
	}
	s.crashed = true
	s.counts.Crashes++
	prints := make([]uint64, 0, len(s.running))
	for _, t := range s.running {
		prints = append(prints, t.Request.Fingerprint)
	}
	alone := s.lone != nil && s.running[s.lone.ID] != nil
	e.Notices = append(e.Notices, s.guard.Crashed(now, prints, alone)...)
	s.ready = false
	s.refuseWaiting(now, verdict.NoBackend, e)
}

// Hear takes a notice about suspects from another node and returns what is to
// be passed on.
func (s *Server) Hear(now time.Time, n poison.Notice) []poison.Notice {
	return s.guard.Receive(now, n)
}

// Gossip returns notices to repeat to one other node of the service.
func (s *Server) Gossip(now time.Time, limit int) []poison.Notice {
	return s.guard.Gossip(now, limit)
}
