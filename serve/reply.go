package serve

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// reply answers an accepted attempt. Each accepted attempt gets exactly one
// answer.
func (s *Server) reply(e *Effects, r call.Reply) {
	if s.pendingReplies[r.To]--; s.pendingReplies[r.To] <= 0 {
		delete(s.pendingReplies, r.To)
	}
	e.reply(r)
}

// finish answers all attempts that wait for a task that was handed to the
// backend server.
func (s *Server) finish(now time.Time, t *Task, r Result, e *Effects) {
	a := answer{result: r, heldUntil: t.heldUntil, repeatFloor: s.repeatFloor(now, t.Request.Operation)}
	joined := s.finishKey(now, t, a)
	s.removeTask(t)
	for _, w := range joined {
		s.reply(e, s.resultReply(now, w, a))
	}
	own := s.resultReply(now, recipientOf(&t.Request), a)
	own.UnusedGrant = r.UnusedGrant
	if r.Crashed {
		own.Suspicions = s.guard.NoticeFor(now, t.Request.Fingerprint)
	}
	s.reply(e, own)
}

// finishUnstarted answers all attempts that wait for a task that was not handed
// to the backend server. The task can't start later: the sequence numbers of its
// attempts are used up. Its key, if it has one, is free again.
func (s *Server) finishUnstarted(t *Task, err *verdict.Error, e *Effects) {
	for _, w := range s.abandonKey(t) {
		s.reply(e, s.refusalReply(w, 0, err))
	}
	s.removeTask(t)
	s.reply(e, s.refusal(t.Request, err))
}

func (s *Server) shed(now time.Time, t *Task, e *Effects) {
	s.counts.Shed++
	s.observe(now, admission.Shed)
	s.finishUnstarted(t, s.shedError(now), e)
}

// redirect refuses an attempt and names the node that may run it, with what that node has to
// know about the request.
func (s *Server) redirect(t *Task, err *verdict.Error, to wire.NodeID, suspicions []poison.Notice, e *Effects) {
	reply := s.refusal(t.Request, err)
	reply.BoundTo = to
	reply.Suspicions = suspicions
	s.reply(e, reply)
}

func (s *Server) removeTask(t *Task) {
	delete(s.tasks, t.ID)
	delete(s.byCall, t.waiter)
}

func (s *Server) resultReply(now time.Time, to recipient, a answer) call.Reply {
	reply := s.newReply(to)
	reply.Verdict = a.result.Verdict
	reply.Reason = a.result.Reason
	reply.Detail = a.result.Detail
	reply.RetryAfter = a.result.RetryAfter
	reply.Status = a.result.Status
	reply.Header = a.result.Header
	reply.Body = a.result.Body
	reply.ReachedBackend = a.result.ReachedBackend
	reply.SlotTimeUsed = a.result.SlotTimeUsed
	reply.DependencyLost = a.result.DependencyLost
	reply.RanFor = a.result.Latency
	reply.RepeatFloor = a.repeatFloor
	reply.KeySafeFor = a.safeFor(now)
	return reply
}

func (s *Server) refusal(req call.Request, err *verdict.Error) call.Reply {
	reply := s.refusalReply(recipientOf(&req), req.Grant, err)
	reply.RequestID = req.RequestID
	return reply
}

func (s *Server) refusalReply(to recipient, unused uint32, err *verdict.Error) call.Reply {
	reply := s.newReply(to)
	reply.Verdict = err.Verdict
	reply.Reason = err.Reason
	reply.Detail = err.Detail
	reply.RetryAfter = err.RetryAfter
	reply.UnusedGrant = unused
	return reply
}

func (s *Server) newReply(to recipient) call.Reply {
	work, slowdown := s.pace.Work()
	return call.Reply{
		From:       s.cfg.Self,
		To:         to.from,
		Seq:        to.seq,
		ConnNumber: to.connNumber,
		InFlight:   uint32(s.reportedInFlight()),
		Limit:      uint32(min(s.effectiveConcurrency(), maxConcurrency)),
		Faults:     s.faults.percent(),

		WorkMicros:      uint32(min(work.Microseconds(), math.MaxUint32)),
		SlowdownPercent: uint32(min(slowdown*100, math.MaxUint32)),
	}
}

// OwesReply reports whether an attempt from the node id waits for its answer here.
func (s *Server) OwesReply(id wire.NodeID) bool {
	return s.pendingReplies[id] > 0
}

// Exhausted reports whether the table of senders is full, so that attempts from
// new nodes are refused.
func (s *Server) Exhausted() bool { return s.senders.Exhausted() }

// Level returns the admission level to publish to the nodes of callers: they
// hold back requests of lower priority. Zero admits all.
func (s *Server) Level(now time.Time) uint16 {
	if s.cfg.Policy != PolicyFull {
		return 0
	}
	return s.gate.Level(now)
}
