package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// reply answers an accepted attempt; each gets exactly one answer.
func (s *Server) reply(e *Effects, r call.Reply) {
	if s.owed[r.To]--; s.owed[r.To] <= 0 {
		delete(s.owed, r.To)
	}
	e.reply(r)
}

// finish answers all that wait for a task that was handed over.
func (s *Server) finish(now time.Time, t *Task, r Result, e *Effects) {
	joined := s.finishKey(now, t, r)
	s.forget(t)
	a := answer{result: r, heldUntil: t.heldUntil}
	for _, w := range joined {
		s.reply(e, s.answerTo(now, w, a))
	}
	own := s.answerTo(now, recipientOf(&t.Request), a)
	own.Unused = r.Unused
	s.reply(e, own)
}

// finishUnstarted answers all that wait for a task that was not handed over
// and now never will be: the attempts' sequence numbers are used up, and the
// key, if any, is free again.
func (s *Server) finishUnstarted(t *Task, err *verdict.Error, e *Effects) {
	for _, w := range s.abandonKey(t) {
		s.reply(e, s.refusalTo(w, 0, err))
	}
	s.forget(t)
	s.reply(e, s.refusal(t.Request, err))
}

func (s *Server) shed(now time.Time, t *Task, e *Effects) {
	s.counts.Shed++
	s.observe(now, admission.Shed)
	s.finishUnstarted(t, s.shedError(now), e)
}

// redirect refuses an attempt here and names the node that may run it.
func (s *Server) redirect(t *Task, err *verdict.Error, to wire.NodeID, e *Effects) {
	reply := s.refusal(t.Request, err)
	reply.BoundTo = to
	s.reply(e, reply)
}

func (s *Server) forget(t *Task) {
	delete(s.tasks, t.ID)
	delete(s.byCall, t.waiter)
}

func (s *Server) answerTo(now time.Time, to recipient, a answer) call.Reply {
	reply := s.replyTo(to)
	reply.Verdict = a.result.Verdict
	reply.Reason = a.result.Reason
	reply.Detail = a.result.Detail
	reply.RetryAfter = a.result.RetryAfter
	reply.Status = a.result.Status
	reply.Header = a.result.Header
	reply.Body = a.result.Body
	reply.Offered = a.result.Offered
	reply.Used = a.result.Used
	reply.RanFor = a.result.Latency
	reply.KeyHeld = a.held(now)
	return reply
}

func (s *Server) refusal(req call.Request, err *verdict.Error) call.Reply {
	reply := s.refusalTo(recipientOf(&req), req.Grant, err)
	reply.RequestID = req.RequestID
	return reply
}

func (s *Server) refusalTo(to recipient, unused uint32, err *verdict.Error) call.Reply {
	reply := s.replyTo(to)
	reply.Verdict = err.Verdict
	reply.Reason = err.Reason
	reply.Detail = err.Detail
	reply.RetryAfter = err.RetryAfter
	reply.Unused = unused
	return reply
}

func (s *Server) replyTo(to recipient) call.Reply {
	return call.Reply{
		From:     s.cfg.Self,
		To:       to.from,
		Seq:      to.seq,
		Via:      to.via,
		InFlight: uint32(len(s.running) + s.queue.Len()),
		Limit:    uint32(min(s.concurrency(), maxConcurrency)),
		Faults:   s.faults.percent(),
	}
}

// Owes reports whether an attempt of the node waits for its answer here.
func (s *Server) Owes(id wire.NodeID) bool {
	return s.owed[id] > 0
}

// Exhausted reports that nodes which start from now on are refused here.
func (s *Server) Exhausted() bool { return s.senders.Exhausted() }

// Level is what callers' nodes are told to hold back below; zero admits all.
func (s *Server) Level(now time.Time) uint16 {
	if s.cfg.Policy != PolicyFull {
		return 0
	}
	return s.gate.Level(now)
}
