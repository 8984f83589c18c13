package dispatch

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/verdict"
)

// admit records the call in the retry budget and refuses it, before any work is done, if a
// service that it would reach doesn't admit it, or if it counts as an extra attempt and none is
// left. It adds the admitted levels to p.AdmittedLevels.
func (d *Dispatcher) admit(p *Params) *verdict.Error {
	if err := d.refuseIfLost(p); err != nil {
		return err
	}
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Calls++
	if err := d.recordInBudget(now, p); err != nil {
		return err
	}
	if d.cfg.NoAdmission || p.Admitted {
		return nil
	}
	entry := d.levels(*p).Admit(now, p.reach(), p.priority())
	p.AdmittedLevels = call.HighestLevels(p.AdmittedLevels, entry.AdmittedLevels)
	if entry.Admitted() {
		return d.deferIfUnhealthy(now, *p)
	}
	d.counts.Refused++
	return verdict.Refuse(verdict.Shed, "%s does not admit priority %d", entry.BlockedBy, p.priority()).WithRetryAfter(entry.RetryAfter)
}

// recordInBudget records the first attempt of a call in the retry budget. It refuses a call of a
// repeated run if no extra attempt is left for it. d.mu must be held.
func (d *Dispatcher) recordInBudget(now time.Time, p *Params) *verdict.Error {
	budget := d.budgets.ForService(now, p.Operation.Service)
	if !p.Repeat {
		if !p.CallerResend {
			budget.RecordCall(now)
		}
		return nil
	}
	if budget.Charge(now) {
		return nil
	}
	d.counts.OverBudget++
	err := verdict.Refuse(verdict.Shed, "no extra attempts left at %s for calls of repeated runs", p.Operation.Service)
	return err.WithRetryAfter(d.cfg.NoBackendRetryAfter)
}

// refuseIfLost refuses a request whose service is lost. A call of a run waits instead, and a
// request whose key names a node asks that node.
func (d *Dispatcher) refuseIfLost(p *Params) *verdict.Error {
	if p.ForRun || !p.KeyHolder.IsZero() {
		return nil
	}
	service := outage.Target{Service: p.Operation.Service}
	return d.outages.refuse(verdict.NoBackend, service, outage.Request{Remaining: p.CallerDeadline})
}

// deferIfUnhealthy refuses an entering request whose route fails at present, and asks the
// caller to retry later. d.mu must be held.
func (d *Dispatcher) deferIfUnhealthy(now time.Time, p Params) *verdict.Error {
	if !p.FromCaller {
		return nil
	}
	after, deferred := d.routeHealth.Defer(now, operationKey(p), p.CallerDeadline)
	if !deferred {
		return nil
	}
	d.counts.Deferred++
	return verdict.Refuse(verdict.Shed, "most requests of this route fail at present").WithRetryAfter(after)
}

// recordOutcome records the outcome of an entering request for the health of its route.
// Only requests that made calls count: deferring doesn't help when the backend server of
// the route itself fails. Those that lack a lost service are refused while it is lost.
func (d *Dispatcher) recordOutcome(p Params, out call.Outcome) {
	if !p.FromCaller || out.LacksDependency() || out.Verdict == verdict.NotRun || len(out.SlotTimeUsed) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.routeHealth.RecordOutcome(now, operationKey(p), out.Succeeded())
}
