// Package load measures a running cluster with open-loop load: requests start
// when they are due, whether or not earlier ones have been answered, and
// latency counts from that moment. A closed-loop generator would send less when
// the system slows down and hide the latency that callers see.
package load

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
)

// Class is one kind of request in the mix.
type Class struct {
	Service   string
	Operation string
	// Share is the share of all requests; the shares of a mix add up to 1.
	Share float64

	// Resolve sets the fields below from the graph. Reach lists the services that a
	// request needs.
	Importance importance.Importance
	Idempotent bool
	Deadline   time.Duration
	Reach      []string
}

// Name returns the operation's name with its service.
func (c Class) Name() string { return c.Service + "." + c.Operation }

// Resolve returns the mix with the graph's declaration of each class. It returns an error
// if the graph lacks an operation or the shares don't add up to 1.
func Resolve(mix []Class, g *graph.Graph) ([]Class, error) {
	out := slices.Clone(mix)
	sum := 0.0
	for i := range out {
		c := &out[i]
		o, ok := g.Operation(c.Service, c.Operation)
		if !ok {
			return nil, fmt.Errorf("the graph has no operation %s", c.Name())
		}
		c.Importance = o.Importance
		c.Idempotent = o.Idempotent
		c.Deadline = o.Deadline
		c.Reach = o.Reach()
		sum += c.Share
	}
	if math.Abs(sum-1) > 1e-6 {
		return nil, fmt.Errorf("shares add up to %v: want 1", sum)
	}
	return out, nil
}

// Phase is a period with a constant rate of arrivals.
type Phase struct {
	Length time.Duration
	// Rate is the number of arrivals per second.
	Rate float64
}

// Arrival is one request of a schedule.
type Arrival struct {
	At    time.Duration // when it is due, since the start
	Class int           // index in the mix
	Node  int           // index of the first node that the caller tries
	// Hard is true if the caller retries quickly and ignores Retry-After.
	Hard bool
	// Draw is a random number in [0, 1) for the jitter of the caller's pauses.
	Draw float64
	ID   string
	// Body is the request's body; if it is empty, the ID is sent.
	Body string
}

// Schedule draws a Poisson process over the phases. The same seed gives the same
// arrivals, so that policies can be compared.
func Schedule(phases []Phase, mix []Class, nodes int, hardShare float64, seed uint64) []Arrival {
	rng := rand.New(rand.NewPCG(seed, 0))
	prefix := strconv.FormatUint(seed, 36)
	var list []Arrival
	start := time.Duration(0)
	for _, p := range phases {
		end := start + p.Length
		at := start
		for p.Rate > 0 {
			at += time.Duration(rng.ExpFloat64() / p.Rate * float64(time.Second))
			if at >= end {
				break
			}
			list = append(list, Arrival{
				At:    at,
				Class: pickClass(mix, rng.Float64()),
				Node:  rng.IntN(nodes),
				Hard:  rng.Float64() < hardShare,
				Draw:  rng.Float64(),
				ID:    fmt.Sprintf("m%s-%d", prefix, len(list)),
			})
		}
		start = end
	}
	return list
}

// Merge returns the arrivals of both lists, ordered by when they are due.
func Merge(a, b []Arrival) []Arrival {
	all := slices.Concat(a, b)
	slices.SortStableFunc(all, func(x, y Arrival) int { return cmp.Compare(x.At, y.At) })
	return all
}

// Rates returns the arrivals of each class per second between two times.
func Rates(arrivals []Arrival, classes int, from, to time.Duration) []float64 {
	rates := make([]float64, classes)
	for _, a := range arrivals {
		if a.At >= from && a.At < to {
			rates[a.Class] += 1 / (to - from).Seconds()
		}
	}
	return rates
}

// pickClass returns the class that a random number u in [0, 1) selects by share.
func pickClass(mix []Class, u float64) int {
	for i, c := range mix {
		u -= c.Share
		if u < 0 {
			return i
		}
	}
	return len(mix) - 1
}
