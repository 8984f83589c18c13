package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/call"
)

// acquireRetry chooses a node for another attempt, stores it in next and takes the extra
// attempt, unless a reroute makes it free. It returns false, and takes nothing, if there is
// no node or no extra attempt.
func (d *Dispatcher) acquireRetry(ctx context.Context, p Params, a *attempts, r call.Reply, next *target, hopAttemptsLeft *int) bool {
	if ctx.Err() != nil {
		return false
	}
	to, ok := d.nextTarget(p, a, r)
	if !ok {
		return false
	}
	if !a.takeReroute(r) && !d.takeRetry(p, a, to, hopAttemptsLeft) {
		d.release(p, to)
		return false
	}
	*next = to
	return true
}

// takeRetry takes an extra attempt at a target from the ledger and the budget, and returns
// false if there is none, or none for the calls of its run. With Config.MaxReoffers, another
// attempt at a node that was already tried takes one from the budget alone, since the request
// reaches no further node.
func (d *Dispatcher) takeRetry(p Params, a *attempts, to target, hopAttemptsLeft *int) bool {
	if d.cfg.HopAttempts > 0 {
		*hopAttemptsLeft--
		return *hopAttemptsLeft >= 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	newTarget := d.cfg.MaxReoffers == 0 || !slices.Contains(a.tried, to.id)
	if newTarget && p.Ledger.Available() == 0 {
		return false
	}
	now := time.Now()
	floor := d.repeatFloors.at(now, p.target())
	if p.priority() < floor || !d.budgets.ForService(now, p.Operation.Service).TryTake(now, p.priority()) {
		d.counts.OverBudget++
		return false
	}
	if newTarget {
		p.Ledger.Spend()
	}
	d.counts.Retries++
	return true
}
