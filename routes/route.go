// Package routes holds the routing table that operators publish. A route maps
// a host and a path prefix to services with weights, and sets timeout, number
// of attempts and rank under overload.
//
// A Table is immutable after it is built and safe for concurrent use.
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

// Route is a rule for requests to Host whose path begins with Prefix.
type Route struct {
	Name   string
	Host   string
	Prefix string
	// Idempotent is set if running a request twice is harmless.
	Idempotent bool
	// Timeout is the maximum time until a caller gets an answer.
	Timeout time.Duration
	// TargetLatency is the target latency: an answer within it is worth most to the caller.
	TargetLatency time.Duration
	// MaxAttempts is the maximum number of attempts for one request, each at
	// another backend server.
	MaxAttempts int
	// Rank orders routes under overload; zero is the highest rank.
	Rank int
	// NoKeyRequired is set if requests need no workspace key.
	NoKeyRequired bool
	// Shares are the services that serve the route, with relative weights.
	Shares []Share
}

// Share is the share of a route's requests that one service gets.
type Share struct {
	Service string
	Weight  float64
	// Operation represents the route at this service. New sets it.
	Operation *graph.Operation
}

// Limits bounds what a caller may send.
type Limits struct {
	MaxHeaderBytes int
	MaxBodyBytes   int64
	// HeaderTimeout is the maximum time for reading the header of a request.
	HeaderTimeout time.Duration
	// IdleTimeout is the time after which an idle connection is closed.
	IdleTimeout time.Duration
}

// Importance returns the importance for the rank of the route: Critical for rank zero,
// one step less for each further rank.
func (r *Route) Importance() importance.Importance { return importanceOfRank(r.Rank) }

// ImportanceFor returns the importance of a workspace's requests on the route. The rank
// of the workspace takes precedence; the rank of the route orders requests of workspaces
// of equal rank. Four importances cannot separate all pairs of ranks: workspaces of the
// highest rank are always Critical, and for the others only routes of the highest rank
// are distinguished from the rest.
func (r *Route) ImportanceFor(w *workspace.Workspace) importance.Importance {
	switch {
	case w == nil || !w.Ranked:
		return r.Importance()
	case w.Rank <= 0 || r.Rank <= 0:
		return importanceOfRank(w.Rank)
	}
	return importanceOfRank(w.Rank + 1)
}

func importanceOfRank(rank int) importance.Importance {
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

// setOperations sets the operation of each share.
func (r *Route) setOperations() {
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

// Table is one version of the routing table.
type Table struct {
	Version     uint64
	Limits      Limits
	byHost      map[string][]*Route // longest prefix first
	routeCount  int
	healthPaths map[string]string
	// Workspaces is nil if requests need no workspace keys.
	Workspaces *workspace.Directory
}

// HealthPath returns the path for health checks of the backend servers of a
// service. It is empty if none is configured.
func (t *Table) HealthPath(service string) string { return t.healthPaths[service] }

// SetHealthPaths sets the paths for health checks by service. It must be called
// before the table is shared.
func (t *Table) SetHealthPaths(paths map[string]string) { t.healthPaths = paths }

// New validates the routes and limits and builds a table. It fails on an
// invalid route and on two routes with the same host and prefix.
func New(version uint64, list []Route, limits Limits) (*Table, error) {
	if err := limits.check(); err != nil {
		return nil, err
	}
	t := &Table{Version: version, Limits: limits, byHost: make(map[string][]*Route), routeCount: len(list)}
	for i := range list {
		r := list[i]
		if err := r.check(); err != nil {
			return nil, err
		}
		r.Shares = slices.Clone(r.Shares)
		r.setOperations()
		host := canonicalHost(r.Host)
		t.byHost[host] = append(t.byHost[host], &r)
	}
	return t, t.sortRoutes()
}

func (l Limits) check() error {
	if l.MaxHeaderBytes <= 0 || l.MaxBodyBytes < 0 || l.HeaderTimeout <= 0 || l.IdleTimeout <= 0 {
		return fmt.Errorf("limits %+v: want all above zero", l)
	}
	return nil
}

// sortRoutes sorts the routes of each host by descending prefix length. It fails on
// duplicate prefixes.
func (t *Table) sortRoutes() error {
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

// Len returns the number of routes.
func (t *Table) Len() int { return t.routeCount }

// Find returns the route of the host with the longest prefix of path. It
// returns false if no route matches.
func (t *Table) Find(host, path string) (*Route, bool) {
	for _, r := range t.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// canonicalHost removes the port and converts the host to lower case.
func canonicalHost(host string) string {
	if i := strings.LastIndexByte(host, ':'); i >= 0 && !strings.Contains(host[i:], "]") {
		host = host[:i]
	}
	return strings.ToLower(host)
}
