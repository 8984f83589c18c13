// Package reach learns from responses which services the requests of a route
// call, directly or indirectly. If no call graph is declared, this tells a node
// before it runs a request which services the request will need.
package reach

import (
	"slices"
	"time"
)

// Config configures a Tracker.
type Config struct {
	// ExpireAfter is the time after which a service that no response named is
	// dropped. It is much longer than the interval between requests of a
	// route and much shorter than the interval between deployments.
	ExpireAfter time.Duration
	// MaxRoutes is the maximum number of routes, MaxServices the maximum number
	// of services per route.
	MaxRoutes, MaxServices int
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		ExpireAfter: 30 * time.Second,
		MaxRoutes:   4096, // more than a large installation has
		MaxServices: 64,   // a deep call chain with its branches
	}
}

// Tracker records for each route the services that its requests reach. It is not
// safe for concurrent use.
type Tracker struct {
	cfg    Config
	routes map[string]*route
}

type route struct {
	services []reachedService
	// names holds the sorted names of services. It is replaced and never
	// modified, because callers of Reach share it.
	names []string
}

// reachedService is a service that requests of a route were last observed to reach at
// lastSeen.
type reachedService struct {
	name     string
	lastSeen time.Time
}

// New returns an empty Tracker.
func New(cfg Config) *Tracker {
	return &Tracker{cfg: cfg, routes: make(map[string]*route)}
}

// Record records that a request of the route reached the services. It reports
// whether the services of the route changed.
func (b *Tracker) Record(now time.Time, name string, services []string) bool {
	r := b.routes[name]
	if r == nil {
		if len(services) == 0 || !b.makeRoomForRoute(now) {
			return false
		}
		r = &route{}
		b.routes[name] = r
	}
	changed := r.dropExpired(now, b.cfg.ExpireAfter)
	for _, s := range services {
		changed = r.recordService(now, s, b.cfg.MaxServices) || changed
	}
	if changed {
		r.updateNames()
	}
	return changed
}

// Reach returns the services that requests of the route reach, sorted by name.
// The slice is shared and must not be modified.
func (b *Tracker) Reach(name string) []string {
	if r := b.routes[name]; r != nil {
		return r.names
	}
	return nil
}

// makeRoomForRoute reports whether another route fits. If the tracker is full it first
// removes the routes whose services have all expired.
func (b *Tracker) makeRoomForRoute(now time.Time) bool {
	if len(b.routes) < b.cfg.MaxRoutes {
		return true
	}
	for name, r := range b.routes {
		r.dropExpired(now, b.cfg.ExpireAfter)
		if len(r.services) == 0 {
			delete(b.routes, name)
		}
	}
	return len(b.routes) < b.cfg.MaxRoutes
}

// dropExpired drops services that were last seen longer ago than after. It reports
// whether there were any.
func (r *route) dropExpired(now time.Time, after time.Duration) bool {
	before := len(r.services)
	r.services = slices.DeleteFunc(r.services, func(s reachedService) bool { return now.Sub(s.lastSeen) > after })
	return len(r.services) != before
}

// recordService updates the time of a service or adds it while there are fewer than
// limit. It reports whether it added the service.
func (r *route) recordService(now time.Time, name string, limit int) bool {
	for i := range r.services {
		if r.services[i].name == name {
			r.services[i].lastSeen = now
			return false
		}
	}
	if len(r.services) >= limit {
		return false
	}
	r.services = append(r.services, reachedService{name: name, lastSeen: now})
	return true
}

// updateNames rebuilds names from services.
func (r *route) updateNames() {
	names := make([]string, 0, len(r.services))
	for _, s := range r.services {
		names = append(names, s.name)
	}
	slices.Sort(names)
	r.names = names
}

// State is the state of one route in the state dump.
type State struct {
	Route    string   `json:"route"`
	Services []string `json:"services"`
	// AgeMs is the age of the least recently seen service, in milliseconds.
	AgeMs int64 `json:"age_ms"`
}

// Dump returns the state of all routes, sorted by route.
func (b *Tracker) Dump(now time.Time) []State {
	out := make([]State, 0, len(b.routes))
	for name, r := range b.routes {
		s := State{Route: name, Services: r.names}
		for _, known := range r.services {
			s.AgeMs = max(s.AgeMs, now.Sub(known.lastSeen).Milliseconds())
		}
		out = append(out, s)
	}
	slices.SortFunc(out, func(a, b State) int {
		if a.Route < b.Route {
			return -1
		}
		return 1
	})
	return out
}
