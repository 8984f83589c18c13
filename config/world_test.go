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

// member is what the world drives: a Spread, or the naive version.
type member interface {
	SetMembers([]Peer)
	Tick(time.Time) Actions
	LogPage(time.Time, applog.Page) Actions
	LogFailed(time.Time)
	Receive(time.Time, wire.NodeID, Message) Actions
	sections() []Section
}

func (s *Spread) sections() []Section { return s.State().Sections() }

type node struct {
	member
	id                  wire.NodeID
	dataCentre          string
	position            uint64 // in the oracle's history
	skew                time.Duration
	frozen, noLog, gone bool
	held                []func() // what came while it was frozen
	sent, sentBytes     int
}

func (n *node) state() *State { return n.member.(*Spread).State() }

// world runs nodes, the log and the network between them in simulated time.
type world struct {
	cfg           Config
	now           time.Time
	rng           *rand.Rand
	log           *fakelog.Log
	oracle        *oracle
	nodes         []*node
	byID          map[wire.NodeID]*node
	naive         bool
	due           map[int64][]func() // by millisecond
	latency       func(from, to *node) time.Duration
	loss, repeats int             // of messages, in percent
	cut           map[string]bool // data centres without a way to the others
	encode        func(Message) int
	broken        error // the first violation
}

// testConfig shortens what in production is far apart.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.CheckpointEvery = 15 * time.Second
	cfg.CheckpointRecords = 6
	cfg.CheckpointSpread = 3 * time.Second
	cfg.PageRecords = 4
	cfg.ReadTimeout = 3 * time.Second
	return cfg
}

func newWorld(cfg Config, retention time.Duration, seed uint64) *world {
	w := &world{
		cfg:    cfg,
		now:    time.Unix(1_000_000, 0),
		rng:    rand.New(rand.NewPCG(seed, 0)),
		oracle: newOracle(),
		cut:    map[string]bool{},
		byID:   map[wire.NodeID]*node{},
		due:    map[int64][]func(){},
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
	s := NewSpread(w.cfg, n.id, dataCentre, w.rng.Uint64())
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

// restart replaces a node by an empty one with another identity.
func (w *world) restart(i int) *node {
	old := w.nodes[i]
	old.gone = true
	delete(w.byID, old.id)
	w.nodes = slices.Delete(w.nodes, i, i+1)
	return w.start(old.dataCentre)
}

// meet gives all nodes the true view.
func (w *world) meet() {
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
	if !n.gone {
		w.after(tickMillis*time.Millisecond, func() { w.tick(n) })
	}
	if !n.gone && !n.frozen {
		w.do(n, n.Tick(w.now.Add(n.skew)))
	}
}

// reach runs an event at a node: at once, when it thaws, or never.
func (w *world) reach(n *node, run func()) {
	switch {
	case n.gone:
	case n.frozen:
		n.held = append(n.held, run)
	default:
		run()
	}
}

func (w *world) thaw(n *node) {
	held := n.held
	n.frozen, n.held = false, nil
	for _, run := range held {
		run()
	}
}

func (w *world) do(n *node, a Actions) {
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

// read takes its page on the way and brings it back later.
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
			w.reach(n, func() {
				if err != nil {
					n.LogFailed(w.now.Add(n.skew))
					return
				}
				w.do(n, n.LogPage(w.now.Add(n.skew), page))
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
	if w.rng.IntN(100) < w.repeats {
		copies = 2
	}
	for range copies {
		if to == nil || w.rng.IntN(100) < w.loss {
			continue
		}
		w.after(w.latency(from, to), func() {
			if from.dataCentre != to.dataCentre && (w.cut[from.dataCentre] || w.cut[to.dataCentre]) {
				return
			}
			w.reach(to, func() { w.do(to, to.Receive(w.now.Add(to.skew), from.id, s.Msg)) })
		})
	}
}

// check holds what a node has in force against the history: always an accepted
// state, never an earlier one than before.
func (w *world) check(n *node) {
	w.truth()
	if !w.naive {
		n.position = max(n.position, n.state().AsOf())
	}
	position, err := w.oracle.position(n.position, n.sections())
	if err != nil && w.broken == nil {
		w.broken = fmt.Errorf("node %s: %w", n.id.Short(), err)
	}
	n.position = position
}

// truth folds what was appended since and returns the oracle.
func (w *world) truth() *oracle {
	w.oracle.foldAll(w.log.History(Stream))
	return w.oracle
}

// change appends a publication of somebody who has read everything.
func (w *world) change(service, text string) {
	truth := w.truth()
	w.append(publication(fmt.Sprint("c", truth.end()), truth.end(), set(service, text, truth.sections[service].version)))
}

// append puts a publication into the log; what its writer hears is not asked.
func (w *world) append(p Publication) {
	data, err := p.Encode()
	if err != nil {
		panic(err)
	}
	_, _ = w.log.Append(ctx, Stream, data)
}

// late counts the nodes that do not have all that is accepted.
func (w *world) late() int {
	end := w.truth().end()
	late := 0
	for _, n := range w.nodes {
		if position, err := w.oracle.position(end, n.sections()); err != nil || position != end {
			late++
		}
	}
	return late
}

func publication(id string, readTo uint64, changes ...SectionChange) Publication {
	return Publication{ID: id, ReadTo: readTo, Sections: changes}
}

func set(service, text string, base uint64) SectionChange {
	return SectionChange{Service: service, Text: text, Base: base}
}

func unset(service string, base uint64) SectionChange {
	return SectionChange{Service: service, Base: base, Delete: true}
}
