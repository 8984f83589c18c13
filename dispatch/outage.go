package dispatch

import (
	"context"
	"errors"
	"slices"
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
	// probed are the services with a probe under way.
	probed map[string]bool
}

func newOutages(cfg Config, m Members) *outages {
	return &outages{
		members: m,
		tracker: outage.NewTracker(cfg.Outage, cfg.Seed),
		waits:   outage.NewWaits(cfg.Waits),
		probed:  make(map[string]bool),
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
	case call.Succeeded(r.Verdict, r.Reason, r.Status):
		o.tracker.Reached(now, target)
	}
}

// refuse returns the refusal of a request that needs a service or an operation, nil if it can be
// reached. A run can wait only for a service, whose return is noticed by Probe; that of an
// operation only by a request.
func (o *outages) refuse(reason verdict.Reason, target outage.Target, r outage.Request) *verdict.Error {
	if !o.mayBeLost(target) {
		return nil
	}
	service := target.Operation == ""
	nodes := o.nodes(target.Service)
	o.mu.Lock()
	defer o.mu.Unlock()
	now := time.Now()
	need := outage.Need{
		Idempotent: r.Idempotent,
		MayWait:    service && r.Runs && o.waits.HasRoom(o.waiter(now, target.Service, 0, r.Priority, r.Slots)),
		Noticed:    service,
	}
	if !o.tracker.Refuses(now, target, nodes, need) {
		return nil
	}
	return verdict.Refuse(reason, "%s can't be reached", target).WithRetryAfter(o.tracker.RetryAfter(now, target, r.Remaining))
}

// retryAfter returns the Retry-After for a caller whose request needs the target.
func (o *outages) retryAfter(target outage.Target, remaining time.Duration) time.Duration {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.tracker.RetryAfter(time.Now(), target, remaining)
}

// beginWait begins the wait of a call for its service, and returns nil if it may not wait.
func (o *outages) beginWait(p *Params) *outage.Wait {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.waits.Begin(o.waiter(time.Now(), p.Operation.Service, p.RunID, p.priority(), p.Slots))
}

// waiter returns a run that may wait for a service. The caller holds the lock.
func (o *outages) waiter(now time.Time, service string, run uint64, priority uint16, slots int) outage.Waiter {
	long := o.tracker.LostForLong(now, outage.Target{Service: service})
	return outage.Waiter{Service: service, Run: run, Priority: priority, Slots: slots, Long: long}
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
	after := o.retryAfter(outage.Target{Service: service}, 0)
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

// RefuseFor returns the refusal of a request whose run needs the operations, nil if they can be
// reached or waited for.
func (d *Dispatcher) RefuseFor(needed []outage.Target, r outage.Request) *verdict.Error {
	for _, operation := range needed {
		for _, target := range []outage.Target{{Service: operation.Service}, operation} {
			if err := d.outages.refuse(verdict.DependencyLost, target, r); err != nil {
				return err
			}
		}
	}
	return nil
}

// ProbeInterval is the time between two probes of a lost service.
const ProbeInterval = 100 * time.Millisecond

// ServicesToProbe returns the lost services without a probe under way. The caller must call
// Probe for each.
func (d *Dispatcher) ServicesToProbe() []string {
	o := d.outages
	o.mu.Lock()
	defer o.mu.Unlock()
	services := slices.DeleteFunc(o.tracker.LostServices(), func(name string) bool { return o.probed[name] })
	for _, name := range services {
		o.probed[name] = true
	}
	return services
}

// Probe opens a connection to a node of a lost service, so that no request must fail to notice
// its return.
func (d *Dispatcher) Probe(ctx context.Context, service string) {
	defer d.outages.endProbe(service)
	id, ok := d.Choose(service)
	if !ok {
		return
	}
	link, err := d.linker.Link(ctx, id)
	if err != nil {
		d.outages.failed(service, id, err)
		return
	}
	link.Release()
	d.outages.reached(service)
}

func (o *outages) endProbe(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	delete(o.probed, service)
}

// reached records that a node of the service can be reached.
func (o *outages) reached(service string) {
	o.mu.Lock()
	defer o.mu.Unlock()
	o.tracker.Reached(time.Now(), outage.Target{Service: service})
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
