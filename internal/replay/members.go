package replay

import (
	"slices"
	"sync"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/wire"
)

// members is the membership view that all nodes share.
type members struct {
	mu         sync.Mutex
	candidates map[string][]balancer.Candidate
	version    uint64
}

// Candidates implements dispatch.Members.
func (m *members) Candidates(service string) ([]balancer.Candidate, uint64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.candidates[service], m.version
}

// Known implements dispatch.Members. Nodes never stop.
func (m *members) Known(wire.NodeID) bool { return true }

// Gone implements dispatch.Members.
func (m *members) Gone(wire.NodeID) bool { return false }

// add adds a backend server to the candidates of its service.
func (m *members) add(service, centre string, id wire.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidates[service] = append(m.candidates[service], balancer.Candidate{ID: id, DataCentre: centre})
	m.version++
}

// remove takes a backend server out of service, as after a planned stop or a missed
// heartbeat.
func (m *members) remove(service string, id wire.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidates[service] = slices.DeleteFunc(slices.Clone(m.candidates[service]), func(c balancer.Candidate) bool { return c.ID == id })
	m.version++
}

func newMembers() *members { return &members{candidates: make(map[string][]balancer.Candidate)} }
