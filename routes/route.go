// Package routes holds what operators publish about requests that come by host
// and path: which service serves a path, in which shares, how long a request
// may take, how often it may be attempted, and how it ranks against others.
//
// A Table never changes after it was made and is safe for concurrent use.
package routes

import (
	"errors"
	"fmt"
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/workspace"
)

// Route is one rule: requests for Host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent says that a second run does no harm.
	Idempotent bool
	// Timeout is how long a caller is kept waiting at most.
	Timeout time.Duration
	// Aim is the time within which an answer is worth most to its caller.
	Aim time.Duration
	// MaxAttempts is the most backend servers that one request may be sent to.
	MaxAttempts int
	// Rank orders routes under overload; zero is the highest.
	Rank int
	// Open says that requests need no key of a workspace.
	Open bool
	// Shares are the services that serve the route. Their weights are
	// relative to each other.
	Shares []Share
}

// Share is the part of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  float64
	// Operation is how the rest of the node knows the route at the service.
	Operation *graph.Operation
}

// Limits bound what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is how long the head of a request may take to arrive.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// Importance maps the rank to the importances that the queues and levels know.
func (r *Route) Importance() importance.Importance { return ranked(r.Rank) }

// ImportanceFor is the importance of a workspace's requests: its rank goes before the
// route's, which counts among workspaces of one rank. There are four importances for
// all pairs: workspaces of the highest rank share the first, and of the others the
// highest route is told apart.
func (r *Route) ImportanceFor(w *workspace.Workspace) importance.Importance {
	switch {
	case w == nil || !w.Ranked:
		return r.Importance()
	case w.Rank <= 0 || r.Rank <= 0:
		return ranked(w.Rank)
	}
	return ranked(w.Rank + 1)
}

func ranked(rank int) importance.Importance {
	return importance.Critical - importance.Importance(min(max(rank, 0), int(importance.Critical)))
}

func (r *Route) check() error {
	switch {
	case r.Name == "":
		return errors.New("a route has no name")
	case r.Host == "":
		return fmt.Errorf("route %s: no host", r.Name)
	case !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/"):
		return fmt.Errorf("route %s: prefix %q: want it to begin and end with a slash", r.Name, r.Prefix)
	case r.Timeout <= 0:
		return fmt.Errorf("route %s: timeout %s: want it above zero", r.Name, r.Timeout)
	case r.MaxAttempts < 1:
		return fmt.Errorf("route %s: %d attempts: want at least one", r.Name, r.MaxAttempts)
	case len(r.Shares) == 0:
		return fmt.Errorf("route %s: no service", r.Name)
	}
	return r.checkShares()
}

func (r *Route) checkShares() error {
	total := 0.0
	for _, s := range r.Shares {
		if s.Service == "" {
			return fmt.Errorf("route %s: a share without a service", r.Name)
		}
		if s.Weight < 0 || math.IsNaN(s.Weight) || math.IsInf(s.Weight, 0) {
			return fmt.Errorf("route %s: weight %v of %s: want a number of zero or more", r.Name, s.Weight, s.Service)
		}
		total += s.Weight
	}
	if total <= 0 {
		return fmt.Errorf("route %s: all weights are zero", r.Name)
	}
	return nil
}

// bind gives each share its operation.
func (r *Route) bind() {
	for i := range r.Shares {
		r.Shares[i].Operation = graph.Standalone(graph.Operation{
			Service:       r.Shares[i].Service,
			Name:          r.Name,
			Idempotent:    r.Idempotent,
			Importance:    r.Importance(),
			Deadline:      r.Timeout,
			ExtraAttempts: r.MaxAttempts - 1,
		})
	}
}

// Table is one version of all routes.
type Table struct {
	Version uint64
	Limits  Limits
	byHost  map[string][]*Route // longest prefix first
	count   int
	health  map[string]string
	// Workspaces is nil if requests need no keys.
	Workspaces *workspace.Directory
}

// Health names the path at which backend servers of a service tell their
// health, empty if it is not known.
func (t *Table) Health(service string) string { return t.health[service] }

// SetHealth names those paths by service. It belongs to the making of a table.
func (t *Table) SetHealth(paths map[string]string) { t.health = paths }

// New checks the routes and makes a table of them.
func New(version uint64, list []Route, limits Limits) (*Table, error) {
	if err := limits.check(); err != nil {
		return nil, err
	}
	t := &Table{Version: version, Limits: limits, byHost: make(map[string][]*Route), count: len(list)}
	for i := range list {
		r := list[i]
		if err := r.check(); err != nil {
			return nil, err
		}
		r.Shares = slices.Clone(r.Shares)
		r.bind()
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
	}
	return t, t.order()
}

func (l Limits) check() error {
	if l.MaxHeaderBytes <= 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return fmt.Errorf("limits %+v: want all above zero", l)
	}
	return nil
}

func (t *Table) order() error {
	for host, list := range t.byHost {
		slices.SortFunc(list, func(a, b *Route) int {
			if len(a.Prefix) != len(b.Prefix) {
				return len(b.Prefix) - len(a.Prefix)
			}
			return strings.Compare(a.Prefix, b.Prefix)
		})
		for i := 1; i < len(list); i++ {
			if list[i].Prefix == list[i-1].Prefix {
				return fmt.Errorf("routes %s and %s: both have %s%s", list[i-1].Name, list[i].Name, host, list[i].Prefix)
			}
		}
	}
	return nil
}

// Len is the number of routes.
func (t *Table) Len() int { return t.count }

// Find returns the route of the host with the longest prefix that begins the
// path; false if there is none.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// canonicalHost drops a port and the case, which do not tell hosts apart.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
