package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Random draws a deployment: a chain of services whose last one is the bottleneck, and
// two to maxKinds kinds of requests that enter anywhere along it, with random
// importance, work and deadlines. It detects policies that are fitted to the fixed
// deployments.
func Random(seed uint64) Deployment {
	rng := rand.New(rand.NewPCG(seed, 11))
	d := Deployment{Name: fmt.Sprint("random-", seed), Delay: 500 * time.Microsecond}
	depth := 1 + rng.IntN(maxDepth)
	for i := range depth {
		d.Services = append(d.Services, randomService(rng, i, i == depth-1))
	}
	d.Bottleneck = d.Services[depth-1].Name
	d.Classes = randomClasses(rng, d.Services)
	return d
}

const (
	// maxDepth is the longest chain of services; maxCalls is the most calls of one
	// request to the last of them.
	maxDepth = 8
	maxCalls = 12
	// maxKinds is the most kinds of requests that enter.
	maxKinds = 6
)

func randomService(rng *rand.Rand, i int, last bool) Service {
	s := Service{Name: fmt.Sprint("s", i), Slots: 80 + rng.IntN(200), Backlog: 100}
	if last {
		s.Slots, s.Knee, s.KneeFactor = 16+rng.IntN(48), 0.95, 1.3
	}
	for range 3 + rng.IntN(3) {
		s.Speeds = append(s.Speeds, []float64{0.5, 0.7, 1, 1, 1.5}[rng.IntN(5)])
	}
	return s
}

// randomClasses draws the calls of each service to the next, and the kinds of
// requests. The first kind enters at the first service, so that the whole chain is
// used.
func randomClasses(rng *rand.Rand, services []Service) []*Class {
	last := len(services) - 1
	callsTo := make([]*Class, len(services))
	calls := 1
	for i := last; i > 0; i-- {
		c := &Class{Name: fmt.Sprint("call-", i), Service: services[i].Name, Work: randomTime(rng, 10, 40), Idempotent: true,
			Deadline: time.Duration(500*(last-i+1)+500) * time.Millisecond}
		if i < last {
			n := 1 + rng.IntN(4)
			if calls*n > maxCalls {
				n = 1
			}
			calls *= n
			c.Calls = repeat(n, callsTo[i+1])
		}
		callsTo[i] = c
	}
	kinds := make([]*Class, 2+rng.IntN(maxKinds-1))
	sum := 0.0
	for k := range kinds {
		entry := 0
		if k > 0 {
			entry = rng.IntN(len(services))
		}
		kinds[k] = randomKind(rng, k, services[entry], callsTo, entry)
		sum += kinds[k].Share
	}
	for _, c := range kinds {
		c.Share /= sum
	}
	return kinds
}

func randomKind(rng *rand.Rand, k int, s Service, callsTo []*Class, entry int) *Class {
	c := &Class{
		Name: fmt.Sprint("kind-", k), Service: s.Name, Importance: importance.Importance(rng.IntN(importance.Count)),
		Share: 0.1 + rng.Float64(), Work: randomTime(rng, 30, 200), Spread: 0.3 + rng.Float64()/2,
		Idempotent: rng.IntN(2) == 0, Deadline: time.Duration(2000+rng.IntN(4000)) * time.Millisecond,
	}
	if entry+1 < len(callsTo) {
		c.Calls = repeat(1, callsTo[entry+1])
	}
	if rng.IntN(2) == 0 {
		c.Timeout = c.Deadline / 2
	}
	return c
}

// randomTime draws a duration between least and most, both in milliseconds, on a
// geometric scale.
func randomTime(rng *rand.Rand, least, most float64) time.Duration {
	ms := least
	for ms*1.3 < most && rng.IntN(4) > 0 {
		ms *= 1.3
	}
	return time.Duration(ms * float64(time.Millisecond))
}
