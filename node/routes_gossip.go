package node

import (
	"time"

	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/readers"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/wire"
)

// routesRequestInterval is the time allowed for an answer to a request for newer routes
// before another peer is asked: several round trips between regions.
const routesRequestInterval = 250 * time.Millisecond

// routesMessage tells a peer which version of the routes is in force here. With Text it
// delivers that version, without it is an offer or a request.
type routesMessage struct {
	Version uint64 `cbor:"1,keyasint"`
	Text    []byte `cbor:"2,keyasint,omitempty"`
	// Want asks for the sender's routes, if they are newer than Version.
	Want bool `cbor:"3,keyasint,omitempty"`
	// Era is the era of the store as the sender knows it, sent with the first offer on a
	// connection.
	Era *eraReport `cbor:"4,keyasint,omitempty"`
}

// mayRequestRoutes reports whether a request for newer routes is due, and records it.
func (r *routing) mayRequestRoutes(now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if now.Sub(r.lastAskedAt) < routesRequestInterval {
		return false
	}
	r.lastAskedAt = now
	return true
}

// Publish puts routes in force. The text is as the operator wrote it; source names where it
// was read. A text that is invalid or older leaves the routes in force unchanged; Publish
// then returns false.
func (n *Node) Publish(text []byte, source string) bool {
	table, err := n.routing.decode(text)
	if err != nil {
		n.counts.RoutesRejected.Add(1)
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

// SourceStore is the source of routes read from the store.
const SourceStore = "store"

// minFleetReaders is the least number of readers in all data centres together: nodes that
// watch the routes in the store. Each one offers a new version to all other nodes, so some
// readers may be cut off from the store, or gone without being detected yet.
const minFleetReaders = 5

// readersPerDataCentre returns the number of readers in each data centre.
func readersPerDataCentre(centres int) int { return (minFleetReaders + centres - 1) / max(1, centres) }

// Reader reports whether this node is a reader of its data centre.
func (n *Node) Reader() bool { return n.NodeState().Reader }

// Provers poll the store to obtain freshness proofs, which they give to other nodes.
// minFleetProvers is their least number in all data centres together. Each data centre has
// at least one, so that proofs need not come from another, and one per nodesPerProver nodes,
// up to maxProvers. If all provers of a data centre are gone, its nodes read the store
// themselves until other provers are chosen.
const (
	minFleetProvers = 2
	maxProvers      = 16
	nodesPerProver  = 256
)

// proversPerDataCentre returns the number of provers in a data centre with this number of
// nodes.
func proversPerDataCentre(centres, nodes int) int {
	least := (minFleetProvers + centres - 1) / max(1, centres)
	return min(max(least, nodes/nodesPerProver), maxProvers)
}

// NodeState returns what decides how often this node reads the store. The readers of a data
// centre are its known nodes of lowest rank. The rank depends on the address alone, so after
// a restart of all nodes the same machines are readers and owners of quotas again and need
// not wait for the leases of others to expire. Nodes with different views may disagree on
// the readers for a while, which is harmless.
func (n *Node) NodeState() readers.NodeState {
	s := readers.NodeState{Routes: n.routing.table() != nil, NoPeers: true}
	s.NeedsProof, s.Isolated = n.quotas.proofState()
	ownRank := rank(n.cfg.PeerAddr)
	ranksBefore := make(map[uint64]struct{}) // a set: two incarnations at one address count once
	centres := map[string]struct{}{n.cfg.DataCentre: {}}
	n.members.with(func(m *membership.Members) {
		for rec := range m.All() {
			s.NoPeers = s.NoPeers && rec.ID == n.id
			if rec.DataCentre != n.cfg.DataCentre {
				centres[rec.DataCentre] = struct{}{}
				continue
			}
			s.Neighbours++
			p := rank(rec.PeerAddr)
			if p < ownRank && rec.State == membership.Alive && len(ranksBefore) < maxProvers {
				ranksBefore[p] = struct{}{}
			}
		}
	})
	s.Reader = len(ranksBefore) < readersPerDataCentre(len(centres))
	s.Prover = len(ranksBefore) < proversPerDataCentre(len(centres), s.Neighbours)
	return s
}

// offerRoutes announces a version to all other nodes; those that lack it request it.
func (n *Node) offerRoutes(version uint64) {
	n.sendToMembers(wire.KindRoutes, routesMessage{Version: version})
}

// Routes returns the routes in force, nil if none are known yet.
func (n *Node) Routes() *routes.Table { return n.routing.table() }

// requestNewerRoutes requests the routes of a peer if its version is newer, at most once per
// routesRequestInterval.
func (n *Node) requestNewerRoutes(from wire.NodeID, version uint64) {
	own := n.routing.version()
	if version <= own {
		return
	}
	now := time.Now()
	n.routing.noteNewerVersion(now)
	if !n.routing.mayRequestRoutes(now) {
		return
	}
	n.outbox.sendIfConnected(from, wire.KindRoutes, routesMessage{Version: own, Want: true})
}

// handleRoutes handles a request, a delivery or an offer of routes.
func (n *Node) handleRoutes(from wire.NodeID, m routesMessage) {
	if !n.routing.enabled() {
		return
	}
	n.receiveEra(m.Era)
	switch {
	case m.Want:
		n.sendRoutes(from, m.Version)
	case len(m.Text) > 0:
		n.Publish(m.Text, "peer "+from.Short())
	default:
		n.requestNewerRoutes(from, m.Version)
	}
}

// sendRoutes sends the routes in force to a peer that has an older version.
func (n *Node) sendRoutes(to wire.NodeID, have uint64) {
	p := n.routing.current.Load()
	if p == nil || p.table.Version <= have {
		return
	}
	n.outbox.sendIfConnected(to, wire.KindRoutes, routesMessage{Version: p.table.Version, Text: p.text})
}

// configVersion returns the version of the configuration in force, as replies report it.
func (n *Node) configVersion() uint64 {
	if n.routing.enabled() {
		return n.routing.version()
	}
	return n.graph.asOf()
}
