package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// sendAndRecord makes one attempt and records its result for the balancer, hedging and admission
// levels. The reply is synthetic if the callee sent none.
func (d *Dispatcher) sendAndRecord(ctx context.Context, p Params, to target) call.Reply {
	sent := time.Now()
	reply := d.send(ctx, p, to)
	took := time.Since(sent)
	d.picked(p, to, took, reply)
	d.recordLatency(p, took, reply)
	d.receiveLevels(p, reply)
	d.receiveRepeatFloor(p, reply)
	d.receiveNotice(p, reply)
	d.outages.answered(p.Operation.Service, p.Operation.Name, reply)
	return reply
}

// send sends one attempt to a node and waits for its answer.
func (d *Dispatcher) send(ctx context.Context, p Params, to target) call.Reply {
	link, err := d.linker.Link(ctx, to.id)
	if err != nil {
		return d.unsent(ctx, p, to, err)
	}
	defer link.Release()
	grant := d.grant(p)
	req := d.newRequest(p, to.id, grant.Extra)
	w := d.addPending(req.Seq, to.id)
	defer d.removePending(req.Seq)
	mayHaveArrived, err := link.Call(req)
	if err != nil {
		d.returnGrant(p, grant, grant.Extra)
		return d.unsent(ctx, p, to, err)
	}
	p.wait.end()
	reply, settled := d.awaitReply(ctx, p, link, w, req, mayHaveArrived, to)
	if settled {
		d.returnGrant(p, grant, reply.UnusedGrant)
	} else {
		d.forfeitGrant(p, grant)
	}
	return reply
}

// unsent records an attempt that was never sent, and returns its reply.
func (d *Dispatcher) unsent(ctx context.Context, p Params, to target, err error) call.Reply {
	if ctx.Err() == nil {
		d.outages.failed(p.Operation.Service, to.id, err)
	}
	return errorReply(notSent(ctx, to, err))
}

// notSent returns the error of an attempt that was never sent. It is "not run", except for
// a key's holder: the key may have run there before. It has a Retry-After unless the holder
// has ended.
func notSent(ctx context.Context, to target, err error) *verdict.Error {
	if to.keyHolder {
		gone := verdict.MayHaveRunError(verdict.KeyHolderGone, "the node %s that the key is bound to does not answer: %v", to.id.Short(), err)
		if errors.Is(err, ErrEnded) {
			return gone
		}
		return gone.WithRetryAfter(lostRetryAfter)
	}
	if ctx.Err() != nil {
		return contextError(ctx, verdict.NotRun)
	}
	return verdict.Refuse(verdict.ConnectionLost, "request not sent to %s: %v", to.id.Short(), err).WithRetryAfter(lostRetryAfter)
}

// awaitReply waits for the answer, the end of the connection, or the end of ctx. settled
// says that the unused part of the grant is known.
func (d *Dispatcher) awaitReply(ctx context.Context, p Params, link Link, w *pendingAttempt, req call.Request, mayHaveArrived func() bool, to target) (r call.Reply, settled bool) {
	select {
	case r := <-w.reply:
		link.MarkAnswered()
		return r, true
	case <-link.Done():
	case <-ctx.Done():
		link.Cancel(call.Cancel{From: req.From, Seq: req.Seq, To: req.To})
		return errorReply(contextError(ctx, verdict.MayHaveRun)), false
	}
	// The answer may have arrived just before the connection closed.
	select {
	case r := <-w.reply:
		return r, true
	default:
	}
	d.count(func(c *Counts) { c.ConnectionLost++ })
	if !mayHaveArrived() {
		r := d.unsent(ctx, p, to, errConnectionEnded)
		r.UnusedGrant = req.Grant
		return r, true
	}
	return errorReply(verdict.MayHaveRunError(verdict.ConnectionLost, "connection to %s ended before the answer", req.To.Short())), false
}

var errConnectionEnded = errors.New("the connection ended")

// contextError returns the error of a call whose context has ended.
func contextError(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return &verdict.Error{Verdict: v, Reason: verdict.Deadline, Detail: "deadline passed"}
	}
	return &verdict.Error{Verdict: v, Reason: verdict.Canceled, Detail: "caller went away"}
}

// errorReply returns the synthetic reply for an error.
func errorReply(err *verdict.Error) call.Reply {
	return call.Reply{Verdict: err.Verdict, Reason: err.Reason, Detail: err.Detail, RetryAfter: err.RetryAfter}
}

func (d *Dispatcher) newRequest(p Params, to wire.NodeID, grant uint32) call.Request {
	remaining := time.Until(p.Deadline)
	margin := min(d.cfg.Margin, remaining/10)
	return call.Request{
		From:           d.cfg.Self,
		Seq:            d.seq.Add(1),
		To:             to,
		RequestID:      p.RequestID,
		Service:        p.Operation.Service,
		Operation:      p.Operation.Name,
		Importance:     p.Importance,
		Budget:         remaining - margin,
		Grant:          grant,
		Key:            p.Key,
		Fingerprint:    p.Fingerprint,
		Depth:          p.Depth,
		Header:         p.Header,
		Query:          p.Query,
		Body:           p.Body,
		HTTP:           p.HTTP,
		Idempotent:     p.Operation.Idempotent,
		RootRequestID:  p.RootRequestID,
		AdmittedLevels: p.AdmittedLevels,
		Repeat:         p.Repeat || p.repeated,
		Workspace:      p.Workspace,
		Notices:        d.noticesFor(p.Operation.Service, to),
		Suspicions:     p.suspicions,
	}
}

func (d *Dispatcher) addPending(seq uint64, to wire.NodeID) *pendingAttempt {
	w := &pendingAttempt{to: to, reply: make(chan call.Reply, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Attempts++
	d.pending[seq] = w
	return w
}

func (d *Dispatcher) removePending(seq uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.pending, seq)
}

// Reply accepts an answer from the network; from is the incarnation at the other end of
// its connection. An answer that matches no pending attempt is dropped, since it must not
// reach another caller: it is late, duplicated, or from another incarnation.
func (d *Dispatcher) Reply(from wire.NodeID, r call.Reply) {
	d.mu.Lock()
	w, ok := d.pending[r.Seq]
	if !ok || r.To != d.cfg.Self || w.to != from || r.From != from {
		d.counts.Unmatched++
		d.mu.Unlock()
		return
	}
	delete(d.pending, r.Seq)
	d.mu.Unlock()
	if !r.Reason.Valid() {
		r.Reason = verdict.Internal
	}
	w.reply <- r
}
