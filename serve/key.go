package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/verdict"
)

// answer is the stored result of a used key.
type answer struct {
	result Result
	// heldUntil is the time until which a resend with the key is safe; zero
	// without a key.
	heldUntil time.Time
	// repeatFloor is the lowest priority for which there are extra attempts for a run of the
	// operation.
	repeatFloor uint16
}

// safeFor returns how long after now a resend with the key is safe.
func (a answer) safeFor(now time.Time) time.Duration {
	if a.heldUntil.IsZero() {
		return 0
	}
	return max(0, a.heldUntil.Sub(now))
}

// answerSize returns the approximate memory use of a stored answer, in bytes.
func answerSize(a answer) int {
	size := len(a.result.Body) + len(a.result.Detail)
	for _, f := range a.result.Header {
		size += len(f.Name) + len(f.Value)
	}
	return size
}

// handleKeyed handles a request with a key: only the incarnation that the key is
// bound to may run it, and only once.
func (s *Server) handleKeyed(now time.Time, t *Task, e *Effects) {
	key := t.Request.Key
	info, err := once.ParseKey(key)
	if err != nil {
		s.reply(e, s.refusal(t.Request, verdict.Refuse(verdict.KeyInvalid, "%v", err)))
		return
	}
	if !info.Minted {
		s.applyResolution(now, t, s.resolveKey(now, t), e)
		return
	}
	if info.Holder != s.cfg.Self {
		if err, known := s.ended.Answer(now, key, info); known {
			s.reply(e, s.refusal(t.Request, err))
			return
		}
		s.redirect(t, verdict.Refuse(verdict.KeyNotBound, "the key names another node"), info.Holder, nil, e)
		return
	}
	if err := s.mint.Verify(now, key, t.Request.Service, t.Request.Operation); err != nil {
		s.reply(e, s.refusal(t.Request, err))
		return
	}
	s.beginKeyed(now, t, e)
}

// resolveKey returns where the caller-made key of a task may run. A node that takes no new work,
// or can't run the task, binds no new key: no other node could run it, also after this one has
// ended.
func (s *Server) resolveKey(now time.Time, t *Task) once.Resolution {
	key := t.Request.Key
	if r, known := s.binder.Lookup(now, key); known {
		return r
	}
	err := s.noWorkRefusal()
	if err == nil {
		err = s.checkDependencies(now, t)
	}
	if err == nil {
		return s.binder.Bind(now, key)
	}
	return once.Resolution{Key: key, State: once.Refused, Err: err}
}

// applyResolution handles a task according to the binding of its caller-made key.
func (s *Server) applyResolution(now time.Time, t *Task, r once.Resolution, e *Effects) {
	switch r.State {
	case once.Pending:
		s.parkPending(t, e)
	case once.BoundHere:
		t.boundHere = true
		t.heldUntil = now.Add(r.SafeFor)
		// When the binding ends, the key may be bound to another node, which
		// would run the action again. The task must not start after that.
		if t.heldUntil.Before(t.Deadline) {
			t.Deadline = t.heldUntil
		}
		s.beginKeyed(now, t, e)
	case once.BoundTo:
		s.redirect(t, verdict.Refuse(verdict.KeyNotBound, "the key is bound to another node"), r.Holder, nil, e)
	default:
		s.reply(e, s.refusal(t.Request, r.Err))
	}
}

// maxParkedBytes limits the total size of the bodies of requests that wait for
// the bindings of their keys. During an outage of the log all such requests wait.
const maxParkedBytes = 16 << 20

// parkPending parks a request until its key is bound, unless the limits are exceeded.
// A rejected copy does not get verdict.NotRun: the copies parked before it may
// still run.
func (s *Server) parkPending(t *Task, e *Effects) {
	waiting := s.parked[t.Request.Key]
	size := len(t.Request.Body)
	switch {
	case len(waiting) > s.cfg.Once.MaxJoined:
		s.reply(e, s.refusal(t.Request, verdict.MayHaveRunError(verdict.Duplicate, "too many copies wait for the key's binding")))
	case s.parkedBytes+size > maxParkedBytes && len(waiting) > 0:
		s.reply(e, s.refusal(t.Request, verdict.MayHaveRunError(verdict.Shed, "too many bytes wait for key bindings").WithRetryAfter(s.cfg.RefuseRetryAfter)))
	case s.parkedBytes+size > maxParkedBytes:
		s.reply(e, s.refusal(t.Request, verdict.Refuse(verdict.Shed, "too many bytes wait for key bindings").WithRetryAfter(s.cfg.RefuseRetryAfter)))
	default:
		s.parkedBytes += size
		s.parked[t.Request.Key] = append(waiting, t)
	}
}

// beginKeyed admits a request whose key may run here, joins it to a running task,
// replays the stored answer, or refuses it.
func (s *Server) beginKeyed(now time.Time, t *Task, e *Effects) {
	d := s.keys.Begin(now, t.Request.Key, t.Request.Fingerprint, recipientOf(&t.Request))
	if d.SafeFor > 0 && t.heldUntil.IsZero() {
		t.heldUntil = now.Add(d.SafeFor)
	}
	switch d.Action {
	case once.Run:
		s.admit(now, t, e)
	case once.Join:
		s.counts.Joined++
	case once.Replay:
		s.counts.Replayed++
		reply := s.resultReply(now, recipientOf(&t.Request), d.Answer)
		reply.UnusedGrant = t.Request.Grant
		s.reply(e, reply)
	default:
		s.reply(e, s.refusal(t.Request, d.Err))
	}
}

func (s *Server) finishKey(now time.Time, t *Task, a answer) (joined []recipient) {
	if t.Request.Key == "" {
		return nil
	}
	// The backend server declined the task without running it: the key is free
	// again.
	if a.result.Verdict == verdict.NotRun {
		return s.keys.Abandon(t.Request.Key)
	}
	return s.keys.Finish(now, t.Request.Key, a, a.result.Verdict)
}

func (s *Server) abandonKey(t *Task) (joined []recipient) {
	if t.Request.Key == "" {
		return nil
	}
	return s.keys.Abandon(t.Request.Key)
}

// Mint returns a new key for an operation of this node's service, and how long
// the key is valid. It refuses while the node drains or has no backend server.
func (s *Server) Mint(now time.Time, operation string) (string, time.Duration, *verdict.Error) {
	if s.draining || !s.ready {
		return "", 0, verdict.Refuse(verdict.Draining, "node accepts no new work").WithRetryAfter(s.cfg.RefuseRetryAfter)
	}
	return s.mint.Mint(now, s.cfg.Service, operation), s.cfg.Once.KeyTTL, nil
}

// UsedKeys returns the lists of used keys to hand over before this node ends: its own, and
// those that it keeps for other holders. It must not be called while a key may still be used.
func (s *Server) UsedKeys(now time.Time) []once.UsedKeys {
	return append(s.ended.Lists(now), s.keys.ListUsed(now, s.cfg.Self))
}

// KeepUsedKeys keeps a list of used keys for a holder that ends.
func (s *Server) KeepUsedKeys(now time.Time, list once.UsedKeys) {
	if list.Holder != s.cfg.Self {
		s.ended.Add(now, list)
	}
}

// NextBindingRecord returns the next record to append to the log of bindings, if there
// is one. The node must report the outcome by BindingsAppended or BindingsFailed.
func (s *Server) NextBindingRecord(now time.Time) ([]byte, bool) { return s.binder.NextAppend(now) }

// BindingsAppended handles a successful append.
func (s *Server) BindingsAppended(now time.Time) { s.binder.Appended(now) }

// BindingsFailed handles an append that failed or whose outcome is unknown.
func (s *Server) BindingsFailed(now time.Time) { s.binder.AppendFailed(now) }

// NextBindingOffset returns the offset to read the log of bindings from, if a read is due.
// The node must report the outcome by Page or BindingReadFailed.
func (s *Server) NextBindingOffset(now time.Time) (uint64, bool) { return s.binder.NextRead(now) }

// BindingReadFailed handles a failed read.
func (s *Server) BindingReadFailed(now time.Time) { s.binder.ReadFailed(now) }

// Page applies the result of a read of the log from the given offset.
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

// unpark resumes the requests that waited for the binding of r.Key.
func (s *Server) unpark(now time.Time, r once.Resolution, e *Effects) {
	tasks := s.parked[r.Key]
	delete(s.parked, r.Key)
	for _, t := range tasks {
		s.parkedBytes -= len(t.Request.Body)
		s.applyResolution(now, t, r, e)
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

// cancelParked refuses a canceled attempt that waits for the binding of its key.
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
