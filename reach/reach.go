// Package reach learns, from answers, which services a request leads to. Where
// no graph is declared this is all that a node knows of the services that a
// request will need, before any work is spent on it.
package reach

import (
	"slices"
	"time"
)

// Config of a Book.
type Config struct {
	// Forget is how long a service counts as reached after it was last
	// named. It is long against the pause between two requests of a route
	// and short against the life of a deployment's call graph.
	Forget time.Duration
	// Routes bounds the number of routes remembered, and Services that of
	// services for each.
	Routes, Services int
}

// DefaultConfig returns the settings that the daemon starts from.
func DefaultConfig() Config {
	return Config{
		Forget:   30 * time.Second, // a few dozen requests of a rare route
		Routes:   4096,             // well above the routes of a large installation
		Services: 64,               // a chain of 26 with its branches
	}
}

// Book remembers for each route the services that its requests were seen to
// reach. It is not safe for concurrent use.
type Book struct {
	cfg    Config
	routes map[string]*route
}

type route struct {
	services []seen
	// names are those of services; replaced, never changed, when they do.
	names []string
}

type seen struct {
	name string
	at   time.Time
}

// New returns an empty Book.
func New(cfg Config) *Book {
	return &Book{cfg: cfg, routes: make(map[string]*route)}
}

// Learn notes that a request of the route reached the services. It reports
// whether any of them is new.
func (b *Book) Learn(now time.Time, name string, services []string) bool {
	r := b.routes[name]
	if r == nil {
		if len(services) == 0 || !b.room(now) {
			return false
		}
		r = &route{}
		b.routes[name] = r
	}
	changed := r.forget(now, b.cfg.Forget)
	for _, s := range services {
		changed = r.note(now, s, b.cfg.Services) || changed
	}
	if changed {
		r.rename()
	}
	return changed
}

// Reach returns the services that requests of the route are known to reach,
// in the order of their names. The slice is shared.
func (b *Book) Reach(name string) []string {
	if r := b.routes[name]; r != nil {
		return r.names
	}
	return nil
}

// room makes place for another route, if need be by forgetting those that
// nothing was heard of.
func (b *Book) room(now time.Time) bool {
	if len(b.routes) < b.cfg.Routes {
		return true
	}
	for name, r := range b.routes {
		r.forget(now, b.cfg.Forget)
		if len(r.services) == 0 {
			delete(b.routes, name)
		}
	}
	return len(b.routes) < b.cfg.Routes
}

func (r *route) forget(now time.Time, after time.Duration) bool {
	before := len(r.services)
	r.services = slices.DeleteFunc(r.services, func(s seen) bool { return now.Sub(s.at) > after })
	return len(r.services) != before
}

func (r *route) note(now time.Time, name string, limit int) bool {
	for i := range r.services {
		if r.services[i].name == name {
			r.services[i].at = now
			return false
		}
	}
	if len(r.services) >= limit {
		return false
	}
	r.services = append(r.services, seen{name: name, at: now})
	return true
}

func (r *route) rename() {
	names := make([]string, 0, len(r.services))
	for _, s := range r.services {
		names = append(names, s.name)
	}
	slices.Sort(names)
	r.names = names
}

// State is what a Book knows of one route, for people.
type State struct {
	Route    string   `json:"route"`
	Services []string `json:"services"`
	// AgeMs is the time since the service named longest ago was seen.
	AgeMs int64 `json:"age_ms"`
}

// Dump returns what is known, by route.
func (b *Book) Dump(now time.Time) []State {
	out := make([]State, 0, len(b.routes))
	for name, r := range b.routes {
		s := State{Route: name, Services: r.names}
		for _, known := range r.services {
			s.AgeMs = max(s.AgeMs, now.Sub(known.at).Milliseconds())
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
