package loadmodel

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Service is one service with one backend server.
type Service struct {
	Name string
	// Slots is the number of calls that the backend server runs at once.
	Slots int
	// Backlog is the number of further calls that it queues before it refuses calls.
	Backlog int
	// Work is the mean time of a call without the calls below it.
	Work time.Duration
}

// Operation is one kind of request.
type Operation struct {
	Name       string
	Importance importance.Importance
	// Share is the share of all requests.
	Share float64
	// Path is the chain of services that the operation calls, as indices into
	// Scenario.Services.
	Path []int
	// Cost multiplies the work at each service.
	Cost     float64
	Deadline time.Duration
}

// Phase is a period with a constant load.
type Phase struct {
	Name     string
	Duration time.Duration
	// Load is a multiple of the capacity without slowdowns.
	Load float64
	// SlowFactor multiplies the work of SlowService. Zero means no slowdown.
	SlowFactor  float64
	SlowService int
	// Cold makes the slowdown decrease to none over the phase, as after a cold start.
	Cold bool
}

// Scenario is the input of one run.
type Scenario struct {
	Name       string
	Services   []Service
	Operations []Operation
	// Phases starts with the phase before the overload and ends with the one after it.
	Phases []Phase
	// Spread is the coefficient of variation of the work.
	Spread float64
	// Resends is how often a caller resends a failed request at most.
	Resends int
	// ObeyRetryAfter makes callers obey Retry-After.
	ObeyRetryAfter bool
	// Delay is the one-way network delay between nodes.
	Delay time.Duration
	Seed  uint64
}

// usage returns the mean time, in seconds, that a request of the operation holds a slot of
// each service without waiting. A slot is held during the calls below.
func (sc *Scenario) usage(op *Operation, slow func(service int) float64) []float64 {
	use := make([]float64, len(sc.Services))
	below := 0.0
	for i := len(op.Path) - 1; i >= 0; i-- {
		s := op.Path[i]
		own := sc.Services[s].Work.Seconds() * op.Cost * slow(s)
		if i < len(op.Path)-1 {
			below += 2 * sc.Delay.Seconds()
		}
		below += own
		use[s] += below
	}
	return use
}

func noSlow(int) float64 { return 1 }

// capacity returns the rate of requests per second that fills the bottleneck service.
func (sc *Scenario) capacity() float64 {
	slotSeconds := make([]float64, len(sc.Services))
	for i := range sc.Operations {
		op := &sc.Operations[i]
		for s, t := range sc.usage(op, noSlow) {
			slotSeconds[s] += op.Share * t
		}
	}
	rate := 0.0
	for s, n := range slotSeconds {
		if r := float64(sc.Services[s].Slots) / n; n > 0 && (rate == 0 || r < rate) {
			rate = r
		}
	}
	return rate
}

// possibleRates returns the highest rates of whole requests by importance that the slots
// allow in a phase: the most important work comes first, and no work is wasted. Operations
// of one importance get equal shares until a service that they need is full.
func (sc *Scenario) possibleRates(p Phase) [importance.Count]float64 {
	if !p.Cold {
		return sc.possibleRatesAt(p, p.SlowFactor)
	}
	const steps = 50
	var out [importance.Count]float64
	for i := range steps {
		remaining := 1 - (float64(i)+0.5)/steps
		for imp, rate := range sc.possibleRatesAt(p, 1+(p.SlowFactor-1)*remaining) {
			out[imp] += rate / steps
		}
	}
	return out
}

// possibleRatesAt returns the possible rates with a constant slowdown.
func (sc *Scenario) possibleRatesAt(p Phase, factor float64) [importance.Count]float64 {
	var out [importance.Count]float64
	slow := func(s int) float64 {
		if factor > 0 && s == p.SlowService {
			return factor
		}
		return 1
	}
	free := make([]float64, len(sc.Services))
	for s := range free {
		free[s] = float64(sc.Services[s].Slots)
	}
	rate := p.Load * sc.capacity()
	for imp := importance.Count - 1; imp >= 0; imp-- {
		out[imp] = sc.fill(importance.Importance(imp), rate, free, slow)
	}
	return out
}

// fill assigns free slots to the requests of one importance in small equal steps. It returns
// their rate, and reduces free.
func (sc *Scenario) fill(imp importance.Importance, rate float64, free []float64, slow func(int) float64) float64 {
	const steps = 1000
	full := make([]bool, len(free))
	total := 0.0
	for range steps {
		for i := range sc.Operations {
			op := &sc.Operations[i]
			if op.Importance != imp {
				continue
			}
			part := rate * op.Share / steps
			total += sc.fillStep(op, part, free, full, slow)
		}
	}
	return total
}

// fillStep assigns free slots to one step of an operation. It returns zero if a service on
// the path is full.
func (sc *Scenario) fillStep(op *Operation, part float64, free []float64, full []bool, slow func(int) float64) float64 {
	use := sc.usage(op, slow)
	for s, t := range use {
		if t > 0 && (full[s] || free[s] < part*t) {
			full[s] = true
			return 0
		}
	}
	for s, t := range use {
		free[s] -= part * t
	}
	return part
}

// servicesBelow returns the names of the services that a service calls directly or
// indirectly.
func (sc *Scenario) servicesBelow(s int) []string {
	var names []string
	for _, op := range sc.Operations {
		at := slices.Index(op.Path, s)
		for _, t := range op.Path[at+1:] {
			if name := sc.Services[t].Name; at >= 0 && !slices.Contains(names, name) {
				names = append(names, name)
			}
		}
	}
	return names
}
