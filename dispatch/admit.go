package dispatch

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

// admit refuses a call before any work is spent on it, if a service that it
// would reach does not admit it.
func (d *Dispatcher) admit(p *Params) *verdict.Error {
	now := time.Now()
	d.mu.Lock()
	defer d.mu.Unlock()
	d.counts.Calls++
	switch budget := d.budgets.Of(now, p.Operation.Service); {
	case p.Repeat:
		budget.Charge(now)
	case !p.Resend:
		budget.Call(now)
	}
	if d.cfg.NoAdmission || p.Admitted {
		return nil
	}
	entry := d.levels(*p).Admit(now, p.reach(), p.priority())
	p.Bars = call.HighestLevels(p.Bars, entry.Bars)
	if entry.Admitted() {
		return d.outlookFor(now, *p)
	}
	d.counts.Refused++
	return verdict.Refuse(verdict.Shed, "%s does not admit priority %d", entry.BlockedBy, p.priority()).After(entry.RetryAfter)
}

// outlookFor defers a request that enters here while those of its route fail. The
// caller of this holds the lock.
func (d *Dispatcher) outlookFor(now time.Time, p Params) *verdict.Error {
	if !p.Entering {
		return nil
	}
	after, deferred := d.outlook.Defer(now, usualKey(p), p.Patience)
	if !deferred {
		return nil
	}
	d.counts.Deferred++
	return verdict.Refuse(verdict.Shed, "hardly any request of this kind ends well now").After(after)
}

// ended notes how a request that entered here ended. Only one that made calls tells
// of what lies below its service: a backend server that fails by itself is no
// reason to wait.
func (d *Dispatcher) ended(p Params, out call.Outcome) {
	if !p.Entering || out.Verdict == verdict.NotRun || len(out.Used) == 0 {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	now := time.Now()
	d.outlook.Ended(now, usualKey(p), out.Served())
}
