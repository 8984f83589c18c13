package node

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// refuseRetryAfter is the Retry-After of refusals for a transient state of the node,
// such as a missing configuration.
const refuseRetryAfter = time.Second

// Do implements entry.Doer for a caller's request.
func (n *Node) Do(ctx context.Context, in entry.Incoming) call.Outcome {
	n.callerRequests.Add(1)
	defer n.callerRequests.Add(-1)
	out := n.enter(ctx, in)
	n.counts.Outcome(out.Verdict, out.Reason)
	return out
}

// enter makes the call for a caller's request.
func (n *Node) enter(ctx context.Context, in entry.Incoming) call.Outcome {
	if n.draining.Load() {
		return call.OutcomeOf(verdict.Refuse(verdict.Draining, "this node is leaving; use another").WithRetryAfter(refuseRetryAfter))
	}
	op, err := n.lookup(in.Service, in.Operation)
	if err != nil {
		return call.OutcomeOf(err)
	}
	holder, err := keyHolder(in.Key)
	if err != nil {
		return call.OutcomeOf(err)
	}
	ledger := n.retryLedger(in, op)
	defer n.dispatch.CloseLedger(ledger)
	p := n.callParams(in, op)
	p.Ledger = ledger
	p.KeyHolder = holder
	p.FromCaller = true
	p.CallerResend = op.ExtraAttempts > 0 && ledger.Available() == 0
	return n.dispatch.Call(ctx, p)
}

// lookup returns an operation of the graph in force.
func (n *Node) lookup(service, operation string) (*graph.Operation, *verdict.Error) {
	g := n.graph.graph()
	if g == nil {
		return nil, verdict.Refuse(verdict.NoConfiguration, "this node has no configuration yet").WithRetryAfter(refuseRetryAfter)
	}
	if _, ok := g.Service(service); !ok {
		return nil, verdict.Refuse(verdict.UnknownService, "service %q is not declared", service)
	}
	op, ok := g.Operation(service, operation)
	if !ok {
		return nil, verdict.Refuse(verdict.UnknownOperation, "operation %q of %s is not declared", operation, service)
	}
	return op, nil
}

// Idempotent reports whether an operation is declared and may run again.
func (n *Node) Idempotent(service, operation string) bool {
	op, err := n.lookup(service, operation)
	return err == nil && op.Idempotent
}

// keyHolder returns the incarnation that an idempotency key names, zero for none.
func keyHolder(key string) (wire.NodeID, *verdict.Error) {
	if key == "" {
		return wire.NodeID{}, nil
	}
	info, err := once.ParseKey(key)
	if err != nil {
		return wire.NodeID{}, verdict.Refuse(verdict.KeyInvalid, "%v", err)
	}
	return info.Holder, nil
}

// retryLedger returns a ledger of the request's extra attempts. It is empty for a
// request that the caller has sent here before.
func (n *Node) retryLedger(in entry.Incoming, op *graph.Operation) *retry.Ledger {
	n.requestMu.Lock()
	defer n.requestMu.Unlock()
	return n.requests.Allowance(time.Now(), in.RequestID, uint32(op.ExtraAttempts))
}

// callParams returns the parameters of a call that has no parent.
func (n *Node) callParams(in entry.Incoming, op *graph.Operation) dispatch.Params {
	budget := op.Deadline
	if in.Budget > 0 {
		budget = min(budget, in.Budget)
	}
	return dispatch.Params{
		RequestID:   in.RequestID,
		Operation:   op,
		Importance:  lowerImportance(op.Importance, in.Importance),
		Deadline:    in.Received.Add(budget),
		Key:         in.Key,
		Fingerprint: poison.Fingerprint(in.Service, in.Operation, in.Query, in.Body),
		Fanout:      1,
		Header:      in.Header,
		Query:       in.Query,
		Body:        in.Body,
	}
}

// lowerImportance returns the lower of the declared importance and the one that the caller
// asked for, if any. A caller cannot raise the importance of its request.
func lowerImportance(declared importance.Importance, asked *importance.Importance) importance.Importance {
	if asked == nil {
		return declared
	}
	return min(declared, *asked)
}

// Call implements local.Doer. It makes a call on behalf of the run that token
// names.
func (n *Node) Call(ctx context.Context, token string, in entry.Incoming) call.Outcome {
	n.counts.LocalCalls.Add(1)
	r, ok := n.server.runByToken(token)
	if !ok {
		return call.OutcomeOf(verdict.Refuse(verdict.BadRequest, "no call with this token is running"))
	}
	op, err := n.lookup(in.Service, in.Operation)
	if err != nil {
		return call.OutcomeOf(err)
	}
	parent := r.task
	if !parent.Operation.DeclaresCall(in.Service, in.Operation) {
		return call.OutcomeOf(verdict.Refuse(verdict.UndeclaredCall, "%s.%s does not declare a call to %s.%s",
			parent.Request.Service, parent.Request.Operation, in.Service, in.Operation))
	}
	holder, err := keyHolder(in.Key)
	if err != nil {
		return call.OutcomeOf(err)
	}
	p := n.callParams(in, op)
	p.KeyHolder = holder
	p.RequestID = parent.Request.RequestID
	p.Importance = lowerImportance(parent.Request.Importance, in.Importance)
	if p.Importance == parent.Request.Importance {
		p.AdmittedLevels = parent.Request.AdmittedLevels
	}
	p.Depth = parent.Request.Depth + 1
	p.Fanout = len(parent.Operation.Calls)
	p.Ledger = r.ledger
	if parent.Deadline.Before(p.Deadline) {
		p.Deadline = parent.Deadline
	}
	return n.callUntilRunEnds(ctx, r, p)
}

// callUntilRunEnds makes a call on behalf of a run. The call is cancelled when the run or
// ctx ends.
func (n *Node) callUntilRunEnds(ctx context.Context, r *run, p dispatch.Params) call.Outcome {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(r.ctx, cancel)()
	return n.callForRun(ctx, r, p)
}

// callForRun makes a call on behalf of a run and records its result there. The call
// goes on if the run ends.
func (n *Node) callForRun(ctx context.Context, r *run, p dispatch.Params) call.Outcome {
	p.ForRun = true
	p.Repeat = r.task.Request.Repeat
	p.RunID = r.task.ID
	p.Slots = n.server.slotsToShare()
	n.server.countCall(time.Now(), r, 1)
	out := n.dispatch.Call(ctx, p)
	if out.Verdict != verdict.NotRun {
		n.server.noteCallMayHaveRun(r)
	}
	n.server.addCall(r, p.Operation, out)
	n.server.countCall(time.Now(), r, -1)
	return out
}
