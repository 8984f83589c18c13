package node

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/workspace"
)

// operation finds what a call asks for. A call for a route brings all that the
// callee needs: its sender may know a newer version of the routes.
func (n *Node) operation(req call.Request) (op *graph.Operation, configured bool) {
	if !n.routing.enabled() {
		return n.graph.operation(req.Service, req.Operation)
	}
	return graph.Standalone(graph.Operation{
		Service:    req.Service,
		Name:       req.Operation,
		Idempotent: req.Idempotent,
		Importance: req.Importance,
	}), true
}

// Forward takes a request that came by host and path to the backend server
// that its route names.
func (n *Node) Forward(ctx context.Context, in entry.Incoming, path string) call.Outcome {
	n.entered.Add(1)
	defer n.entered.Add(-1)
	out := n.forward(ctx, in, path)
	n.counts.Outcome(out.Verdict, out.Reason)
	return out
}

// timed adds the latency of a request that was answered by a backend server.
func (n *Node) timed(p dispatch.Params, received time.Time, out call.Outcome) {
	if out.Reason != verdict.None {
		return
	}
	whole := time.Since(received)
	n.counts.Latencies.Observe(p.Operation.Name, ops.HopWhole, whole)
	n.counts.Latencies.Observe(p.Operation.Name, ops.HopAdded, whole-out.RanFor)
}

func (n *Node) forward(ctx context.Context, in entry.Incoming, path string) call.Outcome {
	if n.closedToCallers(time.Now()) {
		return call.Failed(verdict.Refuse(verdict.Draining, "this node is leaving").After(refuseRetryAfter))
	}
	table := n.routing.table()
	if table == nil {
		return call.Failed(verdict.Refuse(verdict.NoConfiguration, "this node has no routes yet").After(refuseRetryAfter))
	}
	route, ok := table.Find(in.HTTP.Host, path)
	if !ok {
		return call.Failed(verdict.Refuse(verdict.UnknownOperation, "no route for %s%s in version %d", in.HTTP.Host, path, table.Version))
	}
	in.HTTP.Origin = n.cfg.Service
	if table.Workspaces == nil {
		in.Header = append(in.Header, in.Credentials...) // nobody here asks for keys
	}
	// The calls of backend servers bear no key; a request with one is a caller's, whatever
	// its id looks like.
	if parent, ok := n.server.running(in.Parent); ok && in.Parent != "" && in.WorkspaceKey == "" {
		p := n.routeParams(table, route, in)
		out := n.forwardCall(ctx, parent, p)
		n.timed(p, in.Received, out)
		return out
	}
	space, err := n.authorize(ctx, route, in.WorkspaceKey)
	if err != nil {
		n.noteRefused(in, table.Version, err)
		return call.Failed(err)
	}
	p := n.routeParams(table, route, in)
	out := n.forwardFor(ctx, route, space, p)
	n.timed(p, in.Received, out)
	return out
}

// forwardFor takes a request that enters here for a workspace, nil for none.
func (n *Node) forwardFor(ctx context.Context, route *routes.Route, space *workspace.Workspace, p dispatch.Params) call.Outcome {
	if space == nil {
		return n.forwardRoot(ctx, p)
	}
	use := quotaUse{node: n, workspace: space}
	p.Importance = route.ImportanceFor(space)
	p.Workspace = space.Name
	p.Enter = use.takeToken
	out := n.forwardRoot(ctx, p)
	use.settle(out)
	return out
}

func (n *Node) routeParams(table *routes.Table, route *routes.Route, in entry.Incoming) dispatch.Params {
	op := n.routing.pick(table, route).Operation
	return dispatch.Params{
		Version:     table.Version,
		RequestID:   in.RequestID,
		Operation:   op,
		Importance:  op.Importance,
		Deadline:    in.Received.Add(budget(in, op)),
		Ledger:      retry.New(uint32(op.ExtraAttempts)),
		Patience:    in.Budget,
		Fanout:      1,
		Fingerprint: poison.Fingerprint(op.Service, in.HTTP.Origin, in.HTTP.Method+in.HTTP.Target, in.Body),
		Header:      in.Header,
		Body:        in.Body,
		HTTP:        in.HTTP,
	}
}

// forwardRoot takes a request that enters the system here.
func (n *Node) forwardRoot(ctx context.Context, p dispatch.Params) call.Outcome {
	defer n.dispatch.CloseLedger(p.Ledger)
	p.Entering = true
	p.Reach = n.routing.reach(p.Operation)
	out := n.dispatch.Call(ctx, p)
	if out.Verdict == verdict.Ran {
		n.routing.learn(time.Now(), p.Operation, call.Names(out.Used))
	}
	return out
}

// forwardCall makes a call for a request that runs at the backend server. It has
// no more time than that request and ranks like the one that it was made for.
//
// It does not end when the request is cancelled: the backend server is told of
// that, and closes the connections of its calls if it gives up. An answer from
// here in place of one that is on its way would be a false failure for a
// backend server that goes on.
func (n *Node) forwardCall(ctx context.Context, parent *run, p dispatch.Params) call.Outcome {
	defer n.dispatch.CloseLedger(p.Ledger)
	req := &parent.task.Request
	p.Root = req.RootID()
	p.Importance = req.Importance
	p.Bars = req.Bars
	p.Depth = req.Depth + 1
	p.Admitted = true
	p.Repeat = req.Repeat
	if parent.task.Deadline.Before(p.Deadline) {
		p.Deadline = parent.task.Deadline
	}
	out := n.callBeside(ctx, parent, p)
	if n.routing.learnOwn(time.Now(), p.Operation.Service, call.Names(out.Used)) {
		n.dispatch.PassOn(n.routing.below(n.cfg.Service))
	}
	return out
}

// budget is the time that a request has: its caller's, but no more than the
// operation allows.
func budget(in entry.Incoming, op *graph.Operation) time.Duration {
	if in.Budget > 0 {
		return min(op.Deadline, in.Budget)
	}
	return op.Deadline
}
