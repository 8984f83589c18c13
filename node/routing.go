package node

import (
	"bytes"
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/reach"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
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

// askAgainAfter is how long an answer to a question for newer routes may take
// before another peer is asked: ten round trips between regions.
const askAgainAfter = 250 * time.Millisecond

// routesMessage tells a peer which version is in force here; with the text it
// is that version, without it an offer.
type routesMessage struct {
	Version uint64 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint,omitempty"`
	// Want asks for the sender's routes, if they are newer than Version.
	Want bool `cbor:"3,keyasint,omitempty"`
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

// mayAsk reports whether it is time to ask a peer for newer routes.
func (r *routing) mayAsk(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.askedAt) < askAgainAfter {
		return false
	}
	r.askedAt = now
	return true
}

// Publish takes routes as the operator wrote them, wherever they were read. A
// text that cannot be taken leaves the routes in force as they are.
func (n *Node) Publish(text []byte, source string) {
	table, err := n.routing.decode(text)
	if err != nil {
		n.counts.RoutesRefused.Add(1)
		n.log.Error().Err(err).Str("source", source).Uint64("in_force", n.routing.version()).Msg("routes refused")
		return
	}
	before := n.routing.version()
	if !n.routing.take(time.Now(), table, text) {
		return
	}
	n.inForce.Store(table.Version)
	n.counts.ConfigChanges.Add(1)
	n.log.Info().Uint64("version", table.Version).Uint64("before", before).Int("routes", table.Len()).
		Str("source", source).Msg("routes in force")
	if source == SourceStore && n.Reader() {
		n.offerRoutes(table.Version)
	}
}

// SourceStore names the store as where routes were read.
const SourceStore = "store"

// readersPerDataCentre is the number of nodes that read the store often. One may
// be cut off from it, or gone and not yet missed.
const readersPerDataCentre = 2

// Reader reports whether this node is one of the readers of its data centre: the
// first by identity of those that are known. It is harmless if two views differ
// and more or fewer nodes take themselves for readers for a while.
func (n *Node) Reader() bool {
	before := 0
	for _, rec := range n.members.view() {
		if rec.DataCentre == n.cfg.DataCentre && rec.State == membership.Alive && bytes.Compare(rec.ID[:], n.id[:]) < 0 {
			before++
		}
	}
	return before < readersPerDataCentre
}

// offerRoutes tells all other nodes of a version; those that lack it ask.
func (n *Node) offerRoutes(version uint64) {
	for _, rec := range n.members.view() {
		if rec.ID != n.id && !rec.State.Gone() {
			n.posts.post(rec.ID, wire.KindRoutes, routesMessage{Version: version})
		}
	}
}

// Routes returns the routes in force, nil before any are known.
func (n *Node) Routes() *routes.Table { return n.routing.table() }

// sawRoutes asks a peer whose routes are newer for them.
func (n *Node) sawRoutes(from wire.NodeID, version uint64) {
	own := n.routing.version()
	if version <= own || !n.routing.mayAsk(time.Now()) {
		return
	}
	n.posts.answer(from, wire.KindRoutes, routesMessage{Version: own, Want: true})
}

func (n *Node) handleRoutes(from wire.NodeID, m routesMessage) {
	if !n.routing.enabled() {
		return
	}
	switch {
	case m.Want:
		n.giveRoutes(from, m.Version)
	case len(m.Text) > 0:
		n.Publish(m.Text, "peer "+from.Short())
	default:
		n.sawRoutes(from, m.Version)
	}
}

func (n *Node) giveRoutes(to wire.NodeID, have uint64) {
	p := n.routing.force.Load()
	if p == nil || p.table.Version <= have {
		return
	}
	n.posts.answer(to, wire.KindRoutes, routesMessage{Version: p.table.Version, Text: p.text})
}

// configVersion is what replies say is in force here.
func (n *Node) configVersion() uint64 {
	if n.routing.enabled() {
		return n.routing.version()
	}
	return n.graph.asOf()
}

// operation finds what a call asks for. A call for a route brings all that the
// callee needs: its sender may know a newer version of the routes.
func (n *Node) operation(req call.Request) (op *graph.Operation, configured bool) {
	if !n.routing.enabled() {
		return n.graph.operation(req.Service, req.Operation)
	}
	return graph.Standalone(graph.Operation{
		Service:    req.Service,
		Name:       req.Operation,
		Idempotent: req.Idempotent,
		Importance: req.Importance,
	}), true
}

// Forward takes a request that came by host and path to the backend server
// that its route names.
func (n *Node) Forward(ctx context.Context, in entry.Incoming, path string) call.Outcome {
	n.entered.Add(1)
	defer n.entered.Add(-1)
	out := n.forward(ctx, in, path)
	n.counts.Outcome(out.Verdict, out.Reason)
	return out
}

// timed adds the latency of a request that was answered by a backend server.
func (n *Node) timed(p dispatch.Params, received time.Time, out call.Outcome) {
	if out.Reason != verdict.None {
		return
	}
	whole := time.Since(received)
	n.counts.Latencies.Observe(p.Operation.Name, ops.HopWhole, whole)
	n.counts.Latencies.Observe(p.Operation.Name, ops.HopAdded, whole-out.RanFor)
}

func (n *Node) forward(ctx context.Context, in entry.Incoming, path string) call.Outcome {
	if n.closedToCallers(time.Now()) {
		return call.Failed(verdict.Refuse(verdict.Draining, "this node is leaving").After(refuseRetryAfter))
	}
	table := n.routing.table()
	if table == nil {
		return call.Failed(verdict.Refuse(verdict.NoConfiguration, "this node has no routes yet").After(refuseRetryAfter))
	}
	route, ok := table.Find(in.HTTP.Host, path)
	if !ok {
		return call.Failed(verdict.Refuse(verdict.UnknownOperation, "no route for %s%s in version %d", in.HTTP.Host, path, table.Version))
	}
	op := n.routing.pick(table, route).Operation
	in.HTTP.Origin = n.cfg.Service
	p := routeParams(in, op)
	p.Version = table.Version
	var out call.Outcome
	if parent, ok := n.server.running(in.Parent); ok && in.Parent != "" {
		out = n.forwardCall(ctx, parent, p)
	} else {
		out = n.forwardRoot(ctx, p)
	}
	n.timed(p, in.Received, out)
	return out
}

func routeParams(in entry.Incoming, op *graph.Operation) dispatch.Params {
	return dispatch.Params{
		RequestID:   in.RequestID,
		Operation:   op,
		Importance:  op.Importance,
		Deadline:    in.Received.Add(budget(in, op)),
		Ledger:      retry.New(uint32(op.ExtraAttempts)),
		Fanout:      1,
		Fingerprint: poison.Fingerprint(op.Service, in.HTTP.Origin, in.HTTP.Method+in.HTTP.Target, in.Body),
		Header:      in.Header,
		Body:        in.Body,
		HTTP:        in.HTTP,
	}
}

// forwardRoot takes a request that enters the system here.
func (n *Node) forwardRoot(ctx context.Context, p dispatch.Params) call.Outcome {
	defer n.dispatch.CloseLedger(p.Ledger)
	p.Entering = true
	p.Reach = n.routing.reach(p.Operation)
	out := n.dispatch.Call(ctx, p)
	if out.Verdict == verdict.Ran {
		n.routing.learn(time.Now(), p.Operation, out.Reached)
	}
	return out
}

// forwardCall makes a call for a request that runs at the backend server. It has
// no more time than that request and ranks like the one that it was made for.
//
// It does not end when the request is cancelled: the backend server is told of
// that, and closes the connections of its calls if it gives up. An answer from
// here in place of one that is on its way would be a false failure for a
// backend server that goes on.
func (n *Node) forwardCall(ctx context.Context, parent *run, p dispatch.Params) call.Outcome {
	defer n.dispatch.CloseLedger(p.Ledger)
	req := &parent.task.Request
	p.Root = req.RootID()
	p.Importance = req.Importance
	p.Depth = req.Depth + 1
	p.Admitted = true
	p.Repeat = req.Repeat
	if parent.task.Deadline.Before(p.Deadline) {
		p.Deadline = parent.task.Deadline
	}
	out := n.callBeside(ctx, parent, p)
	if n.routing.learnOwn(time.Now(), p.Operation.Service, out.Reached) {
		n.dispatch.PassOn(n.routing.below(n.cfg.Service))
	}
	return out
}

// budget is the time that a request has: its caller's, but no more than the
// operation allows.
func budget(in entry.Incoming, op *graph.Operation) time.Duration {
	if in.Budget > 0 {
		return min(op.Deadline, in.Budget)
	}
	return op.Deadline
}
