package node

import (
	"slices"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// roster guards the membership with a lock and caches the candidates of each service.
type roster struct {
	mu       sync.Mutex
	members  *membership.Members
	services map[string]*serviceView
}

// serviceView is one service as the dispatcher sees it.
type serviceView struct {
	version    uint64 // of the membership that the view was made from
	changes    uint64 // increases with each new view of the service
	candidates []balancer.Candidate
	// contents holds the ContentIncarnation of each candidate's record, in the order of candidates.
	contents []uint64
}

func newRoster(m *membership.Members) *roster {
	return &roster{members: m, services: make(map[string]*serviceView)}
}

// with calls f under the lock.
func (r *roster) with(f func(*membership.Members)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	f(r.members)
}

// collect calls f under the lock and returns the messages to send.
func (r *roster) collect(f func(*membership.Members) []membership.Send) []membership.Send {
	r.mu.Lock()
	defer r.mu.Unlock()
	return f(r.members)
}

func (r *roster) addSeeds(addrs []string) {
	r.with(func(m *membership.Members) { m.Seeds(addrs) })
}

// Candidates implements dispatch.Members.
func (r *roster) Candidates(service string) ([]balancer.Candidate, uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	v, ok := r.services[service]
	if ok && v.version == r.members.Version() {
		return v.candidates, v.changes
	}
	next := r.makeView(service, v)
	r.services[service] = next
	return next.candidates, next.changes
}

func (r *roster) makeView(service string, old *serviceView) *serviceView {
	v := &serviceView{version: r.members.Version(), changes: 1}
	now := time.Now()
	for _, rec := range r.members.OfService(service) {
		v.candidates = append(v.candidates, newCandidate(rec, old, now))
		v.contents = append(v.contents, rec.ContentIncarnation)
	}
	if old != nil {
		v.changes = old.changes + 1
	}
	return v
}

// newCandidate returns the candidate for a node. It is marked as new if the previous view
// lacks the node or has an earlier backend incarnation there: the backend server may still
// be slow. Without a previous view no node is marked.
func newCandidate(rec membership.Record, old *serviceView, now time.Time) balancer.Candidate {
	c := balancer.Candidate{ID: rec.ID, DataCentre: rec.DataCentre}
	if old == nil || len(old.candidates) == 0 {
		return c
	}
	for i, known := range old.candidates {
		if known.ID == rec.ID && old.contents[i] == rec.ContentIncarnation {
			return known
		}
	}
	c.Since = now
	return c
}

// Known implements dispatch.Members.
func (r *roster) Known(id wire.NodeID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.members.Lookup(id)
	return ok && !rec.State.Gone()
}

// Gone implements dispatch.Members.
func (r *roster) Gone(id wire.NodeID) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	rec, ok := r.members.Lookup(id)
	return ok && rec.State.Gone()
}

func (r *roster) lookup(id wire.NodeID) (membership.Record, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Lookup(id)
}

func (r *roster) view() []membership.Record {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.View()
}

func (r *roster) count() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Count()
}

func (r *roster) version() uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.members.Version()
}

// ofService returns the IDs of the nodes of a service that accept requests.
func (r *roster) ofService(service string) []wire.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()
	recs := r.members.OfService(service)
	ids := make([]wire.NodeID, 0, len(recs))
	for _, rec := range recs {
		ids = append(ids, rec.ID)
	}
	return ids
}

// othersOfService returns the IDs of the other nodes of a service, whether they accept requests or
// not.
func (r *roster) othersOfService(service string) []wire.NodeID {
	r.mu.Lock()
	defer r.mu.Unlock()
	self := r.members.Self().ID
	return slices.DeleteFunc(r.members.AllOfService(service), func(id wire.NodeID) bool { return id == self })
}

func (r *roster) configPeers() []config.Peer {
	view := r.view()
	peers := make([]config.Peer, 0, len(view))
	for _, rec := range view {
		peers = append(peers, config.Peer{ID: rec.ID, DataCentre: rec.DataCentre})
	}
	return peers
}
