package node

import (
	"time"

	"github.com/cassialoom/cassialoom/backend"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// serve calls f with the callee's state under its lock and carries out the
// effects that f returns.
func (n *Node) serve(f func(now time.Time, s *serve.Server) serve.Effects) {
	now := time.Now()
	n.replying.Add(1)
	defer n.replying.Add(-1)
	e, started, paused := n.server.do(now, func(s *serve.Server) serve.Effects { return f(now, s) })
	if paused > 0 {
		n.log.Warn().Dur("for_ms", paused).Msg("this process was paused")
	}
	n.recordSuspicions(now, e.SuspicionChanges)
	for _, notice := range e.Notices {
		n.broadcastNotice(notice)
	}
	for _, tell := range e.DirectNotices {
		n.sendNotices(tell.To, tell.Notices)
	}
	for _, r := range started {
		n.wg.Add(1)
		go n.run(r)
	}
	for _, r := range e.Replies {
		n.reply(now, r)
	}
}

// arrive passes an incoming call to the callee's state.
func (n *Node) arrive(req call.Request) {
	n.applyNotices(req.Notices)
	op, configured := n.operation(req)
	n.serve(func(now time.Time, s *serve.Server) serve.Effects {
		return s.Arrive(now, req, op, configured)
	})
}

// cancel passes the cancellation of a call to the callee's state.
func (n *Node) cancel(c call.Cancel) {
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Cancel(now, c) })
}

// run sends one task to the backend server and passes the result to the callee's
// state.
func (n *Node) run(r *run) {
	defer n.wg.Done()
	defer r.stop()
	n.counts.Runs.Add(1)
	inst := n.backendInstance()
	req := r.task.Request
	res := n.backend.Run(r.ctx, inst.url, backend.Run{
		Token:       r.token,
		Operation:   req.Operation,
		RequestID:   req.RequestID,
		Importance:  req.Importance,
		Budget:      time.Until(r.task.Deadline),
		Header:      req.Header,
		Query:       req.Query,
		Body:        req.Body,
		HTTP:        req.HTTP,
		Incarnation: inst.start.ID,
		Workspace:   req.Workspace,
		Idempotent:  req.Idempotent || r.task.Operation != nil && r.task.Operation.Idempotent,
	})
	callMayHaveRun := n.server.removeRun(r)
	result := n.result(r, res, callMayHaveRun)
	n.receiveNotice(inst, res)
	if res.Broken {
		n.counts.BackendConnsBroken.Add(1)
	}
	if res.Crashed || res.Gone {
		n.backendCrashed(inst.start)
	}
	n.recordRun(r.task, inst, res.Conn, result)
	n.serve(func(now time.Time, s *serve.Server) serve.Effects { return s.Done(now, r.task.ID, result) })
}

// healthPath returns the path of the backend server's health check, empty if it is not known.
func (n *Node) healthPath() string {
	if table := n.routing.table(); table != nil {
		return table.HealthPath(n.cfg.Service)
	}
	return ""
}

// result combines the answer of the backend server with what the calls made by the
// run have used.
func (n *Node) result(r *run, res backend.Result, callMayHaveRun bool) serve.Result {
	result := serve.Result{
		Verdict:        res.Verdict,
		Reason:         res.Reason,
		Detail:         res.Detail,
		RetryAfter:     res.RetryAfter,
		Status:         res.Status,
		Header:         res.Header,
		Body:           res.Body,
		Latency:        res.Latency,
		Crashed:        res.Crashed,
		Gone:           res.Gone,
		ReachedBackend: res.ReachedBackend,
		Answered:       res.Answered,
		Slowdown:       res.Notice.Load.Slowdown,
		Busy:           res.Notice.Load.Running + res.Notice.Load.Waiting,
		Limit:          limit.Statement{Named: res.Notice.Limit == backend.Limited, PerSecond: res.Notice.PerSecond},
		UnusedGrant:    n.dispatch.CloseLedger(r.ledger),
	}
	n.server.addCallResults(r, &result)
	result.LimitUnreadable = res.Notice.Limit == backend.UnreadableLimit
	// If a call made for the task may have run, the request as a whole may have
	// run, even if the backend server declined the task itself.
	if result.Verdict == verdict.NotRun && callMayHaveRun {
		result.Verdict = verdict.MayHaveRun
	}
	return result
}

// recordRun records the latencies and the result of a task, which the connection conn carried.
func (n *Node) recordRun(t *serve.Task, inst instance, conn uint64, r serve.Result) {
	step := explain.Ran
	if r.Reason != verdict.None {
		step = explain.Lost
	}
	n.counts.Latencies.Observe(t.Request.Operation, ops.HopQueue, t.Waited())
	n.counts.Latencies.Observe(t.Request.Operation, ops.HopBackend, r.Latency)
	now := time.Now()
	n.notes.Record(now, explain.Event{
		RequestID:     t.Request.RequestID,
		RootRequestID: t.Request.RootRequestID,
		Service:       t.Request.Service,
		Operation:     t.Request.Operation,
		Step:          step,
		Content:       explain.Content(t.Request.Fingerprint),
		Verdict:       r.Verdict.String(),
		Reason:        r.Reason,
		Status:        r.Status,
		Detail:        r.Detail,
		Target:        inst.start.ID,
		Conn:          conn,
		Extra:         t.Request.Repeat,
		Waited:        t.Waited(),
		Duration:      r.Latency,
		Remaining:     t.Deadline.Sub(now),
	})
}

// recordStray records an answer of the backend server that no request waits for.
func (n *Node) recordStray(s backend.StrayAnswer) {
	step, text := explain.Stray, "an answer to another request"
	switch {
	case s.Contradicts:
		step, text = explain.Contradicted, "the backend server answers a request that it had declined"
	case s.Status == 0:
		text = "data on an idle connection"
	}
	n.notes.Record(time.Now(), explain.Event{
		RequestID: s.RequestID, Service: n.cfg.Service, Step: step, Status: s.Status, Detail: text,
		Target: n.backendInstance().start.ID, Conn: s.Conn, Duration: s.After,
	})
}

// reply sends a reply to the node that made the call.
func (n *Node) reply(now time.Time, r call.Reply) {
	if r.Verdict == verdict.NotRun {
		n.notes.Record(now, explain.Event{
			Step: explain.Declined, RequestID: r.RequestID, Service: n.cfg.Service, Verdict: r.Verdict.String(),
			Reason: r.Reason, Detail: r.Detail, RetryAfter: r.RetryAfter, Target: r.To.Short(),
		})
	}
	r.ConfigVersion = n.configVersion()
	r.Levels = n.levels(now)
	r.Notice = n.ownNotice()
	if r.To == n.id {
		n.dispatch.Reply(n.id, r)
		return
	}
	c, ok := n.replyConn(r)
	if !ok {
		return // the connection has ended, which the caller's node sees as well
	}
	if _, err := c.Send(wire.KindReply, r); err != nil {
		// The caller's node would wait for the lost reply until the deadline;
		// the end of the connection fails the call at once.
		c.Close()
	}
}

// replyConn returns the connection for a reply: the one on which the call arrived.
// The caller's node waits for the reply or the end of that connection. On another
// connection the reply could be lost without a sign to the caller's node. If the
// connection of the call has ended here, another one is used, since the caller's
// node may not have noticed the end yet.
func (n *Node) replyConn(r call.Reply) (*transport.Conn, bool) {
	if c, ok := n.peers.ByNumber(r.ConnNumber); ok {
		return c, true
	}
	return n.peers.Lookup(r.To)
}

// levels lists the admission levels to send with a reply.
func (n *Node) levels(now time.Time) []call.Level {
	levels := n.dispatch.Levels(now)
	if own := n.server.level(now); own > 0 {
		levels = append(levels, call.Level{Service: n.cfg.Service, Priority: own})
	}
	return levels
}
