package node

import (
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/readers"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/wire"
)

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
	// Era is the store's as the sender knows it, with the first offer on a connection.
	Era *eraTold `cbor:"4,keyasint,omitempty"`
}

// mayAsk reports whether it is time to ask a peer for newer routes.
func (r *routing) mayAsk(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastAskedAt) < askAgainAfter {
		return false
	}
	r.lastAskedAt = now
	return true
}

// Publish takes routes as the operator wrote them, wherever they were read. A
// text that cannot be read, or is older, leaves the routes in force as they are; false then.
func (n *Node) Publish(text []byte, source string) bool {
	table, err := n.routing.decode(text)
	if err != nil {
		n.counts.RoutesRefused.Add(1)
		n.log.Error().Err(err).Str("source", source).Uint64("in_force", n.routing.version()).Msg("routes refused")
		return false
	}
	before := n.routing.version()
	now := time.Now()
	if !n.routing.install(now, table, text) {
		return table.Version == n.routing.version()
	}
	n.inForce.Store(table.Version)
	n.quotas.inForce(table.Version)
	n.counts.ConfigChanges.Add(1)
	n.log.Info().Uint64("version", table.Version).Uint64("before", before).Int("routes", table.Len()).
		Str("source", source).Dur("behind_ms", n.routing.resetLag(now)).Msg("routes in force")
	if source == SourceStore && n.Reader() {
		n.offerRoutes(table.Version)
	}
	return true
}

// SourceStore names the store as where routes were read.
const SourceStore = "store"

// readersOfFleet is the least number of nodes that follow the routes at the store, in
// all data centres together. Each tells all other nodes, so some may be cut off from
// the store, or gone and not yet missed.
const readersOfFleet = 5

// readersEach is the number of readers in each of so many data centres.
func readersEach(centres int) int { return (readersOfFleet + centres - 1) / max(1, centres) }

// Reader reports whether this node is one of the readers of its data centre.
func (n *Node) Reader() bool { return n.Situation().Reader }

// proversOfFleet is the least number of provers, of all data centres together; each data
// centre has one, so that proofs need not come from another. There is one for
// nodesOfProver nodes, whose questions it answers beside its own work, up to proversMost.
// When all of a data centre are gone its nodes read until their places are taken.
const (
	proversOfFleet = 2
	proversMost    = 16
	nodesOfProver  = 256
)

// proversEach is the number of provers in a data centre of so many nodes, one of so many.
func proversEach(centres, nodes int) int {
	least := (proversOfFleet + centres - 1) / max(1, centres)
	return min(max(least, nodes/nodesOfProver), proversMost)
}

// Situation is what decides how often this node calls the store. The readers of a
// data centre are the first of those that are known, by a hash of the address: after a
// restart of all nodes the same machines read and own quotas again, and need not wait for
// the leases of others to end. It is harmless if two views differ and more or fewer nodes
// take themselves for readers for a while.
func (n *Node) Situation() readers.Situation {
	s := readers.Situation{Routes: n.routing.table() != nil, Alone: true}
	s.Unproved, s.Isolated = n.quotas.proofs()
	own := place(n.cfg.PeerAddr)
	before := make(map[uint64]struct{}) // a machine whose node restarted is one
	centres := map[string]struct{}{n.cfg.DataCentre: {}}
	n.members.with(func(m *membership.Members) {
		for rec := range m.All() {
			s.Alone = s.Alone && rec.ID == n.id
			if rec.DataCentre != n.cfg.DataCentre {
				centres[rec.DataCentre] = struct{}{}
				continue
			}
			s.Neighbours++
			p := place(rec.PeerAddr)
			if p < own && rec.State == membership.Alive && len(before) < proversMost {
				before[p] = struct{}{}
			}
		}
	})
	s.Reader = len(before) < readersEach(len(centres))
	s.Prover = len(before) < proversEach(len(centres), s.Neighbours)
	return s
}

// offerRoutes tells all other nodes of a version; those that lack it ask.
func (n *Node) offerRoutes(version uint64) {
	n.sendToMembers(wire.KindRoutes, routesMessage{Version: version})
}

// Routes returns the routes in force, nil before any are known.
func (n *Node) Routes() *routes.Table { return n.routing.table() }

// sawRoutes asks a peer whose routes are newer for them.
func (n *Node) sawRoutes(from wire.NodeID, version uint64) {
	own := n.routing.version()
	if version <= own {
		return
	}
	now := time.Now()
	n.routing.noteNewerVersion(now)
	if !n.routing.mayAsk(now) {
		return
	}
	n.outbox.sendIfConnected(from, wire.KindRoutes, routesMessage{Version: own, Want: true})
}

func (n *Node) handleRoutes(from wire.NodeID, m routesMessage) {
	if !n.routing.enabled() {
		return
	}
	n.heardEra(m.Era)
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
	p := n.routing.current.Load()
	if p == nil || p.table.Version <= have {
		return
	}
	n.outbox.sendIfConnected(to, wire.KindRoutes, routesMessage{Version: p.table.Version, Text: p.text})
}

// configVersion is what replies say is in force here.
func (n *Node) configVersion() uint64 {
	if n.routing.enabled() {
		return n.routing.version()
	}
	return n.graph.asOf()
}
