package readers

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// world simulates a store, the nodes of a fleet and the messages between them.
// The first two nodes are always considered readers and the first one the
// prover, even while they are down: membership detects no failure in time.
type world struct {
	rng   *rand.Rand
	now   time.Time
	nodes []*member
	// confirmedAt[i] is when version i+1 was confirmed.
	confirmedAt []time.Time
	// outage is the end of the store's outage, lastFault that of its last
	// fault.
	outage, lastFault time.Time
	// noProofs disables proofs: nodes never are unproved.
	noProofs bool
}

// member is a simulated node.
type member struct {
	plan *Routes
	// versions is the number of versions that the node has, provenAt when
	// these were last known to be all.
	versions int
	provenAt time.Time
	// sentAt is zero unless a read is pending. The read waits until waitUntil
	// and times out timeout later.
	sentAt, waitUntil time.Time
	timeout           time.Duration
	// lastAsked is when the node last asked a peer, lastAnswer when one
	// answered.
	lastAsked, lastAnswer time.Time
	// downUntil is when the node is up again, lastFault the end of its last
	// fault.
	downUntil, lastFault time.Time
	// partitionedUntil is when the node reaches other nodes again, refused
	// when the store accepts its calls again.
	partitionedUntil, refused time.Time
}

const (
	recoveryTime    = 3 * time.Second
	proofRefreshAge = 1040 * time.Millisecond
	askInterval     = 100 * time.Millisecond
	followTimeout   = 600 * time.Millisecond
	newestTimeout   = 2 * time.Second
	isolatedAfter   = 1600 * time.Millisecond
	deliveryRate    = 0.8 // share of the published versions that arrive
)

func newWorld(seed uint64, n int) *world {
	w := &world{rng: rand.New(rand.NewPCG(seed, 1)), now: start}
	for range n {
		w.nodes = append(w.nodes, &member{})
		w.restart(len(w.nodes) - 1)
	}
	w.publish()
	return w
}

func (w *world) publish() { w.confirmedAt = append(w.confirmedAt, w.now) }

func (w *world) restart(i int) {
	downUntil := w.now.Add(time.Duration(w.rng.IntN(800)) * time.Millisecond)
	partitionedUntil, refused := w.nodes[i].partitionedUntil, w.nodes[i].refused
	lastFault := downUntil
	if refused.After(lastFault) {
		lastFault = refused
	}
	*w.nodes[i] = member{plan: NewRoutes(fleetConfig(), w.rng.Uint64()), downUntil: downUntil, lastFault: lastFault, partitionedUntil: partitionedUntil, refused: refused}
}

func (w *world) isUp(r *member) bool   { return !w.now.Before(r.downUntil) }
func (w *world) served(r *member) bool { return !w.now.Before(w.outage) && !w.now.Before(r.refused) }

func (w *world) reachable(a, b *member) bool {
	return w.isUp(a) && w.isUp(b) && !w.now.Before(a.partitionedUntil) && !w.now.Before(b.partitionedUntil)
}

func (w *world) tick() {
	w.now = w.now.Add(tick)
	if w.rng.IntN(30) == 0 {
		w.publish()
	}
	if w.rng.IntN(150) == 0 {
		w.injectFault()
	}
	w.runNodes()
}

// runNodes runs all nodes for one tick.
func (w *world) runNodes() {
	for i, r := range w.nodes {
		if w.isUp(r) {
			w.runNode(i, r)
			w.askPeer(r)
		}
	}
}

func (w *world) injectFault() {
	span := time.Duration(w.rng.IntN(6000)) * time.Millisecond
	r := w.nodes[w.rng.IntN(len(w.nodes))]
	switch w.rng.IntN(6) {
	case 0:
		w.restart(w.rng.IntN(len(w.nodes)))
	case 1:
		for i := range w.nodes {
			w.restart(i)
		}
	case 2: // the nodes that others rely on
		w.restart(0)
		w.restart(1)
	case 3: // a node without peers has to stay current through the store
		r.partitionedUntil = w.now.Add(span)
	case 4:
		w.outage = w.now.Add(span / 2)
		w.lastFault = w.outage
	case 5: // other nodes have to stay current without the readers
		for _, r := range w.nodes[:2] {
			r.refused = w.now.Add(span)
			r.lastFault = r.refused
		}
	}
}

// runNode continues a pending read of a node, or takes the next step of its
// plan.
func (w *world) runNode(i int, r *member) {
	if !r.sentAt.IsZero() {
		w.finishRead(i, r)
		return
	}
	unproved := !w.noProofs && w.now.Sub(r.provenAt) > proofMaxAge
	next := r.plan.Next(w.now, NodeState{Reader: i < 2, Prover: i < 1, Routes: r.versions > 0, NeedsProof: unproved,
		Isolated: w.now.Sub(r.lastAnswer) > isolatedAfter, Neighbours: len(w.nodes)})
	if next.Action != Pause {
		r.sentAt, r.waitUntil, r.timeout = w.now, w.now.Add(next.For), followTimeout
		if next.Action == ReadCurrent {
			r.timeout = newestTimeout
		}
	}
}

// finishRead ends a read that the store answers now or that has timed out.
func (w *world) finishRead(i int, r *member) {
	switch {
	case !w.served(r), r.sentAt.Before(w.outage): // reads sent during an outage are never answered
		if w.now.Sub(r.waitUntil) > r.timeout {
			r.sentAt = time.Time{}
			r.plan.Failed(w.now)
		}
	case r.versions < len(w.confirmedAt) || !w.now.Before(r.waitUntil):
		hasNewVersion := r.versions < len(w.confirmedAt)
		r.learn(len(w.confirmedAt), r.sentAt)
		r.sentAt = time.Time{}
		r.plan.Answered(w.now)
		if i < 2 && hasNewVersion {
			w.publishTo(r)
		}
	}
}

// learn sets the versions received and the time of their proof.
func (r *member) learn(count int, moment time.Time) {
	if count >= r.versions && moment.After(r.provenAt) {
		r.provenAt = moment
	}
	r.versions = max(r.versions, count)
}

// publishTo sends the versions of a node to all others; some messages are
// lost.
func (w *world) publishTo(from *member) {
	for _, r := range w.nodes {
		if w.reachable(from, r) && w.rng.Float64() < deliveryRate {
			r.versions = max(r.versions, from.versions)
		}
	}
}

// askPeer requests the proof and versions of a peer, usually the prover.
func (w *world) askPeer(r *member) {
	if w.noProofs || w.now.Sub(r.provenAt) < proofRefreshAge || w.now.Sub(r.lastAsked) < askInterval {
		return
	}
	r.lastAsked = w.now
	peer := w.nodes[0]
	if w.rng.IntN(4) == 0 {
		peer = w.nodes[w.rng.IntN(len(w.nodes))]
	}
	if peer != r && w.reachable(r, peer) {
		r.lastAnswer = w.now
		r.learn(peer.versions, peer.provenAt)
	}
}

// lag returns how far the most outdated node is behind, of those that had no
// fault during recoveryTime.
func (w *world) lag() time.Duration {
	if w.now.Sub(w.lastFault) < recoveryTime {
		return 0
	}
	var maxLag time.Duration
	for _, r := range w.nodes {
		if !w.isUp(r) || w.now.Sub(r.lastFault) < recoveryTime || r.versions == len(w.confirmedAt) {
			continue
		}
		maxLag = max(maxLag, w.now.Sub(w.confirmedAt[r.versions]))
	}
	return maxLag
}

// maxLag runs the simulation for d and returns the largest lag.
func (w *world) maxLag(d time.Duration) time.Duration {
	var worst time.Duration
	for end := w.now.Add(d); w.now.Before(end); {
		w.tick()
		worst = max(worst, w.lag())
	}
	return worst
}

// Guards against nodes that reach the store but get versions late, under
// restarts, outages, partitions and message loss.
func TestReachableNodesApplyVersionsInTime(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 12).Draw(t, "nodes"))
		if lag := w.maxLag(20 * time.Second); lag >= applyLimit {
			t.Fatalf("%v behind", lag)
		}
	})
}

// Shows that the simulation detects outdated nodes: without proofs some lag.
func TestNodesWithoutProofsLag(t *testing.T) {
	is := is.New(t)
	w := newWorld(1, 8)
	w.noProofs = true
	lag := w.maxLag(time.Minute)
	t.Log(lag)
	is.True(lag >= applyLimit)
}

// runCalm runs the simulation for d without further faults and versions, and returns the
// largest lag.
func (w *world) runCalm(d time.Duration) (worst time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(tick)
		w.runNodes()
		worst = max(worst, w.lag())
	}
	return worst
}

// Guards against a read that was sent in the last moments of a silent outage and is never
// answered, and that delays the first version after it.
func TestReadSentAtTheEndOfAnOutageDelaysNoVersion(t *testing.T) {
	for seed := range uint64(200) {
		w := newWorld(seed, 2+int(seed%10))
		w.runCalm(3*time.Second + time.Duration(seed%40)*25*time.Millisecond)
		w.outage = w.now.Add(time.Duration(w.rng.IntN(3600)) * time.Millisecond)
		w.lastFault = w.outage
		w.runCalm(w.outage.Sub(w.now) + recoveryTime + time.Duration(w.rng.IntN(900))*time.Millisecond)
		w.publish()
		if lag := w.runCalm(3 * time.Second); lag >= applyLimit {
			t.Fatalf("seed %d: %v behind", seed, lag)
		}
	}
}
