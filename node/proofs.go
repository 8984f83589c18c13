package node

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/freshness"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// A node that receives no newer version cannot conclude that there is none: the nodes that
// read the store may be gone, starting or unreachable. So each node keeps a freshness proof
// of its routes, asks its peers for a newer proof before its own expires, and reads the
// store itself when they have none.

const (
	// proofRequestShare is the share of the maximum proof age at which a node asks a peer
	// for a newer proof.
	proofRequestShare = 0.65
	// proofReadShare is the share of the maximum proof age at which a node reads the store
	// itself. The rest leaves time to retry a failed read.
	proofReadShare = 0.8
)

// RecordProof records that the version in force here was the newest at the given time of
// LeaseClock.
func (n *Node) RecordProof(at time.Time) {
	version := n.routing.version()
	n.quotas.with(func(time.Time) {
		n.quotas.proof.AddProof(freshness.Proof{Version: version, At: at})
		n.quotas.notifyWaiters()
	})
}

// RecordEra records the era named in an answer of the store. It returns when this node or a
// peer first saw that era, or zero if the store was never restored from an older copy.
func (n *Node) RecordEra(era uint64) (since time.Time) {
	n.quotas.with(func(now time.Time) { since = n.quotas.eras.ReportedByStore(now, era) })
	return since
}

// eraReport tells a peer the era of the store: the epoch between two restores of the store.
type eraReport struct {
	_   struct{} `cbor:",toarray"`
	Era uint64
	// AgeMillis is how long the sender has known the era, rounded down: the time in transit
	// adds to it.
	AgeMillis uint64
}

// maxEraAge bounds the age that a peer may report; a larger age changes no decision.
const maxEraAge = time.Hour

// currentEra returns the report for peers, nil in the first era.
func (n *Node) currentEra() (report *eraReport) {
	n.quotas.with(func(now time.Time) {
		if currentEra, since := n.quotas.eras.Present(); currentEra > 0 {
			report = &eraReport{Era: currentEra, AgeMillis: uint64(now.Sub(since).Milliseconds())}
		}
	})
	return report
}

// receiveEra applies the era report of a peer, if there is one.
func (n *Node) receiveEra(report *eraReport) {
	if report == nil {
		return
	}
	age := time.Duration(min(report.AgeMillis, uint64(maxEraAge.Milliseconds()))) * time.Millisecond
	n.quotas.with(func(now time.Time) { n.quotas.eras.ReportedByPeer(now.Add(-age), report.Era) })
}

// isolatedAfter is the time without an answer from any peer after which a node considers
// itself isolated: two proof requests at the longest interval.
const isolatedAfter = 2 * maxProofInterval

// proofState returns what decides whether the node reads the store itself: unproved if its
// freshness proof is about to expire, and isolated if no peer answers.
func (q *quotas) proofState() (unproved, isolated bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	return !q.proofWithin(now, proofReadShare), now.Sub(q.lastAnswerAt) > isolatedAfter
}

// proofWithin reports whether the freshness proof is younger than a share of the maximum
// age; always true without a maximum. The caller holds the lock.
func (q *quotas) proofWithin(now time.Time, share float64) bool {
	return q.provenWithin == 0 || q.proofRemaining(now, share) >= 0
}

// proofRemaining returns how long the freshness proof stays younger than a share of the
// maximum age; negative if it is older or missing. The caller holds the lock.
func (q *quotas) proofRemaining(now time.Time, share float64) time.Duration {
	age, known := q.proof.Age(now)
	if !known {
		return -1
	}
	return time.Duration(share*float64(q.provenWithin)) - age
}

// After fastProofAttempts failed proof requests the interval between them doubles with each
// further failure, up to maxProofInterval. This limits the load when the store is down: then
// no node has a recent proof and every node asks.
const (
	fastProofAttempts = 3
	maxProofInterval  = 800 * time.Millisecond
)

// proofInterval returns the time between two proof requests. The caller holds the lock.
func (q *quotas) proofInterval(now time.Time) time.Duration {
	waiting := q.keysInUse(now) && !q.fresh(now)
	if waiting || q.proofAttempts <= fastProofAttempts {
		return lookupInterval
	}
	return min(lookupInterval<<(q.proofAttempts-fastProofAttempts), maxProofInterval)
}

// failedProofAttempts returns the number of consecutive requests that brought no recent
// proof, without the one that is about to be sent.
func (q *quotas) failedProofAttempts() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.proofAttempts-1)
}

// fresh reports whether the configuration is fresh enough to check keys. The caller holds
// the lock.
func (q *quotas) fresh(now time.Time) bool {
	return q.freshWithin == 0 || q.proof.Fresh(now, q.freshWithin)
}

// proverShare of the proof requests goes to the provers of the own data centre; each failed
// attempt adds the node next in rank, since the provers may be gone. localShare goes to any
// node of that data centre. The rest goes to any node of the fleet: a whole data centre may
// be cut off from the store.
const (
	proverShare = 0.75
	localShare  = 0.15
)

// pickPeer picks a peer that may have the missing information; false if there is no peer.
func (n *Node) pickPeer(m missingInfo) (wire.NodeID, bool) {
	livePeers := n.livePeers()
	switch {
	case len(livePeers) == 0:
		return wire.NodeID{}, false
	case m == missingOwners:
		return pickLikelyOwner(livePeers), true
	}
	local, centres := inDataCentre(livePeers, n.cfg.DataCentre)
	draw := rand.Float64()
	switch {
	case len(local) == 0, draw >= proverShare+localShare:
	case draw < proverShare:
		livePeers = lowestRanked(local, proversPerDataCentre(centres, len(local)+1)+n.quotas.failedProofAttempts())
	default:
		livePeers = local
	}
	return livePeers[rand.IntN(len(livePeers))].id, true
}

// inDataCentre returns the nodes of a data centre, and the number of all data centres
// including that one.
func inDataCentre(nodes []rankedNode, dataCentre string) (local []rankedNode, centres int) {
	names := map[string]struct{}{dataCentre: {}}
	for _, o := range nodes {
		names[o.dataCentre] = struct{}{}
		if o.dataCentre == dataCentre {
			local = append(local, o)
		}
	}
	return local, len(names)
}

// lowestRanked returns at most limit nodes, lowest rank first. It sorts nodes in place.
func lowestRanked(nodes []rankedNode, limit int) []rankedNode {
	slices.SortFunc(nodes, func(a, b rankedNode) int { return cmp.Compare(a.rank, b.rank) })
	return nodes[:min(len(nodes), limit)]
}

// livePeers lists the other nodes that are alive.
func (n *Node) livePeers() []rankedNode {
	var livePeers []rankedNode
	n.members.with(func(m *membership.Members) {
		for rec := range m.All() {
			if rec.ID != n.id && rec.State == membership.Alive {
				livePeers = append(livePeers, rankedNode{id: rec.ID, dataCentre: rec.DataCentre, rank: rank(rec.PeerAddr)})
			}
		}
	})
	return livePeers
}
