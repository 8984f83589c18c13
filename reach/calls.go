package reach

import (
	"maps"
	"slices"

	"github.com/cassialoom/cassialoom/graph"
)

const (
	// callsWeight is the inverse weight of a run in the average of its operation.
	callsWeight = 16
	// maxOperations limits the operations, maxCallees the operations that each calls.
	maxOperations = 4096
	maxCallees    = 64
	// minCalls is the average below which an operation is forgotten.
	minCalls = 0.01
)

// Calls learns which operations the runs of each operation call. One that the latest runs no longer
// called is forgotten. It is not safe for concurrent use.
type Calls struct {
	// byOperation holds the mean number of calls of a run, by its operation and the one called.
	byOperation map[string]map[graph.Ref]float64
}

// NewCalls returns an empty Calls.
func NewCalls() *Calls { return &Calls{byOperation: make(map[string]map[graph.Ref]float64)} }

// Record records the calls that a run which succeeded has made.
func (c *Calls) Record(operation string, made map[graph.Ref]int) {
	averages, ok := c.byOperation[operation]
	if !ok {
		if len(made) == 0 || len(c.byOperation) >= maxOperations {
			return
		}
		averages = make(map[graph.Ref]float64, len(made))
		c.byOperation[operation] = averages
		for callee, n := range made {
			if len(averages) < maxCallees {
				averages[callee] = float64(n)
			}
		}
		return
	}
	for callee, average := range averages {
		averages[callee] += (float64(made[callee]) - average) / callsWeight
	}
	for callee, n := range made {
		if _, known := averages[callee]; !known && len(averages) < maxCallees {
			averages[callee] = float64(n) / callsWeight
		}
	}
	maps.DeleteFunc(averages, func(_ graph.Ref, average float64) bool { return average < minCalls })
}

// Callees returns the operations that runs of an operation call.
func (c *Calls) Callees(operation string) []graph.Ref {
	return slices.Collect(maps.Keys(c.byOperation[operation]))
}
