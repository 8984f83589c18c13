package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
)

// Model is what the limit of a system is computed from. A slot is held for
// the service time and for the slowest of the calls, which are made at the
// same time; time on the way is left out, so the limit is an upper bound.
type Model struct {
	Graph *graph.Graph
	Mix   []Class
	// Slots of each service, over all of its backend servers.
	Slots map[string]float64
	// Time draws one service time of an operation.
	Time func(rng *rand.Rand, service, operation string) time.Duration
}

// samples for each class; the error of a mean is then about 1%.
const samples = 10000

const modelSeed = 1

// usage is the slot time in seconds that one request takes at each service.
type usage map[string]float64

func (m Model) usages() []usage {
	rng := rand.New(rand.NewPCG(modelSeed, 0))
	out := make([]usage, len(m.Mix))
	for i, c := range m.Mix {
		out[i] = make(usage)
		for range samples {
			m.sample(rng, c.Service, c.Operation, out[i])
		}
		for service := range out[i] {
			out[i][service] /= samples
		}
	}
	return out
}

func (m Model) sample(rng *rand.Rand, service, operation string, u usage) time.Duration {
	held := m.Time(rng, service, operation)
	var slowest time.Duration
	if o, ok := m.Graph.Operation(service, operation); ok {
		for _, ref := range o.Calls {
			slowest = max(slowest, m.sample(rng, ref.Service, ref.Operation, u))
		}
	}
	held += slowest
	u[service] += held.Seconds()
	return held
}

// Saturation returns the rate of arrivals at which the first service has all
// of its slots in use, and the name of that service.
func (m Model) Saturation() (rate float64, service string) {
	total := make(usage)
	for i, u := range m.usages() {
		for s, seconds := range u {
			total[s] += m.Mix[i].Share * seconds
		}
	}
	rate = math.Inf(1)
	for s, seconds := range total {
		if r := m.Slots[s] / seconds; r < rate {
			rate, service = r, s
		}
	}
	return rate, service
}

// Offered returns the rate of each class at a rate of all arrivals.
func (m Model) Offered(rate float64) []float64 {
	offered := make([]float64, len(m.Mix))
	for i, c := range m.Mix {
		offered[i] = rate * c.Share
	}
	return offered
}

// Best returns the largest rate of whole requests of each class that the slots
// allow when work goes strictly by importance: each level takes what it can
// use of what the levels above left. Within a level all classes get the same
// share of what is offered, until a service that they need is full.
func (m Model) Best(offered []float64) []float64 {
	left := make(usage, len(m.Slots))
	for s, slots := range m.Slots {
		left[s] = slots
	}
	usages := m.usages()
	best := make([]float64, len(m.Mix))
	for level := importance.Count - 1; level >= 0; level-- {
		m.fillLevel(importance.Importance(level), offered, usages, left, best)
	}
	return best
}

func (m Model) fillLevel(level importance.Importance, offered []float64, usages []usage, left usage, best []float64) {
	open := make(map[int]bool)
	for i, c := range m.Mix {
		if c.Importance == level && offered[i] > 0 {
			open[i] = true
		}
	}
	done := 0.0 // share of the offered load that the open classes have got
	for len(open) > 0 {
		step := 1 - done
		for service, seconds := range demand(open, offered, usages) {
			step = min(step, max(left[service], 0)/seconds)
		}
		grant(open, offered, step, usages, left, best)
		done += step
		if done >= 1 {
			return
		}
		closeFull(open, usages, left)
	}
}

// demand is the slot time in a second for all that is offered of the classes.
func demand(open map[int]bool, offered []float64, usages []usage) usage {
	d := make(usage)
	for i := range open {
		for service, seconds := range usages[i] {
			d[service] += offered[i] * seconds
		}
	}
	return d
}

func grant(open map[int]bool, offered []float64, share float64, usages []usage, left usage, best []float64) {
	for i := range open {
		granted := offered[i] * share
		best[i] += granted
		for service, seconds := range usages[i] {
			left[service] -= granted * seconds
		}
	}
}

// full is the slots left at which a service counts as full.
const full = 1e-6

func closeFull(open map[int]bool, usages []usage, left usage) {
	for i := range open {
		for service := range usages[i] {
			if left[service] <= full {
				delete(open, i)
			}
		}
	}
}
