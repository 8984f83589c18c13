package dispatch

import (
	"sort"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/retry"
)

// Dump is the state of a Dispatcher.
type Dump struct {
	Waiting int    `json:"waiting"`
	Counts  Counts `json:"counts"`
	// Budgets are the retry budgets by service.
	Budgets map[string]retry.BudgetState `json:"retry_budgets"`
	// Entering are the levels for requests that enter here, Own those for calls of the
	// node's backend server.
	Entering []admission.LevelState `json:"levels_entering"`
	Own      []admission.LevelState `json:"levels_own_calls"`
	Targets  []TargetDump           `json:"targets"`
	// Notices are the limits and leavings of backend servers that this node has heard.
	Notices []NoticeState `json:"backend_notices"`
	// Outages are the services and operations that can't be reached from here.
	Outages OutageDump `json:"outages"`
}

// TargetDump is the state of the picker of one called service.
type TargetDump struct {
	Service string        `json:"service"`
	Picker  balancer.Dump `json:"picker"`
}

// Dump returns the state at the time now.
func (d *Dispatcher) Dump(now time.Time) Dump {
	outages := d.Outages(now)
	d.mu.Lock()
	defer d.mu.Unlock()
	dump := Dump{
		Waiting:  len(d.pending),
		Counts:   d.counts,
		Budgets:  d.budgets.Dump(),
		Entering: d.ingressLevels.Dump(now),
		Own:      d.backendLevels.Dump(now),
		Notices:  d.notices.dump(),
		Outages:  outages,
	}
	for name, pk := range d.pickers {
		dump.Targets = append(dump.Targets, TargetDump{Service: name, Picker: pk.balancer.Dump(now)})
	}
	sort.Slice(dump.Targets, func(i, j int) bool { return dump.Targets[i].Service < dump.Targets[j].Service })
	return dump
}

// Counts returns the totals since the node started.
func (d *Dispatcher) Counts() Counts {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.counts
}

// RetryUsage returns the use of the retry budgets since its last call, for services that were
// denied extra attempts in this time.
func (d *Dispatcher) RetryUsage() []retry.Usage {
	d.mu.Lock()
	defer d.mu.Unlock()
	earlier := d.budgetsReported
	d.budgetsReported = d.budgets.Dump()
	return retry.UsageBetween(earlier, d.budgetsReported)
}
