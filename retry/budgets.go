package retry

import "time"

// Budgets are the budgets of one node, one for each service that it calls. With
// one for all, the calls to services that are well would earn the extra
// attempts that press the one that is not. It is not safe for concurrent use.
type Budgets struct {
	cfg Config
	// burst is that of each budget among the nodes that are there.
	burst float64
	of    map[string]*Budget
}

// NewBudgets returns full budgets.
func NewBudgets(cfg Config) *Budgets {
	return &Budgets{cfg: cfg, burst: cfg.Burst, of: make(map[string]*Budget)}
}

// sharedBudget is the key of what services beyond the bound share.
const sharedBudget = ""

// Of returns the budget for calls to a service.
func (b *Budgets) Of(now time.Time, service string) *Budget {
	if one, ok := b.of[service]; ok {
		return one
	}
	if len(b.of) >= b.cfg.Services && service != sharedBudget {
		return b.Of(now, sharedBudget)
	}
	one := NewBudget(b.cfg, now)
	one.cfg.Burst = b.burst
	b.of[service] = one
	return one
}

// SetNodes says how many nodes there are. What is beyond the share of the calls is
// bounded for all of them together: were each of 57 nodes to take a 16th of it, they
// would make three times as many extra attempts at a service with few calls.
func (b *Budgets) SetNodes(n int) {
	if b.cfg.Nodes == 0 {
		return
	}
	b.burst = b.cfg.Burst * float64(b.cfg.Nodes) / float64(max(n, b.cfg.Nodes))
	for _, one := range b.of {
		one.cfg.Burst = b.burst
	}
}

// Dump returns the state of all, by service.
func (b *Budgets) Dump() map[string]BudgetState {
	out := make(map[string]BudgetState, len(b.of))
	for service, one := range b.of {
		out[service] = one.Dump()
	}
	return out
}
