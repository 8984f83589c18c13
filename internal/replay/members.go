package replay

import (
	"slices"
	"sync"

	"github.com/cassialoom/cassialoom/balancer"
	"github.com/cassialoom/cassialoom/wire"
)

// members is the view that all nodes share of who takes work.
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

// Known implements dispatch.Members; no node ends.
func (m *members) Known(wire.NodeID) bool { return true }

func (m *members) join(service, centre string, id wire.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidates[service] = append(m.candidates[service], balancer.Candidate{ID: id, DataCentre: centre})
	m.version++
}

// leave takes a backend server out of service: its node has told the others, as
// after a planned stop or a missed heartbeat.
func (m *members) leave(service string, id wire.NodeID) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.candidates[service] = slices.DeleteFunc(slices.Clone(m.candidates[service]), func(c balancer.Candidate) bool { return c.ID == id })
	m.version++
}

func newMembers() *members { return &members{candidates: make(map[string][]balancer.Candidate)} }
