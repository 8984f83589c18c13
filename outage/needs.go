package outage

import "time"

// Call tells what became of the calls of one run to a target. If it made several, one that
// succeeded counts.
type Call struct {
	Target    Target
	Succeeded bool
}

// Add adds the result of a call to a run's list.
func Add(calls []Call, target Target, succeeded bool) []Call {
	for i := range calls {
		if calls[i].Target == target {
			calls[i].Succeeded = calls[i].Succeeded || succeeded
			return calls
		}
	}
	return append(calls, Call{Target: target, Succeeded: succeeded})
}

// NeedsConfig configures a Needs.
type NeedsConfig struct {
	// MinRuns is the number of successful runs after which the calls of an operation are
	// known.
	MinRuns int
	// MinShare is the least share of successful runs that make a call for the call to be
	// needed. A refusal of the rest would be wrong.
	MinShare float64
	// MinCalledShare is the share below which a call is no longer made.
	MinCalledShare float64
	// Weight is the inverse weight of a new run in the share.
	Weight int
	// ToleratedTTL is how long a call is not needed after a run has succeeded without it.
	ToleratedTTL time.Duration
	// Operations bounds the number of operations, Calls the number of calls of each.
	Operations, Calls int
}

// DefaultNeedsConfig returns the settings of a node.
func DefaultNeedsConfig() NeedsConfig {
	return NeedsConfig{
		MinRuns:        8,
		MinShare:       0.97,
		MinCalledShare: 0.01,
		Weight:         64,
		ToleratedTTL:   time.Minute,
		Operations:     4096, // as many routes as reach.Tracker knows
		Calls:          64,
	}
}

// Needs learns which calls the runs of each operation of this node are sure to make and can't
// do without. It learns from successful runs alone: one that fails may have ended before its
// other calls.
type Needs struct {
	cfg        NeedsConfig
	operations map[string]*operation
}

type operation struct {
	runs  int
	calls []knownCall
}

// knownCall is a call that a run of the operation has made. share is the recent share of
// successful runs that made it.
type knownCall struct {
	target      Target
	share       float64
	toleratedAt time.Time
}

// NewNeeds returns a Needs that knows no calls.
func NewNeeds(cfg NeedsConfig) *Needs {
	return &Needs{cfg: cfg, operations: make(map[string]*operation)}
}

// Record records the calls of a successful run of an operation.
func (n *Needs) Record(now time.Time, name string, calls []Call) {
	o := n.operations[name]
	if o == nil {
		if len(n.operations) >= n.cfg.Operations {
			return
		}
		o = &operation{}
		n.operations[name] = o
	}
	o.runs = min(o.runs+1, n.cfg.Weight)
	for i := range o.calls {
		o.calls[i].share -= o.calls[i].share / float64(o.runs)
	}
	for _, c := range calls {
		if known := o.call(c.Target, n.cfg.Calls); known != nil {
			known.record(now, c, o.runs)
		}
	}
}

// call returns the entry of a target, nil if there are too many.
func (o *operation) call(target Target, limit int) *knownCall {
	for i := range o.calls {
		if o.calls[i].target == target {
			return &o.calls[i]
		}
	}
	if len(o.calls) >= limit {
		return nil
	}
	o.calls = append(o.calls, knownCall{target: target})
	return &o.calls[len(o.calls)-1]
}

func (k *knownCall) record(now time.Time, c Call, runs int) {
	k.share += 1 / float64(runs)
	if !c.Succeeded {
		k.toleratedAt = now
	}
}

// Called returns the targets that recent successful runs of the operation have called.
func (n *Needs) Called(name string) []Target {
	o := n.operations[name]
	if o == nil {
		return nil
	}
	var called []Target
	for _, k := range o.calls {
		if k.share >= n.cfg.MinCalledShare {
			called = append(called, k.target)
		}
	}
	return called
}

// Of returns the targets that a run of the operation needs.
func (n *Needs) Of(now time.Time, name string) []Target {
	o := n.operations[name]
	if o == nil || o.runs < n.cfg.MinRuns {
		return nil
	}
	var needed []Target
	for _, k := range o.calls {
		tolerated := !k.toleratedAt.IsZero() && now.Sub(k.toleratedAt) <= n.cfg.ToleratedTTL
		if k.share >= n.cfg.MinShare && !tolerated {
			needed = append(needed, k.target)
		}
	}
	return needed
}
