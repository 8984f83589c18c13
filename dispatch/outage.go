package dispatch

import (
	"errors"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// outages is what the node knows of lost services, under a lock of its own: the callee's side
// asks for it while it holds the lock of its state.
type outages struct {
	members Members

	mu      sync.Mutex
	tracker *outage.Tracker
	waits   *outage.Waits
}

func newOutages(cfg Config, m Members) *outages {
	return &outages{
		members: m,
		tracker: outage.NewTracker(cfg.Outage, cfg.Seed),
		waits:   outage.NewWaits(cfg.Waits),
	}
}

// nodes returns the nodes that accept calls for a service.
func (o *outages) nodes(service string) []wire.NodeID {
	candidates, _ := o.members.Candidates(service)
	ids := make([]wire.NodeID, 0, len(candidates))
	for _, c := range candidates {
		ids = append(ids, c.ID)
	}
	return ids
}

// failed records an attempt that could not be sent to node, for reason err.
func (o *outages) failed(service string, node wire.NodeID, err error) {
	nodes := o.nodes(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.Failed(time.Now(), outage.Target{Service: service}, node, errors.Is(err, ErrEnded), nodes)
}

// noNode records that no node of a service accepts calls.
func (o *outages) noNode(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.NoNode(time.Now(), outage.Target{Service: service})
}

// answered records the reply of a node to an attempt.
func (o *outages) answered(service, operation string, r call.Reply) {
	if r.From.IsZero() {
		return
	}
	target := outage.Target{Service: service, Operation: operation}
	var nodes []wire.NodeID
	if r.Reason == verdict.DependencyLost {
		nodes = o.nodes(service)
	}
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	o.tracker.Reached(now, outage.Target{Service: service})
	switch {
	case r.Reason == verdict.DependencyLost:
		o.tracker.Failed(now, target, r.From, false, nodes)
	case r.Verdict == verdict.Ran && r.Reason == verdict.None && r.Status < call.MinServerError:
		o.tracker.Reached(now, target)
	}
}

// refuse returns the refusal of a new request that needs the targets, nil if none of them is
// lost.
func (o *outages) refuse(reason verdict.Reason, targets ...outage.Target) *verdict.Error {
	for _, target := range targets {
		if err := o.refuseTarget(reason, target); err != nil {
			return err
		}
	}
	return nil
}

func (o *outages) refuseTarget(reason verdict.Reason, target outage.Target) *verdict.Error {
	if target.Operation != "" {
		if err := o.refuseTarget(reason, outage.Target{Service: target.Service}); err != nil {
			return err
		}
	}
	if !o.mayBeLost(target) {
		return nil
	}
	nodes := o.nodes(target.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	after, refused := o.tracker.Refuse(time.Now(), target, nodes, o.waits.WaitsFor(target.Service))
	if !refused {
		return nil
	}
	return verdict.Refuse(reason, "%s can't be reached", target).WithRetryAfter(after)
}

// beginWait begins the wait of a call for its service, and returns nil if it may not wait.
func (o *outages) beginWait(p *Params) *outage.Wait {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waits.Begin(p.Operation.Service, p.RunID, p.priority(), p.Slots)
}

func (o *outages) endWait(w *outage.Wait) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.waits.End(w)
}

// mayBeLost spares a call of a service that is not lost the list of its nodes.
func (o *outages) mayBeLost(target outage.Target) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.MayBeLost(target)
}

// lost reports whether a service is lost.
func (o *outages) lost(service string) bool {
	target := outage.Target{Service: service}
	if !o.mayBeLost(target) {
		return false
	}
	nodes := o.nodes(service)
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Lost(time.Now(), target, nodes)
}

// lostError returns the error of a call that was not sent because its service is lost.
func (o *outages) lostError(service string) *verdict.Error {
	o.mu.Lock()
	defer o.mu.Unlock()
	after := o.tracker.RetryAfter(time.Now(), outage.Target{Service: service})
	return verdict.Refuse(verdict.ConnectionLost, "%s can't be reached", service).WithRetryAfter(after)
}

// ended reports whether all nodes of a service are known to have ended.
func (o *outages) ended(service string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.Ended(outage.Target{Service: service})
}

// Outages returns the state of lost services.
func (d *Dispatcher) Outages(now time.Time) OutageDump {
	o := d.outages
	o.mu.Lock()
	defer o.mu.Unlock()
	return OutageDump{
		Lost:    o.tracker.Dump(now),
		Counts:  o.tracker.Counts(),
		Waiting: o.waits.Len(),
		GivenUp: o.waits.GivenUp(),
	}
}

// RefuseFor returns the refusal of a request whose run needs the targets, nil unless one of
// them is lost.
func (d *Dispatcher) RefuseFor(targets []outage.Target) *verdict.Error {
	return d.outages.refuse(verdict.DependencyLost, targets...)
}

// OutageChanges returns the targets that became lost or came back since the last call.
func (d *Dispatcher) OutageChanges() []outage.Change {
	d.outages.mu.Lock()
	defer d.outages.mu.Unlock()
	return d.outages.tracker.TakeChanges()
}

// OutageDump is the state of lost services.
type OutageDump struct {
	Lost   []outage.LostState `json:"lost"`
	Counts outage.Counts      `json:"counts"`
	// Waiting is the number of calls of runs that wait for a service, GivenUp how many
	// did not wait, or no longer, because of the bounds.
	Waiting int    `json:"waiting"`
	GivenUp uint64 `json:"given_up"`
}
