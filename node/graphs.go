package node

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/graph"
)

// graphs puts a lock around the spread of the configuration; what is in force
// is read without it, since every call asks.
type graphs struct {
	mu                sync.Mutex
	spread            *config.Spread
	current           atomic.Pointer[config.State]
	membershipVersion uint64 // version of the membership that the spread knows
}

func newGraphs(s *config.Spread) *graphs { return &graphs{spread: s} }

// do calls f under the lock and takes over what is in force afterwards.
func (g *graphs) do(f func(*config.Spread) config.Actions) config.Actions {
	g.mu.Lock()
	defer g.mu.Unlock()
	a := f(g.spread)
	if s := g.spread.State(); s != nil {
		g.current.Store(s)
	}
	return a
}

// state returns what is in force, nil before anything is known.
func (g *graphs) state() *config.State { return g.current.Load() }

// asOf returns the offset that the configuration in force is folded to.
func (g *graphs) asOf() uint64 {
	s := g.state()
	if s == nil {
		return 0
	}
	return s.AsOf()
}

// graph returns the graph in force, nil before any.
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

// below lists the services that a service reaches, without those that reach
// back to it.
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
