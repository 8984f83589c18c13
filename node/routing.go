package node

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/reach"
	"github.com/cassialoom/cassialoom/routes"
)

// routing holds the published routes in force, which requests read without a
// lock, and what requests along them have reached.
type routing struct {
	decode  func(text []byte) (*routes.Table, error)
	current atomic.Pointer[published]

	mu       sync.Mutex
	splitter *routes.Splitter
	// lastAskedAt is when a peer was last asked for a newer version.
	lastAskedAt time.Time
	// newerVersionSince is when a peer first named a version newer than the one in
	// force, zero if none has.
	newerVersionSince time.Time
	// routeReach holds the services that requests entering here have reached, by route
	// and service. callReach holds those that calls of the backend server have reached.
	routeReach, callReach *reach.Tracker
}

// published is a version of the routes and its encoded text, which is sent to
// peers.
type published struct {
	table *routes.Table
	text  []byte
	since time.Time
}

func newRouting(decode func([]byte) (*routes.Table, error)) *routing {
	return &routing{decode: decode, splitter: routes.NewSplitter(),
		routeReach: reach.New(reach.DefaultConfig()), callReach: reach.New(reach.DefaultConfig())}
}

// enabled reports whether the node serves published routes instead of a graph
// text.
func (r *routing) enabled() bool { return r.decode != nil }

// table returns the routes in force, nil before any are known.
func (r *routing) table() *routes.Table {
	if p := r.current.Load(); p != nil {
		return p.table
	}
	return nil
}

// version returns the version in force, zero before any is known.
func (r *routing) version() uint64 {
	if t := r.table(); t != nil {
		return t.Version
	}
	return 0
}

// install puts a version in force if it is newer than the one in force, and reports
// whether it did. The version never decreases during the lifetime of the process.
func (r *routing) install(now time.Time, table *routes.Table, text []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if table.Version <= r.version() {
		return false
	}
	r.current.Store(&published{table: table, text: text, since: now})
	return true
}

// noteNewerVersion records that a peer has named a newer version than the one in force.
func (r *routing) noteNewerVersion(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.newerVersionSince.IsZero() {
		r.newerVersionSince = now
	}
}

// resetLag returns the time since a peer first named the newer version, zero if none
// did. It is called when that version is in force.
func (r *routing) resetLag(now time.Time) (behind time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.newerVersionSince.IsZero() {
		behind = now.Sub(r.newerVersionSince)
	}
	r.newerVersionSince = time.Time{}
	return behind
}

// pickShare returns the share of the route that gets the next request.
func (r *routing) pickShare(t *routes.Table, route *routes.Route) *routes.Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.splitter.Next(t, route)
}

// routeReachKey returns the key of an operation in routeReach. It contains the service,
// since each service of a split route may call different ones.
func routeReachKey(op *graph.Operation) string { return op.Name + " " + op.Service }

// servicesReached lists the services that requests for the operation have reached, its own
// included; nil before any is known.
func (r *routing) servicesReached(op *graph.Operation) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.routeReach.Reach(routeReachKey(op))
}

// recordReach records the services that a request for the operation reached.
func (r *routing) recordReach(now time.Time, op *graph.Operation, reached []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.routeReach.Record(now, routeReachKey(op), append(reached, op.Service))
}

// callReachKey is the only key in callReach.
const callReachKey = ""

// recordCallReach records the services that a call of the backend server reached, and
// reports whether one of them is new.
func (r *routing) recordCallReach(now time.Time, service string, reached []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.callReach.Record(now, callReachKey, append(reached, service))
}

// servicesCalled lists the services that calls of the backend server have reached, its own
// excluded.
func (r *routing) servicesCalled(own string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.callReach.Reach(callReachKey)), func(name string) bool { return name == own })
}

// RoutesState is the dump of the published routes.
type RoutesState struct {
	Version uint64 `json:"version"`
	Count   int    `json:"count"`
	AgeMs   int64  `json:"age_ms"` // time in force, in milliseconds
	// Reach lists the services that requests entering here have reached.
	Reach []reach.State `json:"reach"`
}

func (r *routing) dump(now time.Time) RoutesState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RoutesState{Reach: r.routeReach.Dump(now)}
	if p := r.current.Load(); p != nil {
		s.Version = p.table.Version
		s.Count = p.table.Len()
		s.AgeMs = now.Sub(p.since).Milliseconds()
	}
	return s
}
