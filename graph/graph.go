// Package graph parses the HCL text in which operators declare their services
// and builds a validated call graph from it.
//
// Each service is a section of the text. Sections are published one by one:
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
// All nodes apply the same publications and must agree on whether each is
// valid. The limits and defaults of this package are therefore constants and
// not settings: a node with another limit would accept what its peers reject.
//
// A Graph is immutable after it is built and safe for concurrent use.
package graph

import (
	"slices"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Graph is a valid call graph: every call names a declared operation, there
// are no cycles, and no idempotent operation calls a non-idempotent one.
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
	// Idempotent is set if running the operation twice is harmless. Only
	// an idempotent operation is retried when a failed attempt may have run.
	Idempotent bool
	Importance importance.Importance
	// Deadline applies to requests that enter at this operation without a
	// deadline of their own.
	Deadline time.Duration
	// ExtraAttempts is the retry budget of a request that enters at this
	// operation, shared by all its calls.
	ExtraAttempts int
	// Calls lists the operations that this one may call, sorted by
	// service and name.
	Calls []Ref

	reach  []string
	height int
}

// Ref names an operation of a service.
type Ref struct {
	Service   string
	Operation string
}

// String returns the form used in HCL texts: SERVICE.OPERATION.
func (r Ref) String() string { return r.Service + "." + r.Operation }

func (r Ref) compare(o Ref) int {
	if c := strings.Compare(r.Service, o.Service); c != 0 {
		return c
	}
	return strings.Compare(r.Operation, o.Operation)
}

// Services returns all services, sorted by name. The slice is shared and must
// not be modified.
func (g *Graph) Services() []*Service { return g.services }

// Service returns the service with the given name.
func (g *Graph) Service(name string) (*Service, bool) {
	s, ok := g.byName[name]
	return s, ok
}

// Operation returns an operation of a service.
func (g *Graph) Operation(service, op string) (*Operation, bool) {
	s, ok := g.byName[service]
	if !ok {
		return nil, false
	}
	return s.Operation(op)
}

// Warnings returns the problems that do not make the graph invalid.
func (g *Graph) Warnings() Problems { return g.warnings }

// Operation returns the operation with the given name.
func (s *Service) Operation(name string) (*Operation, bool) {
	i, ok := slices.BinarySearchFunc(s.Operations, name, func(o *Operation, name string) int {
		return strings.Compare(o.Name, name)
	})
	if !ok {
		return nil, false
	}
	return s.Operations[i], true
}

// Ref returns the reference to the operation.
func (o *Operation) Ref() Ref { return Ref{Service: o.Service, Operation: o.Name} }

// Reach returns the services that a call of this operation may reach, directly
// or indirectly: its own first, then the others sorted by name. The slice is
// shared and must not be modified.
func (o *Operation) Reach() []string { return o.reach }

// CallDepth returns the number of calls on the longest call chain below the
// operation. It is zero for an operation without calls.
func (o *Operation) CallDepth() int { return o.height }

// DeclaresCall reports whether the operation declares a call to the given operation.
func (o *Operation) DeclaresCall(service, op string) bool {
	for i := range o.Calls {
		if o.Calls[i].Operation == op && o.Calls[i].Service == service {
			return true
		}
	}
	return false
}
