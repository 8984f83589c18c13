package membership

import (
	"bytes"
	"iter"
	"slices"

	"github.com/cassialoom/cassialoom/wire"
)

// serviceIndex holds the members of one service and the cached result of
// OfService.
type serviceIndex struct {
	members []*member
	cached  []Record
	valid   bool
}

// bumpVersion marks a change of the view.
func (m *Members) bumpVersion() { m.version++ }

// Version returns a number that changes with every change of the view.
func (m *Members) Version() uint64 { return m.version }

// Count returns the number of other members that are not gone, plus this node.
func (m *Members) Count() int { return len(m.roster) + 1 }

// View returns the members that are not gone, this node included, sorted by
// identity. Callers must not modify the slice; later changes do not affect it.
func (m *Members) View() []Record {
	if m.viewVersion == m.version {
		return m.view
	}
	view := make([]Record, 0, len(m.roster)+1)
	if !m.self.State.Gone() {
		view = append(view, m.self.Record)
	}
	for _, mem := range m.roster {
		view = append(view, mem.Record)
	}
	sortByID(view)
	m.view = view
	m.viewVersion = m.version
	return view
}

// All iterates over the members that are not gone, in no particular order. It
// is cheaper than View. Callers must neither modify nor keep the records.
func (m *Members) All() iter.Seq[*Record] {
	return func(yield func(*Record) bool) {
		if !m.self.State.Gone() && !yield(&m.self.Record) {
			return
		}
		for _, mem := range m.roster {
			if !yield(&mem.Record) {
				return
			}
		}
	}
}

func sortByID(rs []Record) {
	slices.SortFunc(rs, func(a, b Record) int { return bytes.Compare(a.ID[:], b.ID[:]) })
}

// Lookup returns the record of a member, even if the member is gone.
func (m *Members) Lookup(id wire.NodeID) (Record, bool) {
	mem := m.table[id]
	if mem == nil {
		return Record{}, false
	}
	return mem.Record, true
}

// Self returns this node's record.
func (m *Members) Self() Record { return m.self.Record }

// OfService returns the members of a service that accept work, sorted by
// identity. If none is Alive it returns the suspects: a node that is cut off
// for a moment suspects everybody, and a suspect may still be able to serve.
// Callers must not modify the slice; later changes do not affect it.
func (m *Members) OfService(service string) []Record {
	ix := m.services[service]
	if ix == nil {
		return nil
	}
	if !ix.valid {
		ix.cached = ix.inState(Alive)
		if len(ix.cached) == 0 {
			ix.cached = ix.inState(Suspect)
		}
		ix.valid = true
	}
	return ix.cached
}

// AllOfService returns the IDs of the members of a service that are not gone, whether they accept
// work or not, in no particular order.
func (m *Members) AllOfService(service string) []wire.NodeID {
	ix := m.services[service]
	if ix == nil {
		return nil
	}
	ids := make([]wire.NodeID, 0, len(ix.members))
	for _, mem := range ix.members {
		ids = append(ids, mem.ID)
	}
	return ids
}

func (ix *serviceIndex) inState(state State) []Record {
	var rs []Record
	for _, mem := range ix.members {
		if mem.State == state && mem.Ready {
			rs = append(rs, mem.Record)
		}
	}
	sortByID(rs)
	return rs
}

// index adds a member that is not gone to the index of its service.
func (m *Members) index(mem *member) {
	if mem.Service == "" || mem.State.Gone() {
		return
	}
	ix := m.services[mem.Service]
	if ix == nil {
		ix = &serviceIndex{}
		m.services[mem.Service] = ix
	}
	ix.valid = false
	if !slices.Contains(ix.members, mem) {
		ix.members = append(ix.members, mem)
	}
}

// reindex updates the service index after a change of state or service.
func (m *Members) reindex(mem *member, oldService string) {
	if ix := m.services[oldService]; ix != nil {
		ix.valid = false
		if mem.Service != oldService || mem.State.Gone() {
			m.unindex(ix, oldService, mem)
		}
	}
	m.index(mem)
}

func (m *Members) unindex(ix *serviceIndex, service string, mem *member) {
	if i := slices.Index(ix.members, mem); i >= 0 {
		ix.members = slices.Delete(ix.members, i, i+1)
	}
	if len(ix.members) == 0 {
		delete(m.services, service)
	}
}

// intern shares equal names between records, to save memory.
func (m *Members) intern(r *Record) {
	r.Service = m.internString(r.Service)
	r.DataCentre = m.internString(r.DataCentre)
	r.Region = m.internString(r.Region)
}

// internString returns the shared copy of a name.
func (m *Members) internString(name string) string {
	if s, ok := m.interned[name]; ok {
		return s
	}
	if len(m.interned) >= m.cfg.MaxMembers {
		clear(m.interned)
	}
	m.interned[name] = name
	return name
}
