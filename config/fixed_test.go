package config

import (
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a late, concurrent or repeated change that brings an old
// section into force. Last writer wins has to fail on the same schedules.
func TestLastWriterWinsRevertsWhereSpreadDoesNot(t *testing.T) {
	first := publication("1", 0, setSection("a", "x", 0))
	next := publication("2", 1, setSection("a", "y", 1))
	schedules := map[string][]Publication{
		"late copy": {first, next},
		"race":      {first, publication("2", 0, setSection("a", "y", 0))},
		"repeated":  {first, next, first},
	}
	for name, schedule := range schedules {
		for _, useNaive := range []bool{false, true} {
			is := is.New(t)
			w := newWorld(testConfig(), 0, 1)
			w.naive = useNaive
			w.latency = func(from, to *node) time.Duration {
				if from != to {
					return 5 * time.Second
				}
				return 10 * time.Millisecond
			}
			w.start("north")
			w.start("south")
			w.shareMembers()
			for _, p := range schedule {
				w.append(p)
				w.run(2 * time.Second)
			}
			w.run(20 * time.Second)
			t.Logf("%s, last writer wins %t: %v", name, useNaive, w.violation)
			is.Equal(w.violation != nil, useNaive)
		}
	}
}

// Guards against accepting a delayed creation after the deletion of the
// section, when its verdict has been dropped. Only ReadOffset contradicts it.
func TestCopyOlderThanRetainedVerdictsIsRejected(t *testing.T) {
	is := is.New(t)
	for gap := retainedRecords - 5; gap <= retainedRecords+5; gap++ {
		w := newWorld(DefaultConfig(), 0, 1)
		create := publication("create", 1, setSection("b", "x", 0))
		w.append(publication("first", 0, setSection("a", "x", 0)))
		w.append(create)
		w.append(publication("delete", 2, deleteSection("b", 2)))
		for i := range gap {
			w.append(publication(fmt.Sprint(i), uint64(i), setSection("c", "x", 99)))
		}
		w.append(create)
		n := w.start("north")
		w.run(20 * time.Second)
		is.NoErr(w.violation)
		_, exists := n.state().Section("b")
		is.True(!exists)
		is.True(len(n.state().verdicts) <= retainedRecords)
	}
}

// Guards against two sums at nodes of one version, which an operator must take for a
// divergence: records that change nothing come after the version on some of them. Readers
// that started from a checkpoint or an update have the sum of those that read all records.
func TestStatesOfOneVersionHaveOneSum(t *testing.T) {
	is := is.New(t)
	f := replayer{assemble: testAssemble}
	w := newWorld(DefaultConfig(), 0, 1)
	service := testServices[0]
	for i := range 40 {
		o := w.currentOracle()
		change := setSection(service, fmt.Sprint(i), o.sections[service].version)
		w.append(publication(fmt.Sprint("wins", i), o.end(), change))
		w.append(publication(fmt.Sprint("loses", i), o.end(), change))
	}
	sums := map[uint64]uint64{}
	versions := map[uint64]uint64{}
	s := emptyState()
	for _, r := range w.log.History(Stream) {
		before := s
		s = f.apply(s, r.Data)
		s.setSums()
		if known, ok := sums[s.Version()]; ok {
			is.Equal(s.Sum(), known)
			is.True(s.RecordSum() != before.RecordSum())
		}
		sums[s.Version()] = s.Sum()
		versions[s.Sum()] = s.Version()
		for _, from := range []uint64{0, before.AsOf()} {
			got, err := f.applyUpdate(before, s.updateSince(from))
			is.NoErr(err)
			is.Equal(got.Sum(), s.Sum())
		}
	}
	is.Equal(len(sums), 40)
	is.Equal(len(versions), 40) // no two versions share a sum
}

// Guards against a delta update whose result differs from the state after
// applying the records. An older base has to get the whole state.
func TestUpdatesGiveTheReplayedState(t *testing.T) {
	is := is.New(t)
	f := replayer{assemble: testAssemble}
	w := newWorld(DefaultConfig(), 0, 1)
	for i := range 2 * retainedRecords {
		currentOracle := w.currentOracle()
		change := setSection(testServices[i%3], fmt.Sprint(i), currentOracle.sections[testServices[i%3]].version)
		if change.BaseVersion > 0 && i%5 == 0 {
			change = deleteSection(change.Service, change.BaseVersion)
		}
		w.append(publication(fmt.Sprint(i), currentOracle.end(), change))
	}
	states := []*State{emptyState()}
	for i, r := range w.log.History(Stream) {
		next := f.apply(states[i], r.Data)
		next.setSums()
		states = append(states, next)
	}
	end := states[len(states)-1]
	for from, s := range states {
		u := end.updateSince(uint64(from))
		is.Equal(u.From == 0, from < retainedRecords)
		for _, state := range []*State{s, states[min(from+7, len(states)-1)]} {
			got, err := f.applyUpdate(state, u)
			is.NoErr(err)
			is.Equal(got.recordSum, end.recordSum)
		}
	}
}

// Guards against a starting node that reads the whole stream instead of the
// records after the newest checkpoint.
func TestStartingNodeReadsOnlyAfterTheCheckpoint(t *testing.T) {
	is := is.New(t)
	w := newWorld(DefaultConfig(), 0, 1)
	w.latency = func(_, _ *node) time.Duration { return 10 * time.Millisecond }
	w.start("north")
	for i := range 3000 {
		w.publishChange("a", fmt.Sprint(i))
		w.run(500 * time.Millisecond)
	}
	newcomer := w.restart(0)
	w.run(3 * time.Second)
	is.NoErr(w.violation)
	is.Equal(w.outdated(), 0)
	d := newcomer.member.(*Distributor).Dump()
	is.True(d.LogNext > 3000)
	is.True(d.Counters.LogReads <= 14) // four pages to find a base, one or two to apply, then polls
}

// Guards against losing the configuration in an outage longer than the log's
// retention, for nodes that start meanwhile and a fleet restarted later.
func TestOutageLongerThanRetention(t *testing.T) {
	is := is.New(t)
	w := newWorld(DefaultConfig(), 15*time.Minute, 1)
	for i := range 6 {
		w.start(testCentres[i%2])
	}
	w.shareMembers()
	w.publishChange("a", "x")
	w.run(10 * time.Second)
	w.log.Outage(w.now.Add(40 * time.Minute))
	for range w.nodes {
		w.restart(0)
		w.shareMembers()
		w.run(10 * time.Second)
		is.Equal(w.outdated(), 0) // the restarted node has the state from its peers
	}
	w.run(40 * time.Minute)
	w.publishChange("a", "y")
	w.run(10 * time.Second)
	is.Equal(w.outdated(), 0)
	is.Equal(w.oracle.sections["a"].text, "y")
	for range w.nodes {
		w.restart(0)
	}
	w.shareMembers()
	w.run(10 * time.Second)
	is.NoErr(w.violation)
	is.Equal(w.outdated(), 0)
}

// Guards against starting from a checkpoint when records after it were
// trimmed. The node must have nothing in force until a replacement is
// published.
func TestCheckpointBeforeTrimmedRecordsIsNotUsed(t *testing.T) {
	is := is.New(t)
	o := newOperators(nil, time.Minute)
	w := o.world
	w.cfg = DefaultConfig()
	w.publishChange("a", "x")
	stale := o.checkpoint()
	w.publishChange("a", "y")
	w.now = w.now.Add(2 * time.Minute)
	_, _ = w.log.Append(ctx, Stream, stale)
	n := w.start("north")
	w.run(5 * time.Second)
	is.True(n.state() == nil)
	p := publication("all", 0, setSection("a", "z", 0))
	_, err := o.run(p, 9)
	is.True(errors.Is(err, ErrNotAppended) && errors.Is(err, ErrNoBase))
	p.Whole = true
	outcome, err := o.run(p, 9)
	is.NoErr(err)
	is.Equal(outcome.Status, Accepted)
	w.run(5 * time.Second)
	is.NoErr(w.violation)
	is.Equal(w.outdated(), 0)
	is.Equal(n.sections()[0].Text, "z")
	w.run(5 * time.Minute) // the retention is shorter than CheckpointEvery
	is.True(n.member.(*Distributor).Dump().Counters.Checkpoints >= 3)
}

// Guards against a published graph text that is not applied on a node that
// does not read it itself.
func TestPublishedGraphIsAppliedOnAllNodes(t *testing.T) {
	is := is.New(t)
	w := newWorld(DefaultConfig(), 0, 1)
	text := "service \"plumecast\" {\n  operation \"forecast\" {\n    idempotent = true\n  }\n}\n"
	outcome, err := Publish(ctx, w.log, publication(NewPublicationID(), 0, setSection("plumecast", text, 0)))
	is.NoErr(err)
	is.Equal(outcome.Status, Accepted)
	for range 2 {
		w.start("north").member.(*Distributor).follower.replayer = newReplayer()
	}
	w.shareMembers()
	w.run(5 * time.Second)
	for _, n := range w.nodes {
		_, ok := n.state().Graph().Operation("plumecast", "forecast")
		is.True(ok)
	}
	newcomer := w.restart(0)
	w.shareMembers()
	w.run(5 * time.Second)
	is.Equal(newcomer.member.(*Distributor).Dump().Counters.Pushes, uint64(0)) // a starting node does not push what it reads
}
