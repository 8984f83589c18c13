package node

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/graph"
)

// graphs guards the distribution of the configuration with a lock. The state in force is read
// without the lock, since every call needs it.
type graphs struct {
	mu                sync.Mutex
	spread            *config.Distributor
	current           atomic.Pointer[config.State]
	membershipVersion uint64 // version of the membership that spread has received
}

func newGraphs(s *config.Distributor) *graphs { return &graphs{spread: s} }

// update calls f under the lock and publishes the resulting state for lock-free reads.
func (g *graphs) update(f func(*config.Distributor) config.Actions) config.Actions {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := f(g.spread)
	if s := g.spread.State(); s != nil {
		g.current.Store(s)
	}
	return a
}

// state returns the state in force, nil if none is known yet.
func (g *graphs) state() *config.State { return g.current.Load() }

// asOf returns the log offset up to which records are applied to the configuration in force,
// zero if none is.
func (g *graphs) asOf() uint64 {
	s := g.state()
	if s == nil {
		return 0
	}
	return s.AsOf()
}

// graph returns the graph in force, nil if none is known yet.
func (g *graphs) graph() *graph.Graph {
	s := g.state()
	if s == nil {
		return nil
	}
	return s.Graph()
}

// operation finds an operation; configured is false while there is no graph.
func (g *graphs) operation(service, name string) (op *graph.Operation, configured bool) {
	gr := g.graph()
	if gr == nil {
		return nil, false
	}
	op, _ = gr.Operation(service, name)
	return op, true
}

// downstreamServices lists the services that a service calls directly or indirectly, sorted,
// without those that also call it.
func downstreamServices(g *graph.Graph, service string) []string {
	if g == nil {
		return nil
	}
	reachable := reachableServices(g, service)
	var names []string
	for name := range reachable {
		if name != service && !reachableServices(g, name)[service] {
			names = append(names, name)
		}
	}
	sort.Strings(names)
	return names
}

// reachableServices returns the services that the operations of a service reach.
func reachableServices(g *graph.Graph, service string) map[string]bool {
	names := make(map[string]bool)
	s, ok := g.Service(service)
	if !ok {
		return names
	}
	for _, op := range s.Operations {
		for _, name := range op.Reach() {
			names[name] = true
		}
	}
	return names
}

func (g *graphs) dump() config.Dump {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.spread.Dump()
}
