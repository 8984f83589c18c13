package replay

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Random draws a deployment of the kind that the policy has to serve: a chain of
// services whose last one is short, and two to six kinds of requests that enter
// anywhere along it, of any importance, with much or little work and time. What
// gains on one deployment and loses on most of these is fitted to it.
func Random(seed uint64) Deployment {
	rng := rand.New(rand.NewPCG(seed, 11))
	d := Deployment{Name: fmt.Sprint("random-", seed), Delay: 500 * time.Microsecond}
	depth := 1 + rng.IntN(mostDepth)
	for i := range depth {
		d.Services = append(d.Services, randomService(rng, i, i == depth-1))
	}
	d.Deepest = d.Services[depth-1].Name
	d.Classes = randomClasses(rng, d.Services)
	return d
}

const (
	// mostDepth is the longest chain of services, mostCalls the most calls of one
	// request at the last of them.
	mostDepth = 8
	mostCalls = 12
	// mostKinds of requests enter; there are two at least.
	mostKinds = 6
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
// requests above them. The first kind enters at the top, so that the whole chain is
// used.
func randomClasses(rng *rand.Rand, services []Service) []*Class {
	last := len(services) - 1
	inner := make([]*Class, len(services))
	calls := 1
	for i := last; i > 0; i-- {
		c := &Class{Name: fmt.Sprint("call-", i), Service: services[i].Name, Work: randomTime(rng, 10, 40), Idempotent: true,
			Deadline: time.Duration(500*(last-i+1)+500) * time.Millisecond}
		if i < last {
			n := 1 + rng.IntN(4)
			if calls*n > mostCalls {
				n = 1
			}
			calls *= n
			c.Calls = times(n, inner[i+1])
		}
		inner[i] = c
	}
	kinds := make([]*Class, 2+rng.IntN(mostKinds-1))
	sum := 0.0
	for k := range kinds {
		at := 0
		if k > 0 {
			at = rng.IntN(len(services))
		}
		kinds[k] = randomKind(rng, k, services[at], inner, at)
		sum += kinds[k].Share
	}
	for _, c := range kinds {
		c.Share /= sum
	}
	return kinds
}

func randomKind(rng *rand.Rand, k int, s Service, inner []*Class, at int) *Class {
	c := &Class{
		Name: fmt.Sprint("kind-", k), Service: s.Name, Importance: importance.Importance(rng.IntN(importance.Count)),
		Share: 0.1 + rng.Float64(), Work: randomTime(rng, 30, 200), Spread: 0.3 + rng.Float64()/2,
		Idempotent: rng.IntN(2) == 0, Deadline: time.Duration(2000+rng.IntN(4000)) * time.Millisecond,
	}
	if at+1 < len(inner) {
		c.Calls = times(1, inner[at+1])
	}
	if rng.IntN(2) == 0 {
		c.Timeout = c.Deadline / 2
	}
	return c
}

// randomTime draws a time between two numbers of milliseconds, the short ones as
// often as the long ones by their ratio.
func randomTime(rng *rand.Rand, least, most float64) time.Duration {
	ms := least
	for ms*1.3 < most && rng.IntN(4) > 0 {
		ms *= 1.3
	}
	return time.Duration(ms * float64(time.Millisecond))
}
