package dispatch

import (
	"context"
	"errors"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// once makes one attempt. Its reply is the callee's, or stands for what is
// known without one.
func (d *Dispatcher) once(ctx context.Context, p Params, to target) call.Reply {
	sent := time.Now()
	reply := d.send(ctx, p, to)
	took := time.Since(sent)
	d.picked(p, to, took, reply)
	d.timed(p, took, reply)
	d.learn(p, reply)
	return reply
}

// send hands one attempt to a node and awaits its answer.
func (d *Dispatcher) send(ctx context.Context, p Params, to target) call.Reply {
	link, err := d.linker.Link(ctx, to.id)
	if err != nil {
		return refused(notHandedOver(ctx, to, err))
	}
	defer link.Release()
	grant := d.grant(p)
	req := d.request(p, to.id, grant.Extra)
	w := d.expect(req.Seq, to.id)
	defer d.forget(req.Seq)
	written, err := link.Call(req)
	if err != nil {
		d.giveBack(p, grant, grant.Extra)
		return refused(notHandedOver(ctx, to, err))
	}
	reply, settled := d.await(ctx, link, w, req, written, to)
	if settled {
		d.giveBack(p, grant, reply.Unused)
	} else {
		d.forfeit(p, grant)
	}
	return reply
}

// notHandedOver is the answer for an attempt that never left. It is "not run",
// but for one to a key's holder: the key may have run there before.
func notHandedOver(ctx context.Context, to target, err error) *verdict.Error {
	if to.holder {
		return verdict.Doubt(verdict.KeyHolderGone, "the node %s that the key is bound to does not answer: %v", to.id.Short(), err)
	}
	if ctx.Err() != nil {
		return ended(ctx, verdict.NotRun)
	}
	return verdict.Refuse(verdict.Lost, "not handed over to %s: %v", to.id.Short(), err)
}

// await waits for the answer, the end of the connection, or the end of the
// caller's patience, whichever comes first. settled says that what is unused
// of the grant is known.
func (d *Dispatcher) await(ctx context.Context, link Link, w *wait, req call.Request, written func() bool, to target) (r call.Reply, settled bool) {
	select {
	case r := <-w.reply:
		link.Answered()
		return r, true
	case <-link.Done():
	case <-ctx.Done():
		link.Cancel(call.Cancel{From: req.From, Seq: req.Seq, To: req.To})
		return refused(ended(ctx, verdict.MayHaveRun)), false
	}
	// The answer may have come just before the connection ended.
	select {
	case r := <-w.reply:
		return r, true
	default:
	}
	d.count(func(c *Counts) { c.Lost++ })
	if !written() {
		r := refused(notHandedOver(ctx, to, errEnded))
		r.Unused = req.Grant
		return r, true
	}
	return refused(verdict.Doubt(verdict.Lost, "connection to %s ended before the answer", req.To.Short())), false
}

var errEnded = errors.New("the connection ended")

func ended(ctx context.Context, v verdict.Verdict) *verdict.Error {
	if ctx.Err() == context.DeadlineExceeded {
		return &verdict.Error{Verdict: v, Reason: verdict.Deadline, Detail: "deadline passed"}
	}
	return &verdict.Error{Verdict: v, Reason: verdict.Canceled, Detail: "caller went away"}
}

func refused(err *verdict.Error) call.Reply {
	return call.Reply{Verdict: err.Verdict, Reason: err.Reason, Detail: err.Detail, RetryAfter: err.RetryAfter}
}

func (d *Dispatcher) request(p Params, to wire.NodeID, grant uint32) call.Request {
	left := time.Until(p.Deadline)
	margin := min(d.cfg.Margin, left/10)
	return call.Request{
		From:        d.cfg.Self,
		Seq:         d.seq.Add(1),
		To:          to,
		RequestID:   p.RequestID,
		Service:     p.Operation.Service,
		Operation:   p.Operation.Name,
		Importance:  p.Importance,
		Budget:      left - margin,
		Grant:       grant,
		Key:         p.Key,
		Fingerprint: p.Fingerprint,
		Depth:       p.Depth,
		Header:      p.Header,
		Query:       p.Query,
		Body:        p.Body,
		HTTP:        p.HTTP,
		Idempotent:  p.Operation.Idempotent,
		Root:        p.Root,
		Bars:        p.Bars,
		Repeat:      p.Repeat || p.repeated,
		Workspace:   p.Workspace,
	}
}

func (d *Dispatcher) expect(seq uint64, to wire.NodeID) *wait {
	w := &wait{to: to, reply: make(chan call.Reply, 1)}
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Attempts++
	d.waiting[seq] = w
	return w
}

func (d *Dispatcher) forget(seq uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.waiting, seq)
}

// Reply takes an answer from the network. from is the incarnation at the
// other end of the connection that it came by. One that matches no waiting
// attempt is dropped: it is late, repeated, or from another incarnation, and
// must not reach another caller.
func (d *Dispatcher) Reply(from wire.NodeID, r call.Reply) {
	d.mu.Lock()
	w, ok := d.waiting[r.Seq]
	if !ok || r.To != d.cfg.Self || w.to != from || r.From != from {
		d.counts.Unmatched++
		d.mu.Unlock()
		return
	}
	delete(d.waiting, r.Seq)
	d.mu.Unlock()
	if !r.Reason.Valid() {
		r.Reason = verdict.Internal
	}
	w.reply <- r
}
