package load

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
)

// Model computes the capacity of a system. A request holds a slot for its service time
// and for the slowest of its calls, which run in parallel. Network time is ignored, so
// the results are upper bounds.
type Model struct {
	Graph *graph.Graph
	Mix   []Class
	// Slots is the number of slots of each service, over all of its backend servers.
	Slots map[string]float64
	// Time draws one service time of an operation.
	Time func(rng *rand.Rand, service, operation string) time.Duration
}

// samplesPerClass is the number of requests of each class that are sampled.
const samplesPerClass = 10000

const modelSeed = 1

// slotSeconds is an amount of slot time at each service, in seconds.
type slotSeconds map[string]float64

func (m Model) slotSecondsByClass() []slotSeconds {
	rng := rand.New(rand.NewPCG(modelSeed, 0))
	out := make([]slotSeconds, len(m.Mix))
	for i, c := range m.Mix {
		out[i] = make(slotSeconds)
		for range samplesPerClass {
			m.sample(rng, c.Service, c.Operation, out[i])
		}
		for service := range out[i] {
			out[i][service] /= samplesPerClass
		}
	}
	return out
}

func (m Model) sample(rng *rand.Rand, service, operation string, u slotSeconds) time.Duration {
	duration := m.Time(rng, service, operation)
	var slowest time.Duration
	if o, ok := m.Graph.Operation(service, operation); ok {
		for _, ref := range o.Calls {
			slowest = max(slowest, m.sample(rng, ref.Service, ref.Operation, u))
		}
	}
	duration += slowest
	u[service] += duration.Seconds()
	return duration
}

// Saturation returns the rate of arrivals, per second, at which the first service uses
// all of its slots, and the name of that service.
func (m Model) Saturation() (rate float64, service string) {
	total := make(slotSeconds)
	for i, u := range m.slotSecondsByClass() {
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

// Offered returns the rate of each class at a total rate of arrivals.
func (m Model) Offered(rate float64) []float64 {
	offered := make([]float64, len(m.Mix))
	for i, c := range m.Mix {
		offered[i] = rate * c.Share
	}
	return offered
}

// Best returns the largest rate of complete requests of each class that the slots allow
// under strict priority by importance: each level gets the slots that the higher levels
// don't use. Within a level all classes get the same share of their offered rate, until
// a service that they need has no free slots.
func (m Model) Best(offered []float64) []float64 {
	free := make(slotSeconds, len(m.Slots))
	for s, slots := range m.Slots {
		free[s] = slots
	}
	slotSecondsByClass := m.slotSecondsByClass()
	best := make([]float64, len(m.Mix))
	for level := importance.Count - 1; level >= 0; level-- {
		m.fillLevel(importance.Importance(level), offered, slotSecondsByClass, free, best)
	}
	return best
}

func (m Model) fillLevel(level importance.Importance, offered []float64, slotSecondsByClass []slotSeconds, free slotSeconds, best []float64) {
	unfilled := make(map[int]bool)
	for i, c := range m.Mix {
		if c.Importance == level && offered[i] > 0 {
			unfilled[i] = true
		}
	}
	served := 0.0 // share of the offered rate that the unfilled classes already have
	for len(unfilled) > 0 {
		step := 1 - served
		for service, seconds := range slotDemand(unfilled, offered, slotSecondsByClass) {
			step = min(step, max(free[service], 0)/seconds)
		}
		grant(unfilled, offered, step, slotSecondsByClass, free, best)
		served += step
		if served >= 1 {
			return
		}
		removeBlocked(unfilled, slotSecondsByClass, free)
	}
}

// slotDemand returns the slots needed for the whole offered rate of the unfilled classes.
func slotDemand(unfilled map[int]bool, offered []float64, slotSecondsByClass []slotSeconds) slotSeconds {
	d := make(slotSeconds)
	for i := range unfilled {
		for service, seconds := range slotSecondsByClass[i] {
			d[service] += offered[i] * seconds
		}
	}
	return d
}

// grant gives the unfilled classes a share of their offered rate.
func grant(unfilled map[int]bool, offered []float64, share float64, slotSecondsByClass []slotSeconds, free slotSeconds, best []float64) {
	for i := range unfilled {
		granted := offered[i] * share
		best[i] += granted
		for service, seconds := range slotSecondsByClass[i] {
			free[service] -= granted * seconds
		}
	}
}

// minFreeSlots is the number of free slots up to which a service counts as full; above
// zero because of rounding.
const minFreeSlots = 1e-6

// removeBlocked removes the classes that need a full service.
func removeBlocked(unfilled map[int]bool, slotSecondsByClass []slotSeconds, free slotSeconds) {
	for i := range unfilled {
		for service := range slotSecondsByClass[i] {
			if free[service] <= minFreeSlots {
				delete(unfilled, i)
			}
		}
	}
}
