package readers

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"
)

var start = time.Unix(1_000_000, 0)

// fleet simulates one data centre whose nodes follow the routes of one store.
// The first two nodes are its readers, and the first one is the prover.
type fleet struct {
	nodes []*Routes
	// published is the number of versions in the store, versions the number
	// that each node has in force.
	published   int
	versions    []int
	waiting     []bool
	waitUntil   []time.Time
	calls       int
	callsByNode []int
	storeDown   bool
	// provenAt is the time of each node's latest proof, sentAt that of its
	// last read.
	provenAt, sentAt []time.Time
}

// proofMaxAge is the age of a proof at which a node reads the store itself.
const proofMaxAge = 1280 * time.Millisecond

func newFleet(n int) *fleet {
	f := &fleet{published: 1}
	for i := range n {
		f.nodes = append(f.nodes, NewRoutes(fleetConfig(), uint64(i)))
	}
	f.versions = make([]int, n)
	f.waiting = make([]bool, n)
	f.waitUntil = make([]time.Time, n)
	f.provenAt = make([]time.Time, n)
	f.sentAt = make([]time.Time, n)
	f.callsByNode = make([]int, n)
	return f
}

// fleetConfig has waits short enough for the prover to keep all proofs recent.
func fleetConfig() RoutesConfig {
	cfg := DefaultRoutesConfig()
	cfg.Wait, cfg.ProverWait = 1200*time.Millisecond, 400*time.Millisecond
	return cfg
}

const tick = 10 * time.Millisecond

// run advances the time by d and returns the end; each node acts by its plan.
func (f *fleet) run(now time.Time, d time.Duration) time.Time {
	for end := now.Add(d); now.Before(end); now = now.Add(tick) {
		for i := range f.nodes {
			f.runNode(now, i)
		}
	}
	return now
}

func (f *fleet) runNode(now time.Time, i int) {
	if f.waiting[i] {
		if f.storeDown || f.versions[i] == f.published && now.Before(f.waitUntil[i]) {
			return
		}
		f.waiting[i] = false
		f.receiveRoutes(i)
		f.nodes[i].Answered(now)
	}
	s := NodeState{Reader: i < 2, Prover: i < 1, Routes: f.versions[i] > 0, Neighbours: len(f.nodes), NeedsProof: now.Sub(f.provenAt[i]) > proofMaxAge}
	next := f.nodes[i].Next(now, s)
	if next.Action == Pause {
		return
	}
	f.calls++
	f.callsByNode[i]++
	f.sentAt[i] = now
	switch {
	case f.storeDown:
		f.nodes[i].Failed(now)
	case next.For > 0:
		f.waiting[i], f.waitUntil[i] = true, now.Add(next.For)
	default:
		f.receiveRoutes(i)
		f.nodes[i].Answered(now)
	}
}

// receiveRoutes sets the routes of the store on a node. Readers publish them
// to all nodes that have started.
func (f *fleet) receiveRoutes(i int) {
	f.setRoutes(i, f.sentAt[i])
	if i < 2 {
		for k := range f.versions {
			if f.versions[k] > 0 {
				f.setRoutes(k, f.sentAt[i])
			}
		}
	}
}

func (f *fleet) setRoutes(i int, proof time.Time) {
	f.versions[i] = f.published
	if proof.After(f.provenAt[i]) {
		f.provenAt[i] = proof
	}
}

// Guards against calls to the store that grow with the number of nodes, in a
// fleet at rest or when routes change.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	is := is.New(t)
	calls := func(n int) (rest, changes int) {
		f := newFleet(n)
		now := f.run(start, 30*time.Second)
		f.calls = 0
		now = f.run(now, time.Minute)
		rest, f.calls = f.calls, 0
		for range 20 {
			f.published++
			now = f.run(now, time.Second)
		}
		return rest, f.calls
	}
	rest40, changes40 := calls(40)
	rest400, changes400 := calls(400)
	t.Log(rest40, rest400, changes40, changes400)
	cfg := fleetConfig()
	reads := int(time.Minute/cfg.Wait) + int(time.Minute/cfg.ProverWait) + int(time.Minute/cfg.CheckPerNode)
	is.True(rest400 < 2*rest40 && rest400 <= reads)
	is.True(changes400 <= reads/3+2*20) // the reads of 20 s, and two for each change
}

// Guards against load on an unavailable store from nodes that are no readers,
// and against noticing its recovery late.
func TestUnavailableStoreIsPolledMostlyByReaders(t *testing.T) {
	is := is.New(t)
	f := newFleet(200)
	now := f.run(start, 5*time.Second)
	f.storeDown, f.calls = true, 0
	clear(f.callsByNode)
	for i := range f.nodes[:2] {
		f.waiting[i] = false
		f.nodes[i].Failed(now)
	}
	now = f.run(now, 10*time.Second)
	byReaders := f.callsByNode[0] + f.callsByNode[1]
	t.Log(f.calls, byReaders)
	is.True(byReaders <= 2*int(10*time.Second/(fleetConfig().ReaderProofInterval*3/4))+2)
	maxPerNode := int(10*time.Second/(fleetConfig().ProofRetryMax*3/4)) + 1
	is.True(f.calls-byReaders <= maxPerNode*(len(f.nodes)-2))
	f.storeDown = false
	f.published++
	f.run(now, 1100*time.Millisecond)
	is.Equal(f.versions[150], f.published)
}

// Guards against starting nodes that wait at the store before they know who
// the readers are.
func TestStartingFleetReadsOncePerNode(t *testing.T) {
	is := is.New(t)
	f := newFleet(200)
	f.run(start, 900*time.Millisecond)
	is.Equal(f.calls, 200)
}

// Guards against a node that keeps polling an unavailable store after a peer
// supplied the routes.
func TestNodeWithRoutesLeavesReadsToReaders(t *testing.T) {
	is := is.New(t)
	r := NewRoutes(DefaultRoutesConfig(), 1)
	now := start
	reads := func(s NodeState, d time.Duration) (n int) {
		for end := now.Add(d); now.Before(end); now = now.Add(tick) {
			if r.Next(now, s).Action != Pause {
				n++
				r.Failed(now)
			}
		}
		return n
	}
	is.True(reads(NodeState{NoPeers: true, Reader: true}, 5*time.Second) >= 6)
	is.True(reads(NodeState{Routes: true, Neighbours: 39}, 20*time.Second) <= 1)
	is.True(reads(NodeState{Routes: true, Neighbours: 39, Reader: true}, 5*time.Second) >= 4)
}

// Guards against a delay after the position to read from has expired.
func TestExpiredRecordsAreReadAnew(t *testing.T) {
	is := is.New(t)
	r := NewRoutes(DefaultRoutesConfig(), 1)
	s := NodeState{Reader: true, Routes: true}
	is.Equal(r.Next(start, s).Action, ReadCurrent)
	r.Answered(start)
	is.Equal(r.Next(start, s).Action, Pause) // the readers are not known yet
	later := start.Add(DefaultRoutesConfig().SettleTime)
	is.Equal(r.Next(later, s), Step{ReadChanges, DefaultRoutesConfig().Wait})
	r.PositionExpired()
	is.Equal(r.Next(later, s).Action, ReadCurrent)
}

// Guards against reads of the list by nodes that are listed, not alone and no
// readers.
func TestListIsReadByReaders(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultListConfig(), 1)
	met := NodeState{Neighbours: 39}
	is.Equal(l.Pause(start, met), time.Duration(0))
	is.True(l.RecordRead(start, 200, false) <= time.Second) // the entry is spread over a second
	l.RecordFailure(start, met)                             // the entry was not accepted
	is.True(l.Pause(start, met) > 0)
	later := start.Add(10 * time.Second)
	is.Equal(l.Pause(later, met), time.Duration(0))
	l.RecordRead(later, 200, false)
	l.RecordEntry()
	muchLater := later.Add(time.Hour)
	is.True(l.Pause(muchLater, met) > 0)
	is.Equal(l.Pause(muchLater, NodeState{Neighbours: 39, Reader: true}), time.Duration(0))
	is.Equal(l.Pause(muchLater, NodeState{NoPeers: true}), time.Duration(0))
}

// Guards against a node that reads the list at the interval of a lone node
// after it has met others.
func TestListIntervalFollowsCurrentSituation(t *testing.T) {
	is := is.New(t)
	l := NewList(DefaultListConfig(), 1)
	l.RecordRead(start, 0, false)
	l.RecordEntry()
	later := start.Add(3 * time.Second)
	is.Equal(l.Pause(later, NodeState{NoPeers: true, Reader: true}), time.Duration(0))
	is.True(l.Pause(later, NodeState{Neighbours: 39, Reader: true}) > 0)
}

// Guards against slow retries of a lone node, and against fast ones of a node
// that only lacks its entry in the list.
func TestLoneNodeRetriesSooner(t *testing.T) {
	is := is.New(t)
	tries := func(s NodeState) (n int) {
		l := NewList(DefaultListConfig(), 1)
		for now := start; now.Before(start.Add(20 * time.Second)); now = now.Add(tick) {
			if l.Pause(now, s) == 0 {
				n++
				l.RecordFailure(now, s)
			}
		}
		return n
	}
	alone, met := tries(NodeState{NoPeers: true}), tries(NodeState{Neighbours: 39})
	is.True(alone >= 9)
	is.True(met <= 6)
}

// Guards against a node without a recent proof that does not read the store,
// or reads it more often than configured.
func TestNodeWithoutProofReadsTheStore(t *testing.T) {
	for reader, maxReads := range map[bool]int{true: 13, false: 3} {
		is := is.New(t)
		r := NewRoutes(DefaultRoutesConfig(), 1)
		is.Equal(r.Next(start, NodeState{}), Step{Action: ReadCurrent})
		r.Answered(start)
		reads := 0
		for now := start; now.Before(start.Add(4 * time.Second)); now = now.Add(tick) {
			if next := r.Next(now, NodeState{Routes: true, NeedsProof: true, Reader: reader, Neighbours: 20}); next.Action == ReadChanges {
				reads++
				r.Failed(now) // the store is unavailable
			}
		}
		is.True(reads >= 2 && reads <= maxReads+1)
	}
}

// applyLimit is the shortest limit for a confirmed version to be in force.
const applyLimit = 2 * time.Second

// restart restarts nodes without routes. Readers keep their role.
func (f *fleet) restart(nodes ...int) {
	for _, i := range nodes {
		f.nodes[i] = NewRoutes(fleetConfig(), uint64(100+i))
		f.waiting[i], f.versions[i], f.provenAt[i] = false, 0, time.Time{}
	}
}

// timeToApply publishes a version and returns the time until all nodes have
// it.
func (f *fleet) timeToApply(now time.Time) time.Duration {
	f.published++
	for begin := now; ; now = f.run(now, tick) {
		behind := slices.ContainsFunc(f.versions, func(v int) bool { return v < f.published })
		if !behind || now.Sub(begin) > time.Minute {
			return now.Sub(begin)
		}
	}
}

// Guards against a fleet that gets no new versions because its readers were
// restarted together and do not read.
func TestRestartedReadersKeepReading(t *testing.T) {
	for name, restarted := range map[string][]int{"the readers": {0, 1}, "all nodes": {0, 1, 2, 3, 4, 5, 6, 7}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			f := newFleet(8)
			now := f.run(start, 30*time.Second)
			f.restart(restarted...)
			now = f.run(now, 500*time.Millisecond) // they have read the current version
			delay := f.timeToApply(now)
			t.Log(delay)
			is.True(delay < applyLimit)
		})
	}
}
