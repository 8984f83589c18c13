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

// routing holds the published routes in force. Requests read them without a
// lock.
type routing struct {
	decode func(text []byte) (*routes.Table, error)
	force  atomic.Pointer[published]

	mu       sync.Mutex
	splitter *routes.Splitter
	// askedAt is when a peer was last asked for a newer version.
	askedAt time.Time
	// heardAt is when a peer first named a version newer than the one in force, zero if
	// none has.
	heardAt time.Time
	// book holds what requests that entered here have reached, by route and
	// service, and calls the same of the backend server's own calls.
	book, calls *reach.Book
}

// published is a version of the routes with the text that it was made from,
// which is what peers are given.
type published struct {
	table *routes.Table
	text  []byte
	since time.Time
}

func newRouting(decode func([]byte) (*routes.Table, error)) *routing {
	return &routing{decode: decode, splitter: routes.NewSplitter(),
		book: reach.New(reach.DefaultConfig()), calls: reach.New(reach.DefaultConfig())}
}

// enabled reports whether the node serves published routes instead of a graph
// text.
func (r *routing) enabled() bool { return r.decode != nil }

func (r *routing) table() *routes.Table {
	if p := r.force.Load(); p != nil {
		return p.table
	}
	return nil
}

func (r *routing) version() uint64 {
	if t := r.table(); t != nil {
		return t.Version
	}
	return 0
}

// take puts a version in force if it is newer than the one that is. A version
// never goes back while the process lives, whoever brings it.
func (r *routing) take(now time.Time, table *routes.Table, text []byte) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if table.Version <= r.version() {
		return false
	}
	r.force.Store(&published{table: table, text: text, since: now})
	return true
}

// heard notes that a peer has named a newer version than the one in force.
func (r *routing) heard(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.heardAt.IsZero() {
		r.heardAt = now
	}
}

// caughtUp notes that a newer version is in force and returns the time since a peer first
// named one, zero if none did.
func (r *routing) caughtUp(now time.Time) (behind time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if !r.heardAt.IsZero() {
		behind = now.Sub(r.heardAt)
	}
	r.heardAt = time.Time{}
	return behind
}

// pick returns the share of the route whose turn it is.
func (r *routing) pick(t *routes.Table, route *routes.Route) *routes.Share {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.splitter.Next(t, route)
}

// bookKey tells the parts of a split route apart: each service calls others.
func bookKey(op *graph.Operation) string { return op.Name + " " + op.Service }

// reach lists the services that requests for the operation lead to, its own
// among them; nil before any is known.
func (r *routing) reach(op *graph.Operation) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.book.Reach(bookKey(op))
}

func (r *routing) learn(now time.Time, op *graph.Operation, reached []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.book.Learn(now, bookKey(op), append(reached, op.Service))
}

// ownCalls is the key of what the backend server's calls reach.
const ownCalls = ""

// learnOwn notes what a call of the backend server reached, and reports whether
// that is new.
func (r *routing) learnOwn(now time.Time, service string, reached []string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.calls.Learn(now, ownCalls, append(reached, service))
}

// below lists the services that the backend server's calls reach, without its
// own.
func (r *routing) below(own string) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(r.calls.Reach(ownCalls)), func(name string) bool { return name == own })
}

// RoutesState is the state for people.
type RoutesState struct {
	Version uint64 `json:"version"`
	Count   int    `json:"count"`
	AgeMs   int64  `json:"age_ms"`
	// Reach is what requests that entered here have reached.
	Reach []reach.State `json:"reach"`
}

func (r *routing) dump(now time.Time) RoutesState {
	r.mu.Lock()
	defer r.mu.Unlock()
	s := RoutesState{Reach: r.book.Dump(now)}
	if p := r.force.Load(); p != nil {
		s.Version = p.table.Version
		s.Count = p.table.Len()
		s.AgeMs = now.Sub(p.since).Milliseconds()
	}
	return s
}
