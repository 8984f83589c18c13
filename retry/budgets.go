package retry

import "time"

// Budgets holds one budget for each service that the node calls. With a shared budget,
// calls to healthy services would earn extra attempts that overload a failing one. It is
// not safe for concurrent use.
type Budgets struct {
	cfg Config
	// burst is Config.Burst scaled to the number of nodes.
	burst     float64
	byService map[string]*Budget
}

// NewBudgets returns an empty set; each budget is full when it is created.
func NewBudgets(cfg Config) *Budgets {
	return &Budgets{cfg: cfg, burst: cfg.Burst, byService: make(map[string]*Budget)}
}

// sharedBudget is the key of the budget shared by services beyond Config.Services.
const sharedBudget = ""

// Of returns the budget for calls to a service.
func (b *Budgets) Of(now time.Time, service string) *Budget {
	if budget, ok := b.byService[service]; ok {
		return budget
	}
	if len(b.byService) >= b.cfg.Services && service != sharedBudget {
		return b.Of(now, sharedBudget)
	}
	budget := NewBudget(b.cfg, now)
	budget.cfg.Burst = b.burst
	b.byService[service] = budget
	return budget
}

// SetNodes sets the number of nodes. Above Config.Nodes the burst of each node shrinks, so
// that the sum over all nodes stays the same.
func (b *Budgets) SetNodes(n int) {
	if b.cfg.Nodes == 0 {
		return
	}
	b.burst = b.cfg.Burst * float64(b.cfg.Nodes) / float64(max(n, b.cfg.Nodes))
	for _, budget := range b.byService {
		budget.cfg.Burst = b.burst
	}
}

// Dump returns the states of all budgets by service.
func (b *Budgets) Dump() map[string]BudgetState {
	out := make(map[string]BudgetState, len(b.byService))
	for service, budget := range b.byService {
		out[service] = budget.Dump()
	}
	return out
}
