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

// operation returns the operation that a call names; configured is false while
// the node has no graph. A call for a route carries the operation itself, since its
// sender may know a newer version of the routes.
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

// Forward sends a request that arrived by host and path to a backend server of the
// service that its route names. path is the path of the request's URL.
func (n *Node) Forward(ctx context.Context, in entry.Incoming, path string) call.Outcome {
	n.callerRequests.Add(1)
	defer n.callerRequests.Add(-1)
	out := n.forward(ctx, in, path)
	n.counts.Outcome(out.Verdict, out.Reason)
	return out
}

// observeLatencies records the latencies of a request that a backend server answered.
func (n *Node) observeLatencies(p dispatch.Params, received time.Time, out call.Outcome) {
	if out.Reason != verdict.None {
		return
	}
	whole := time.Since(received)
	n.counts.Latencies.Observe(p.Operation.Name, ops.HopTotal, whole)
	n.counts.Latencies.Observe(p.Operation.Name, ops.HopOverhead, whole-out.RanFor)
}

// forward finds the route of a request and makes the call along it.
func (n *Node) forward(ctx context.Context, in entry.Incoming, path string) call.Outcome {
	if n.closedToCallers(time.Now()) {
		return call.OutcomeOf(verdict.Refuse(verdict.Draining, "this node is leaving").WithRetryAfter(refuseRetryAfter))
	}
	table := n.routing.table()
	if table == nil {
		return call.OutcomeOf(verdict.Refuse(verdict.NoConfiguration, "this node has no routes yet").WithRetryAfter(refuseRetryAfter))
	}
	route, ok := table.Find(in.HTTP.Host, path)
	if !ok {
		return call.OutcomeOf(verdict.Refuse(verdict.UnknownOperation, "no route for %s%s in version %d", in.HTTP.Host, path, table.Version))
	}
	in.HTTP.Origin = n.cfg.Service
	if table.Workspaces == nil {
		in.Header = append(in.Header, in.Credentials...) // the node checks no keys, so the backend server may
	}
	// Calls of backend servers carry no key. A request with a key is a caller's, even if
	// it names a parent.
	if parent, ok := n.server.runOfRequest(in.Parent); ok && in.Parent != "" && in.WorkspaceKey == "" {
		p := n.routeParams(table, route, in)
		out := n.forwardCall(ctx, parent, p)
		n.observeLatencies(p, in.Received, out)
		return out
	}
	space, err := n.authorize(ctx, route, in.WorkspaceKey)
	if err != nil {
		n.noteRefused(in, table.Version, err)
		return call.OutcomeOf(err)
	}
	p := n.routeParams(table, route, in)
	out := n.forwardForWorkspace(ctx, route, space, p)
	n.observeLatencies(p, in.Received, out)
	return out
}

// forwardForWorkspace forwards a caller's request on behalf of a workspace, nil for none.
func (n *Node) forwardForWorkspace(ctx context.Context, route *routes.Route, space *workspace.Workspace, p dispatch.Params) call.Outcome {
	if space == nil {
		return n.forwardRoot(ctx, p)
	}
	use := quotaUse{node: n, workspace: space}
	p.Importance = route.ImportanceFor(space)
	p.Workspace = space.Name
	p.TakeQuota = use.takeToken
	out := n.forwardRoot(ctx, p)
	use.settle(out)
	return out
}

// routeParams returns the parameters of a call along a route.
func (n *Node) routeParams(table *routes.Table, route *routes.Route, in entry.Incoming) dispatch.Params {
	op := n.routing.pickShare(table, route).Operation
	return dispatch.Params{
		Version:        table.Version,
		RequestID:      in.RequestID,
		Operation:      op,
		Importance:     op.Importance,
		Deadline:       in.Received.Add(budget(in, op)),
		Ledger:         retry.NewLedger(uint32(op.ExtraAttempts)),
		CallerDeadline: in.Budget,
		Fanout:         1,
		Fingerprint:    contentFingerprint(op.Service, route, in),
		Header:         in.Header,
		Body:           in.Body,
		HTTP:           in.HTTP,
	}
}

// contentFingerprint identifies the content of a request by host and path for the guard against
// requests that crash backend servers. The service whose node received it is not part of the
// content: a backend server that crashes does so for any caller.
func contentFingerprint(service string, route *routes.Route, in entry.Incoming) uint64 {
	return poison.Fingerprint(service, route.Host, in.HTTP.Method+" "+in.HTTP.Target, in.Body)
}

// forwardRoot forwards a caller's request.
func (n *Node) forwardRoot(ctx context.Context, p dispatch.Params) call.Outcome {
	defer n.dispatch.CloseLedger(p.Ledger)
	p.FromCaller = true
	p.Reach = n.routing.servicesReached(p.Operation)
	out := n.dispatch.Call(ctx, p)
	if out.Verdict == verdict.Ran {
		n.routing.recordReach(time.Now(), p.Operation, call.SlotTimeServices(out.SlotTimeUsed))
	}
	return out
}

// forwardCall forwards a call that the backend server makes for the request that
// parent runs. The call has the request's importance and at most its deadline.
//
// It does not end when the request is cancelled: the backend server is notified of
// the cancellation and closes the connections of its calls if it stops. A backend
// server that continues would otherwise get a failure in place of a true reply.
func (n *Node) forwardCall(ctx context.Context, parent *run, p dispatch.Params) call.Outcome {
	defer n.dispatch.CloseLedger(p.Ledger)
	req := &parent.task.Request
	p.RootRequestID = req.RootID()
	p.Importance = req.Importance
	p.AdmittedLevels = req.AdmittedLevels
	p.Depth = req.Depth + 1
	p.Admitted = true
	if parent.task.Deadline.Before(p.Deadline) {
		p.Deadline = parent.task.Deadline
	}
	out := n.callForRun(ctx, parent, p)
	if n.routing.recordCallReach(time.Now(), p.Operation.Service, call.SlotTimeServices(out.SlotTimeUsed)) {
		n.dispatch.SetForwarded(n.routing.servicesCalled(n.cfg.Service))
	}
	return out
}

// budget returns the time that a request has: what its caller allows, but at most
// the deadline of the operation.
func budget(in entry.Incoming, op *graph.Operation) time.Duration {
	if in.Budget > 0 {
		return min(op.Deadline, in.Budget)
	}
	return op.Deadline
}
