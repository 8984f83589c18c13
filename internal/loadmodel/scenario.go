package loadmodel

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Service is one service with one backend server.
type Service struct {
	Name string
	// Slots is how many calls the backend server works on at once.
	Slots int
	// Backlog is how many more it queues inside before it refuses.
	Backlog int
	// Work is the mean time that a call takes by itself.
	Work time.Duration
}

// Operation is one kind of request.
type Operation struct {
	Name       string
	Importance importance.Importance
	// Share of all requests.
	Share float64
	// Path is the chain of services that it calls, each from the one
	// before, as indices into Scenario.Services.
	Path []int
	// Cost multiplies the work at each service.
	Cost     float64
	Deadline time.Duration
}

// Phase is a time with a steady load.
type Phase struct {
	Name string
	For  time.Duration
	// Load as a multiple of what the slots allow when nothing is slow.
	Load float64
	// Slow multiplies the work of one service; no effect if it is zero.
	Slow        float64
	SlowService int
	// Cold makes the slow-down fade out over the phase, as at a cold start.
	Cold bool
}

// Scenario is one run.
type Scenario struct {
	Name       string
	Services   []Service
	Operations []Operation
	// Phases: the first is the time before the trigger, the last the time
	// after it.
	Phases []Phase
	// Spread is the coefficient of variation of the work.
	Spread float64
	// Resends is how often a caller sends a failed request again.
	Resends int
	// Heed makes callers wait as long as they are told before they resend.
	Heed bool
	// Delay is the one-way network delay between nodes.
	Delay time.Duration
	Seed  uint64
}

// usage is the mean time for which a request of the operation holds a slot of
// each service, without any waiting: a caller's slot is held while its call is
// served further down.
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

// capacity is the rate of requests of the mix that just fills the scarcest
// service.
func (sc *Scenario) capacity() float64 {
	need := make([]float64, len(sc.Services))
	for i := range sc.Operations {
		op := &sc.Operations[i]
		for s, t := range sc.usage(op, noSlow) {
			need[s] += op.Share * t
		}
	}
	rate := 0.0
	for s, n := range need {
		if r := float64(sc.Services[s].Slots) / n; n > 0 && (rate == 0 || r < rate) {
			rate = r
		}
	}
	return rate
}

// best is the rate of whole requests by importance that the slots allow in a
// phase when they go to the most important work first and none is wasted.
// Operations of one importance are let in by equal shares until a service that
// they need is full.
func (sc *Scenario) best(p Phase) [importance.Count]float64 {
	if !p.Cold {
		return sc.bestAt(p, p.Slow)
	}
	const steps = 50
	var out [importance.Count]float64
	for i := range steps {
		left := 1 - (float64(i)+0.5)/steps
		for imp, rate := range sc.bestAt(p, 1+(p.Slow-1)*left) {
			out[imp] += rate / steps
		}
	}
	return out
}

func (sc *Scenario) bestAt(p Phase, factor float64) [importance.Count]float64 {
	var out [importance.Count]float64
	slow := func(s int) float64 {
		if factor > 0 && s == p.SlowService {
			return factor
		}
		return 1
	}
	left := make([]float64, len(sc.Services))
	for s := range left {
		left[s] = float64(sc.Services[s].Slots)
	}
	rate := p.Load * sc.capacity()
	for imp := importance.Count - 1; imp >= 0; imp-- {
		out[imp] = sc.fill(importance.Importance(imp), rate, left, slow)
	}
	return out
}

func (sc *Scenario) fill(imp importance.Importance, rate float64, left []float64, slow func(int) float64) float64 {
	const steps = 1000
	full := make([]bool, len(left))
	total := 0.0
	for range steps {
		for i := range sc.Operations {
			op := &sc.Operations[i]
			if op.Importance != imp {
				continue
			}
			part := rate * op.Share / steps
			total += sc.fillStep(op, part, left, full, slow)
		}
	}
	return total
}

func (sc *Scenario) fillStep(op *Operation, part float64, left []float64, full []bool, slow func(int) float64) float64 {
	use := sc.usage(op, slow)
	for s, t := range use {
		if t > 0 && (full[s] || left[s] < part*t) {
			full[s] = true
			return 0
		}
	}
	for s, t := range use {
		left[s] -= part * t
	}
	return part
}

// below names the services that a service calls, directly or not.
func (sc *Scenario) below(s int) []string {
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
