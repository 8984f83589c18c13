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

// sharedBudget is the key of the budget shared by services beyond Config.MaxServiceBudgets.
const sharedBudget = ""

// ForService returns the budget for calls to a service.
func (b *Budgets) ForService(now time.Time, service string) *Budget {
	if budget, ok := b.byService[service]; ok {
		return budget
	}
	if len(b.byService) >= b.cfg.MaxServiceBudgets && service != sharedBudget {
		return b.ForService(now, sharedBudget)
	}
	budget := NewBudget(b.cfg, now)
	budget.cfg.Burst = b.burst
	b.byService[service] = budget
	return budget
}

// Floor returns the lowest priority that gets an extra attempt for a call to a service now, zero
// if the service was not called.
func (b *Budgets) Floor(now time.Time, service string) uint16 {
	budget, ok := b.byService[service]
	if !ok {
		return 0
	}
	return budget.Floor(now)
}

// SetNodes sets the number of nodes. Above Config.FullBurstNodes the burst of each node shrinks, so
// that the sum over all nodes stays the same.
func (b *Budgets) SetNodes(n int) {
	if b.cfg.FullBurstNodes == 0 {
		return
	}
	b.burst = b.cfg.Burst * float64(b.cfg.FullBurstNodes) / float64(max(n, b.cfg.FullBurstNodes))
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

// Usage is what was spent for a service in a period.
type Usage struct {
	Service string
	// Calls, Allowed, Charged and Denied are the increases of the fields of BudgetState.
	Calls, Allowed, Charged, Denied uint64
}

// UsageBetween returns the usage between two dumps, for services that were denied extra attempts
// in this time.
func UsageBetween(earlier, later map[string]BudgetState) []Usage {
	var out []Usage
	for service, s := range later {
		before := earlier[service]
		if s.Denied == before.Denied {
			continue
		}
		out = append(out, Usage{
			Service: service, Calls: s.Calls - before.Calls, Allowed: s.Allowed - before.Allowed,
			Charged: s.Charged - before.Charged, Denied: s.Denied - before.Denied,
		})
	}
	return out
}
