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

// A node that hears of no newer version knows nothing by that: those who read the store
// for it may be gone, starting, or out of its reach. So each node keeps a proof that its
// routes are the newest, asks its peers for a younger one before it is too old, and reads
// the store itself when they have none.

const (
	// proofSoon is the part of the age allowed at which the next proof is asked for.
	proofSoon = 0.65
	// proofLate is that at which the node reads the store itself. The rest is for a
	// first read that fails.
	proofLate = 0.8
)

// Proved says that at a moment, by LeaseClock, nothing newer was published than what is
// in force here.
func (n *Node) Proved(at time.Time) {
	version := n.routing.version()
	n.quotas.with(func(time.Time) {
		n.quotas.proof.Learn(freshness.Proof{Version: version, At: at})
		n.quotas.tell()
	})
}

// EraSeen takes the era that an answer of the store named and returns since when this node
// or a peer has known it; zero if the store never came back from an older copy.
func (n *Node) EraSeen(era uint64) (since time.Time) {
	n.quotas.with(func(now time.Time) { since = n.quotas.eras.Seen(now, era) })
	return since
}

// eraTold is what a node tells others of the store's era.
type eraTold struct {
	_   struct{} `cbor:",toarray"`
	Era uint64
	// AgeMillis is how long the sender has known it, rounded down: on its way the message
	// grows older.
	AgeMillis uint64
}

// eraAgeMost bounds what a peer may say: beyond it an era is old all the same.
const eraAgeMost = time.Hour

// era is what this node tells others, nil in the first era.
func (n *Node) era() (told *eraTold) {
	n.quotas.with(func(now time.Time) {
		if era, since := n.quotas.eras.Present(); era > 0 {
			told = &eraTold{Era: era, AgeMillis: uint64(now.Sub(since).Milliseconds())}
		}
	})
	return told
}

func (n *Node) heardEra(told *eraTold) {
	if told == nil {
		return
	}
	age := time.Duration(min(told.AgeMillis, uint64(eraAgeMost.Milliseconds()))) * time.Millisecond
	n.quotas.with(func(now time.Time) { n.quotas.eras.Told(now.Add(-age), told.Era) })
}

// isolatedAfter is how long a node that asks is without an answer before it takes itself
// for cut off from its peers: two of the longest pauses between questions.
const isolatedAfter = 2 * proofPauseMost

// proofs tells what decides whether the node reads the store itself: whether nobody whom it
// reaches has proved the configuration for long, and whether it reaches anybody.
func (q *quotas) proofs() (unproved, isolated bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.clock()
	return !q.proved(now, proofLate), now.Sub(q.answeredAt) > isolatedAfter
}

// proved reports whether the proof of the configuration is younger than a part of the age
// allowed; any is where no age is. The caller holds the lock.
func (q *quotas) proved(now time.Time, part float64) bool {
	return q.provenWithin == 0 || q.provedFor(now, part) >= 0
}

// provedFor is how long the proof stays younger than a part of the age allowed; negative
// if it is older or there is none. The caller holds the lock.
func (q *quotas) provedFor(now time.Time, part float64) time.Duration {
	age, known := q.proof.Age(now)
	if !known {
		return -1
	}
	return time.Duration(part*float64(q.provenWithin)) - age
}

// vainAtOnce questions for a proof may fail before the pauses between them double, up to
// proofPauseMost: while the store is away no node has one, and all of a fleet ask.
const (
	vainAtOnce     = 3
	proofPauseMost = 800 * time.Millisecond
)

// proofPause is the time between two questions for a proof. The caller holds the lock.
func (q *quotas) proofPause(now time.Time) time.Duration {
	waiting := q.inUse(now) && !q.fresh(now)
	if waiting || q.vain <= vainAtOnce {
		return guideEvery
	}
	return min(guideEvery<<(q.vain-vainAtOnce), proofPauseMost)
}

// askedInVain is the number of questions in a row that brought no young proof, but for the
// one to be sent now.
func (q *quotas) askedInVain() int {
	q.mu.Lock()
	defer q.mu.Unlock()
	return max(0, q.vain-1)
}

// fresh reports whether keys may be judged by the configuration. The caller holds the lock.
func (q *quotas) fresh(now time.Time) bool {
	return q.freshWithin == 0 || q.proof.Fresh(now, q.freshWithin)
}

// proverShare of the questions for a proof goes to the provers of this data centre, and with
// each one in vain to one more of those that come next: the provers may be gone. nearShare
// goes to any node there, and the rest to any node: a whole data centre may be cut off from
// the store.
const (
	proverShare = 0.75
	nearShare   = 0.15
)

// guideTo picks a node that may know what is missing, false if there is no other node.
func (n *Node) guideTo(m missing) (wire.NodeID, bool) {
	others := n.others()
	switch {
	case len(others) == 0:
		return wire.NodeID{}, false
	case m == whereabouts:
		return guide(others), true
	}
	near, centres := nearOf(others, n.cfg.DataCentre)
	chance := rand.Float64()
	switch {
	case len(near) == 0, chance >= proverShare+nearShare:
	case chance < proverShare:
		others = firstOf(near, proversEach(centres, len(near)+1)+n.quotas.askedInVain())
	default:
		others = near
	}
	return others[rand.IntN(len(others))].id, true
}

// nearOf returns the nodes of a data centre, and the number of data centres with that one.
func nearOf(nodes []placed, dataCentre string) (near []placed, centres int) {
	names := map[string]struct{}{dataCentre: {}}
	for _, o := range nodes {
		names[o.dataCentre] = struct{}{}
		if o.dataCentre == dataCentre {
			near = append(near, o)
		}
	}
	return near, len(names)
}

// firstOf returns the first nodes by their places.
func firstOf(nodes []placed, most int) []placed {
	slices.SortFunc(nodes, func(a, b placed) int { return cmp.Compare(a.place, b.place) })
	return nodes[:min(len(nodes), most)]
}

// others lists the other nodes that are alive.
func (n *Node) others() []placed {
	var others []placed
	n.members.with(func(m *membership.Members) {
		for rec := range m.All() {
			if rec.ID != n.id && rec.State == membership.Alive {
				others = append(others, placed{id: rec.ID, dataCentre: rec.DataCentre, place: place(rec.PeerAddr)})
			}
		}
	})
	return others
}
