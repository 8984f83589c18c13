package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/internal/fakelog"
	"github.com/cassialoom/cassialoom/wire"
)

const tickMillis = 100

var ctx = context.Background()

// member is the implementation under test: a Distributor, or the naive version.
type member interface {
	SetMembers([]Peer)
	Tick(time.Time) Actions
	LogPage(time.Time, applog.Page) Actions
	LogFailed(time.Time)
	Receive(time.Time, wire.NodeID, Message) Actions
	sections() []Section
}

func (s *Distributor) sections() []Section { return s.State().Sections() }

type node struct {
	member
	id                     wire.NodeID
	dataCentre             string
	position               uint64 // as-of offset in the oracle's history
	skew                   time.Duration
	frozen, noLog, stopped bool
	pending                []func() // events that arrived while it was frozen
	sent, sentBytes        int
}

func (n *node) state() *State { return n.member.(*Distributor).State() }

// world simulates nodes, the log and the network between them.
type world struct {
	cfg              Config
	now              time.Time
	rng              *rand.Rand
	log              *fakelog.Log
	oracle           *oracle
	nodes            []*node
	byID             map[wire.NodeID]*node
	naive            bool
	due              map[int64][]func() // scheduled events by millisecond
	latency          func(from, to *node) time.Duration
	loss, duplicates int             // percentages of messages
	partitioned      map[string]bool // data centres that cannot reach the others
	encode           func(Message) int
	violation        error // first violation found by check
}

// testConfig shortens the intervals and sizes used in production.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.CheckpointEvery = 15 * time.Second
	cfg.CheckpointRecords = 6
	cfg.CheckpointJitter = 3 * time.Second
	cfg.PageRecords = 4
	cfg.ReadTimeout = 3 * time.Second
	return cfg
}

func newWorld(cfg Config, retention time.Duration, seed uint64) *world {
	w := &world{
		cfg:         cfg,
		now:         time.Unix(1_000_000, 0),
		rng:         rand.New(rand.NewPCG(seed, 0)),
		oracle:      newOracle(),
		partitioned: map[string]bool{},
		byID:        map[wire.NodeID]*node{},
		due:         map[int64][]func(){},
	}
	w.log = fakelog.New(fakelog.Config{Retention: retention, KeepHistory: true}, func() time.Time { return w.now })
	w.latency = func(_, _ *node) time.Duration { return time.Duration(w.rng.IntN(400)) * time.Millisecond }
	return w
}

func (w *world) start(dataCentre string) *node {
	n := &node{dataCentre: dataCentre}
	for i := range n.id {
		n.id[i] = byte(w.rng.Uint32())
	}
	s := NewDistributor(w.cfg, n.id, dataCentre, w.rng.Uint64())
	s.follower.assemble = testAssemble
	n.member = s
	if w.naive {
		n.member = &naive{self: n.id}
	}
	w.nodes = append(w.nodes, n)
	w.byID[n.id] = n
	w.after(time.Duration(w.rng.IntN(tickMillis))*time.Millisecond, func() { w.tick(n) })
	return n
}

// restart replaces a node by one without a state and with a new ID.
func (w *world) restart(i int) *node {
	old := w.nodes[i]
	old.stopped = true
	delete(w.byID, old.id)
	w.nodes = slices.Delete(w.nodes, i, i+1)
	return w.start(old.dataCentre)
}

// shareMembers gives all nodes the actual membership.
func (w *world) shareMembers() {
	var peers []Peer
	for _, n := range w.nodes {
		peers = append(peers, Peer{ID: n.id, DataCentre: n.dataCentre})
	}
	for _, n := range w.nodes {
		n.SetMembers(peers)
	}
}

func (w *world) after(d time.Duration, run func()) {
	at := max(w.now.Add(d).UnixMilli(), w.now.UnixMilli()+1)
	w.due[at] = append(w.due[at], run)
}

func (w *world) run(d time.Duration) {
	for end := w.now.Add(d); w.now.Before(end); {
		w.now = w.now.Add(time.Millisecond)
		for _, run := range w.due[w.now.UnixMilli()] {
			run()
		}
		delete(w.due, w.now.UnixMilli())
	}
}

func (w *world) tick(n *node) {
	if !n.stopped {
		w.after(tickMillis*time.Millisecond, func() { w.tick(n) })
	}
	if !n.stopped && !n.frozen {
		w.perform(n, n.Tick(w.now.Add(n.skew)))
	}
}

// deliver runs an event on a node: at once, when it is unfrozen, or never if
// it has stopped.
func (w *world) deliver(n *node, run func()) {
	switch {
	case n.stopped:
	case n.frozen:
		n.pending = append(n.pending, run)
	default:
		run()
	}
}

func (w *world) unfreeze(n *node) {
	pending := n.pending
	n.frozen, n.pending = false, nil
	for _, run := range pending {
		run()
	}
}

func (w *world) perform(n *node, a Actions) {
	if a.Changed {
		w.check(n)
	}
	if a.Read != nil {
		w.read(n, *a.Read)
	}
	for _, data := range a.Append {
		if !n.noLog {
			w.after(w.latency(n, n), func() { _, _ = w.log.Append(ctx, Stream, data) })
		}
	}
	for _, s := range a.Send {
		w.send(n, s)
	}
}

// read reads the log after one latency and delivers the page after another.
func (w *world) read(n *node, r Read) {
	w.after(w.latency(n, n), func() {
		page, err := w.log.Read(ctx, Stream, r.From, r.Max)
		if n.noLog {
			err = applog.ErrUnavailable
		}
		if w.rng.IntN(100) < w.loss {
			return // never answered
		}
		w.after(w.latency(n, n), func() {
			w.deliver(n, func() {
				if err != nil {
					n.LogFailed(w.now.Add(n.skew))
					return
				}
				w.perform(n, n.LogPage(w.now.Add(n.skew), page))
			})
		})
	})
}

func (w *world) send(from *node, s Send) {
	if w.encode != nil {
		from.sent++
		from.sentBytes += w.encode(s.Msg)
	}
	to, copies := w.byID[s.To], 1
	if w.rng.IntN(100) < w.duplicates {
		copies = 2
	}
	for range copies {
		if to == nil || w.rng.IntN(100) < w.loss {
			continue
		}
		w.after(w.latency(from, to), func() {
			if from.dataCentre != to.dataCentre && (w.partitioned[from.dataCentre] || w.partitioned[to.dataCentre]) {
				return
			}
			w.deliver(to, func() { w.perform(to, to.Receive(w.now.Add(to.skew), from.id, s.Msg)) })
		})
	}
}

// check verifies that a node has an accepted state in force that is not older
// than its previous one.
func (w *world) check(n *node) {
	w.currentOracle()
	if !w.naive {
		n.position = max(n.position, n.state().AsOf())
	}
	position, err := w.oracle.position(n.position, n.sections())
	if err != nil && w.violation == nil {
		w.violation = fmt.Errorf("node %s: %w", n.id.Short(), err)
	}
	n.position = position
}

// currentOracle applies the records appended since the last call and returns
// the oracle.
func (w *world) currentOracle() *oracle {
	w.oracle.applyAll(w.log.History(Stream))
	return w.oracle
}

// publishChange appends a publication by a writer that has read everything.
func (w *world) publishChange(service, text string) {
	currentOracle := w.currentOracle()
	w.append(publication(fmt.Sprint("c", currentOracle.end()), currentOracle.end(), setSection(service, text, currentOracle.sections[service].version)))
}

// append appends a publication to the log, ignoring the result.
func (w *world) append(p Publication) {
	data, err := p.Encode()
	if err != nil {
		panic(err)
	}
	_, _ = w.log.Append(ctx, Stream, data)
}

// outdated returns the number of nodes that do not have the latest accepted
// state.
func (w *world) outdated() int {
	end := w.currentOracle().end()
	outdated := 0
	for _, n := range w.nodes {
		if position, err := w.oracle.position(end, n.sections()); err != nil || position != end {
			outdated++
		}
	}
	return outdated
}

func publication(id string, readTo uint64, changes ...SectionChange) Publication {
	return Publication{ID: id, ReadOffset: readTo, Sections: changes}
}

func setSection(service, text string, base uint64) SectionChange {
	return SectionChange{Service: service, Text: text, BaseVersion: base}
}

func deleteSection(service string, base uint64) SectionChange {
	return SectionChange{Service: service, BaseVersion: base, Delete: true}
}
