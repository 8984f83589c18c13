package outage

// WaitsConfig configures a Waits. Shares are fractions of the slots of the node's backend
// server.
type WaitsConfig struct {
	// NodeShare bounds the slots of all runs that wait, ServiceShare those of the runs that
	// wait for one service that has been lost for long. The other slots keep serving
	// requests that don't need it.
	NodeShare, ServiceShare float64
}

// DefaultWaitsConfig returns the settings of a node.
func DefaultWaitsConfig() WaitsConfig {
	return WaitsConfig{NodeShare: 0.5, ServiceShare: 0.25}
}

// Waits bounds the runs that wait for a lost service while they hold a slot. The more
// important ones wait.
type Waits struct {
	cfg     WaitsConfig
	waiting []*Wait
	// givenUp counts the waits that were not begun or were ended for a more important one.
	givenUp uint64
}

// Wait is a call of a run that waits for a service.
type Wait struct {
	service  string
	run      uint64
	priority uint16
	// over is closed when a more important run takes the place.
	over chan struct{}
}

// Over is closed when a more important run has taken the place of this one, which must give up.
func (w *Wait) Over() <-chan struct{} { return w.over }

// NewWaits returns a Waits without runs.
func NewWaits(cfg WaitsConfig) *Waits { return &Waits{cfg: cfg} }

// Waiter is a run that may wait for a service.
type Waiter struct {
	Service string
	// Run names the run among those of the node, never zero but for one that has not begun.
	Run      uint64
	Priority uint16
	// Slots is the number of slots that the node fills, zero if it starts no further runs and
	// so needs none.
	Slots int
	// Long says that the service has been lost for long.
	Long bool
}

// Begin begins a wait of a run. It returns nil if the run may not wait. The caller must end the
// wait with End, also if it is over.
func (w *Waits) Begin(s Waiter) *Wait {
	if s.Slots > 0 && !w.makeRoom(s) {
		w.givenUp++
		return nil
	}
	wait := &Wait{service: s.Service, run: s.Run, priority: s.Priority, over: make(chan struct{})}
	w.waiting = append(w.waiting, wait)
	return wait
}

// End ends a wait.
func (w *Waits) End(wait *Wait) {
	for i, other := range w.waiting {
		if other == wait {
			w.waiting = append(w.waiting[:i], w.waiting[i+1:]...)
			return
		}
	}
}

// HasRoom reports whether a run may wait.
func (w *Waits) HasRoom(s Waiter) bool {
	if s.Slots == 0 {
		return true
	}
	for _, b := range w.bounds(s) {
		if _, ok := w.roomWithin(s, b); !ok {
			return false
		}
	}
	return true
}

// makeRoom reports whether a run may wait, after less important ones were ended for it.
func (w *Waits) makeRoom(s Waiter) bool {
	for _, b := range w.bounds(s) {
		least, ok := w.roomWithin(s, b)
		if !ok {
			return false
		}
		if least != 0 {
			w.endRun(least)
		}
	}
	return true
}

// bound is a bound on the number of waiting runs, of those for one service if it is not empty.
type bound struct {
	service string
	runs    int
}

// bounds returns the bounds that apply to a run.
func (w *Waits) bounds(s Waiter) []bound {
	node := bound{runs: max(1, int(w.cfg.NodeShare*float64(s.Slots)))}
	if !s.Long {
		return []bound{node}
	}
	return []bound{{service: s.Service, runs: max(1, int(w.cfg.ServiceShare*float64(s.Slots)))}, node}
}

// roomWithin reports whether a run may wait within a bound. If another run must end for it,
// least is that run, otherwise zero.
func (w *Waits) roomWithin(s Waiter, b bound) (least uint64, ok bool) {
	priorities := make(map[uint64]uint16) // the highest of each run
	for _, other := range w.waiting {
		if b.service == "" || other.service == b.service {
			priorities[other.run] = w.priorityOf(other.run)
		}
	}
	if _, waits := priorities[s.Run]; waits || len(priorities) < b.runs {
		return 0, true // a run holds one slot, whatever its number of calls
	}
	least = leastImportant(priorities)
	if priorities[least] >= s.Priority {
		return 0, false
	}
	return least, true
}

// priorityOf returns the highest priority of the waits of a run.
func (w *Waits) priorityOf(run uint64) uint16 {
	var priority uint16
	for _, other := range w.waiting {
		if other.run == run {
			priority = max(priority, other.priority)
		}
	}
	return priority
}

// leastImportant returns the run with the least priority, of equal ones the latest.
func leastImportant(priorities map[uint64]uint16) uint64 {
	var least uint64
	found := false
	for run, priority := range priorities {
		if !found || priority < priorities[least] || priority == priorities[least] && run > least {
			least, found = run, true
		}
	}
	return least
}

// endRun ends all waits of a run.
func (w *Waits) endRun(run uint64) {
	var kept []*Wait
	for _, other := range w.waiting {
		if other.run != run {
			kept = append(kept, other)
			continue
		}
		w.givenUp++
		close(other.over)
	}
	w.waiting = kept
}

// Len returns the number of calls that wait.
func (w *Waits) Len() int { return len(w.waiting) }

// GivenUp returns how many waits were not begun, or ended for a more important one.
func (w *Waits) GivenUp() uint64 { return w.givenUp }
