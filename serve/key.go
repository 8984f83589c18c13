package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/verdict"
)

// answer is what is stored with a used key.
type answer struct {
	result Result
	// heldUntil is when a resend with the key stops being safe; zero
	// without a key.
	heldUntil time.Time
}

// held is how long a resend with the key stays safe.
func (a answer) held(now time.Time) time.Duration {
	if a.heldUntil.IsZero() {
		return 0
	}
	return max(0, a.heldUntil.Sub(now))
}

// answerSize is the memory that a stored answer holds, in bytes.
func answerSize(a answer) int {
	size := len(a.result.Body) + len(a.result.Detail)
	for _, f := range a.result.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// takeKeyed decides about a request with a key: only the incarnation that the
// key is bound to may run it, and only once.
func (s *Server) takeKeyed(now time.Time, t *Task, e *Effects) {
	key := t.Request.Key
	info, err := once.ParseKey(key)
	if err != nil {
		s.reply(e, s.refusal(t.Request, verdict.Refuse(verdict.KeyInvalid, "%v", err)))
		return
	}
	if !info.Minted {
		s.settle(now, t, s.binder.Want(now, key), e)
		return
	}
	if info.Holder != s.cfg.Self {
		s.redirect(t, verdict.Refuse(verdict.KeyNotBound, "the key names another node"), info.Holder, e)
		return
	}
	if err := s.mint.Verify(now, key, t.Request.Service, t.Request.Operation); err != nil {
		s.reply(e, s.refusal(t.Request, err))
		return
	}
	s.begin(now, t, e)
}

// settle acts on what the binder knows about a caller's own key.
func (s *Server) settle(now time.Time, t *Task, r once.Resolution, e *Effects) {
	switch r.State {
	case once.Pending:
		s.wait(t, e)
	case once.BoundHere:
		t.heldUntil = now.Add(r.Held)
		// After its end the key may be bound to another node, which would
		// run the action again: this one must have started it by then.
		if t.heldUntil.Before(t.Deadline) {
			t.Deadline = t.heldUntil
		}
		s.begin(now, t, e)
	case once.BoundTo:
		s.redirect(t, verdict.Refuse(verdict.KeyNotBound, "the key is bound to another node"), r.Holder, e)
	default:
		s.reply(e, s.refusal(t.Request, r.Err))
	}
}

// maxParkedBytes bounds the bodies of requests that wait for their keys'
// bindings; in an outage of the log they all do.
const maxParkedBytes = 16 << 20

// wait keeps a request until its key is bound, within bounds. A copy beyond
// them is not told "not run": the ones before it may still run.
func (s *Server) wait(t *Task, e *Effects) {
	waiting := s.parked[t.Request.Key]
	size := len(t.Request.Body)
	switch {
	case len(waiting) > s.cfg.Once.MaxJoined:
		s.reply(e, s.refusal(t.Request, verdict.Doubt(verdict.Duplicate, "too many copies wait for the key's binding")))
	case s.parkedBytes+size > maxParkedBytes && len(waiting) > 0:
		s.reply(e, s.refusal(t.Request, verdict.Doubt(verdict.Shed, "too much waits for bindings").After(s.cfg.RefuseRetryAfter)))
	case s.parkedBytes+size > maxParkedBytes:
		s.reply(e, s.refusal(t.Request, verdict.Refuse(verdict.Shed, "too much waits for bindings").After(s.cfg.RefuseRetryAfter)))
	default:
		s.parkedBytes += size
		s.parked[t.Request.Key] = append(waiting, t)
	}
}

// begin runs, joins, replays or refuses a request whose key may run here.
func (s *Server) begin(now time.Time, t *Task, e *Effects) {
	d := s.keys.Begin(now, t.Request.Key, t.Request.Fingerprint, recipientOf(&t.Request))
	if d.Held > 0 && t.heldUntil.IsZero() {
		t.heldUntil = now.Add(d.Held)
	}
	switch d.Action {
	case once.Run:
		s.admit(now, t, e)
	case once.Join:
		s.counts.Joined++
	case once.Replay:
		s.counts.Replayed++
		reply := s.answerTo(now, recipientOf(&t.Request), d.Answer)
		reply.Unused = t.Request.Grant
		s.reply(e, reply)
	default:
		s.reply(e, s.refusal(t.Request, d.Err))
	}
}

func (s *Server) finishKey(now time.Time, t *Task, r Result) (joined []recipient) {
	if t.Request.Key == "" {
		return nil
	}
	// A backend server that says it did not begin leaves the key as it was.
	if r.Verdict == verdict.NotRun {
		return s.keys.Abandon(t.Request.Key)
	}
	return s.keys.Finish(now, t.Request.Key, answer{result: r, heldUntil: t.heldUntil}, r.Verdict)
}

func (s *Server) abandonKey(t *Task) (joined []recipient) {
	if t.Request.Key == "" {
		return nil
	}
	return s.keys.Abandon(t.Request.Key)
}

// Mint returns a new key for an operation of this node's service.
func (s *Server) Mint(now time.Time, operation string) (string, time.Duration, *verdict.Error) {
	if s.drain || !s.ready {
		return "", 0, verdict.Refuse(verdict.Draining, "node takes no new work").After(s.cfg.RefuseRetryAfter)
	}
	return s.mint.Mint(now, s.cfg.Service, operation), s.cfg.Once.KeyTTL, nil
}

// WantBindings returns a record that is to be appended to the stream of
// bindings; BindingsAppended or BindingsFailed must follow.
func (s *Server) WantBindings(now time.Time) ([]byte, bool) { return s.binder.WantAppend(now) }

// BindingsAppended reports that the record was written.
func (s *Server) BindingsAppended(now time.Time) { s.binder.Appended(now) }

// BindingsFailed reports an append without a good answer.
func (s *Server) BindingsFailed(now time.Time) { s.binder.AppendFailed(now) }

// WantPage returns the offset to read the stream of bindings from; Page or
// PageFailed must follow.
func (s *Server) WantPage(now time.Time) (uint64, bool) { return s.binder.WantRead(now) }

// PageFailed reports a read without an answer.
func (s *Server) PageFailed(now time.Time) { s.binder.ReadFailed(now) }

// Page takes the answer to the read from the given offset.
func (s *Server) Page(now time.Time, from uint64, page applog.Page) Effects {
	var e Effects
	for _, r := range s.binder.Page(now, from, page) {
		s.unpark(now, r, &e)
	}
	return e
}

func (s *Server) tickKeys(now time.Time, e *Effects) {
	for _, r := range s.binder.Tick(now) {
		s.unpark(now, r, e)
	}
	for key, tasks := range s.parked {
		s.expireParked(now, key, tasks, e)
	}
}

// unpark goes on with the requests that waited for their key's binding.
func (s *Server) unpark(now time.Time, r once.Resolution, e *Effects) {
	tasks := s.parked[r.Key]
	delete(s.parked, r.Key)
	for _, t := range tasks {
		s.parkedBytes -= len(t.Request.Body)
		s.settle(now, t, r, e)
	}
}

func (s *Server) expireParked(now time.Time, key string, tasks []*Task, e *Effects) {
	var kept []*Task
	for _, t := range tasks {
		if now.Before(t.Deadline) {
			kept = append(kept, t)
			continue
		}
		s.counts.Expired++
		s.parkedBytes -= len(t.Request.Body)
		s.reply(e, s.refusal(t.Request, verdict.Refuse(verdict.Deadline, "expired before the key was bound")))
	}
	s.park(key, kept)
}

func (s *Server) park(key string, tasks []*Task) {
	if len(tasks) == 0 {
		delete(s.parked, key)
		return
	}
	s.parked[key] = tasks
}

// cancelParked ends an attempt that waits for its key's binding.
func (s *Server) cancelParked(w waiter, e *Effects) {
	for key, tasks := range s.parked {
		for i, t := range tasks {
			if t.waiter != w {
				continue
			}
			s.counts.Canceled++
			s.parkedBytes -= len(t.Request.Body)
			s.park(key, append(tasks[:i:i], tasks[i+1:]...))
			s.reply(e, s.refusal(t.Request, verdict.Refuse(verdict.Canceled, "canceled before the key was bound")))
			return
		}
	}
}
