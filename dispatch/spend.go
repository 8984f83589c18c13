package dispatch

import (
	"context"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/call"
)

// spend finds a node for another attempt and takes the attempt from the
// request and from the node's budget. Nothing is taken when there is no node.
func (d *Dispatcher) spend(ctx context.Context, p Params, a *attempts, r call.Reply, next *target, hop *int) bool {
	if ctx.Err() != nil {
		return false
	}
	to, ok := d.nextTarget(p, a, r)
	if !ok {
		return false
	}
	if !a.free(r) && !d.take(p, a, to, hop) {
		d.release(p, to)
		return false
	}
	*next = to
	return true
}

// take takes the extra attempt at a target from the bounds. Offering a call again
// to one that declined it is an attempt for the budget, but sends the request to
// no further backend server.
func (d *Dispatcher) take(p Params, a *attempts, to target, hop *int) bool {
	if d.cfg.HopAttempts > 0 {
		*hop--
		return *hop >= 0
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	further := d.cfg.Reoffers == 0 || !slices.Contains(a.tried, to.id)
	if further && p.Ledger.Left() == 0 {
		return false
	}
	now := time.Now()
	if !d.budgets.Of(now, p.Operation.Service).Allow(now, p.priority()) {
		d.counts.OverBudget++
		return false
	}
	if further {
		p.Ledger.Spend()
	}
	d.counts.Retries++
	return true
}
