// Package graph reads the text in which operators declare their services and
// turns it into a checked call graph.
//
// The text is HCL. Each service is a section of its own, which is the unit of
// publication:
//
//	service "plumecast" {
//	  operation "forecast" {
//	    idempotent     = true
//	    importance     = "critical"
//	    deadline       = "800ms"
//	    extra_attempts = 2
//	    calls          = ["stationlog.history"]
//	  }
//	}
//
// Every node folds the same publications and must come to the same verdict on
// each, so the limits and defaults of this package are constants and not
// settings: a node with another limit would accept what its peers refuse.
//
// A Graph never changes after it was assembled and is safe for concurrent use.
package graph

import (
	"slices"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Graph is a checked call graph: every call names a declared operation, there
// is no cycle, and no idempotent operation depends on a non-idempotent one.
type Graph struct {
	services []*Service
	byName   map[string]*Service
	warnings Problems
}

// Service is one service with its operations, sorted by name.
type Service struct {
	Name       string
	Operations []*Operation
}

// Operation is one operation of a service.
type Operation struct {
	Service string
	Name    string
	// Idempotent reports whether a second run does no harm. Only an
	// idempotent operation may be attempted again after "may have run".
	Idempotent bool
	Importance importance.Importance
	// Deadline is the time for a request that enters at this operation
	// without a deadline of its own.
	Deadline time.Duration
	// ExtraAttempts is what a whole request that enters at this operation
	// may spend on attempts beyond the first, over all its calls.
	ExtraAttempts int
	// DependsOn lists the operations that this one may call, sorted.
	DependsOn []Ref

	reach  []string
	height int
}

// Ref names an operation of a service.
type Ref struct {
	Service   string
	Operation string
}

// String returns the form used in the text.
func (r Ref) String() string { return r.Service + "." + r.Operation }

func (r Ref) compare(o Ref) int {
	if c := strings.Compare(r.Service, o.Service); c != 0 {
		return c
	}
	return strings.Compare(r.Operation, o.Operation)
}

// Services returns all services, sorted by name. The slice is shared.
func (g *Graph) Services() []*Service { return g.services }

// Service finds a service by name.
func (g *Graph) Service(name string) (*Service, bool) {
	s, ok := g.byName[name]
	return s, ok
}

// Operation finds an operation of a service.
func (g *Graph) Operation(service, op string) (*Operation, bool) {
	s, ok := g.byName[service]
	if !ok {
		return nil, false
	}
	return s.Operation(op)
}

// Warnings returns what is allowed but deserves a second look.
func (g *Graph) Warnings() Problems { return g.warnings }

// Operation finds an operation by name.
func (s *Service) Operation(name string) (*Operation, bool) {
	i, ok := slices.BinarySearchFunc(s.Operations, name, func(o *Operation, name string) int {
		return strings.Compare(o.Name, name)
	})
	if !ok {
		return nil, false
	}
	return s.Operations[i], true
}

// Ref returns the name of the operation.
func (o *Operation) Ref() Ref { return Ref{Service: o.Service, Operation: o.Name} }

// Reach returns the services that a call of this operation may reach: its own
// first, then the others sorted by name. The slice is shared.
func (o *Operation) Reach() []string { return o.reach }

// Height returns the number of calls on the longest chain below the operation;
// it is zero for an operation that calls nothing.
func (o *Operation) Height() int { return o.height }

// Allows reports whether the operation declares a call of the given one.
func (o *Operation) Allows(service, op string) bool {
	for i := range o.DependsOn {
		if o.DependsOn[i].Operation == op && o.DependsOn[i].Service == service {
			return true
		}
	}
	return false
}
