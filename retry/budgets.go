package retry

import "time"

// Budgets are the budgets of one node, one for each service that it calls. With
// one for all, the calls to services that are well would earn the extra
// attempts that press the one that is not. It is not safe for concurrent use.
type Budgets struct {
	cfg Config
	of  map[string]*Budget
}

// NewBudgets returns full budgets.
func NewBudgets(cfg Config) *Budgets {
	return &Budgets{cfg: cfg, of: make(map[string]*Budget)}
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
	b.of[service] = one
	return one
}

// Dump returns the state of all, by service.
func (b *Budgets) Dump() map[string]BudgetState {
	out := make(map[string]BudgetState, len(b.of))
	for service, one := range b.of {
		out[service] = one.Dump()
	}
	return out
}
