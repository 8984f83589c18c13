package config

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/internal/fakelog"
	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/wire"
)

const tickEvery = 100 * time.Millisecond

// member is what the world drives: a Spread, or the naive version.
type member interface {
	SetMembers([]Peer)
	Tick(time.Time) Actions
	LogPage(time.Time, platform.Page) Actions
	LogFailed(time.Time)
	Receive(time.Time, wire.NodeID, Message) Actions
	sections() []Section
}

func (s *Spread) sections() []Section { return s.State().Sections() }

type node struct {
	member
	id         wire.NodeID
	dataCentre string
	position   uint64 // in the oracle's history
	skew       time.Duration
	frozen     bool
	noLog      bool
	gone       bool
	held       []func() // what came while it was frozen
	sent       int
	sentBytes  int
}

// world runs nodes, the log and the network between them in simulated time.
type world struct {
	cfg    Config
	now    time.Time
	rng    *rand.Rand
	log    *fakelog.Log
	oracle *oracle
	nodes  []*node
	naive  bool
	events eventQueue
	order  uint64
	// latency, loss and repeats (both in percent) of the network.
	latency func(from, to *node) time.Duration
	loss    int
	repeats int
	cut     map[string]bool // data centres without a way to the others
	ids     map[wire.NodeID]*node
	byID    uint64
	encode  func(Message) int
	broken  error // the first violation
}

type event struct {
	at    time.Time
	order uint64
	run   func()
}

type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].order < q[j].order
	}
	return q[i].at.Before(q[j].at)
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

// testConfig shortens what in production is far apart.
func testConfig() Config {
	cfg := DefaultConfig()
	cfg.CheckpointEvery = 15 * time.Second
	cfg.CheckpointRecords = 6
	cfg.CheckpointSpread = 3 * time.Second
	cfg.PageRecords = 4
	return cfg
}

func newWorld(cfg Config, logCfg fakelog.Config, seed uint64) *world {
	w := &world{
		cfg:    cfg,
		now:    time.Unix(1_000_000, 0),
		rng:    rand.New(rand.NewPCG(seed, 0)),
		oracle: newOracle(),
		cut:    map[string]bool{},
		ids:    map[wire.NodeID]*node{},
	}
	logCfg.KeepHistory = true
	w.log = fakelog.New(logCfg, func() time.Time { return w.now })
	w.latency = func(_, _ *node) time.Duration { return time.Duration(w.rng.IntN(int(400 * time.Millisecond))) }
	return w
}

func (w *world) start(dataCentre string) *node {
	w.byID++
	n := &node{dataCentre: dataCentre}
	for i := range n.id {
		n.id[i] = byte(w.rng.Uint32())
	}
	s := NewSpread(w.cfg, n.id, dataCentre, w.byID)
	s.follower.assemble = testAssemble
	n.member = s
	if w.naive {
		n.member = &naive{self: n.id}
	}
	w.nodes = append(w.nodes, n)
	w.ids[n.id] = n
	w.after(time.Duration(w.rng.Int64N(int64(tickEvery))), func() { w.tick(n) })
	return n
}

// restart replaces a node by an empty one with another identity.
func (w *world) restart(i int) *node {
	old := w.nodes[i]
	old.gone = true
	delete(w.ids, old.id)
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
	w.order++
	heap.Push(&w.events, event{w.now.Add(d), w.order, run})
}

func (w *world) run(d time.Duration) {
	end := w.now.Add(d)
	for len(w.events) > 0 && !w.events[0].at.After(end) {
		e := heap.Pop(&w.events).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

func (w *world) tick(n *node) {
	if n.gone {
		return
	}
	w.after(tickEvery, func() { w.tick(n) })
	if !n.frozen {
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
	n.frozen = false
	held := n.held
	n.held = nil
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
			w.after(w.latency(n, n), func() { _, _ = w.log.Append(context.Background(), Stream, data) })
		}
	}
	for _, s := range a.Send {
		w.send(n, s)
	}
}

// read takes its page on the way and brings it back later.
func (w *world) read(n *node, r Read) {
	w.after(w.latency(n, n), func() {
		page, err := w.log.Read(context.Background(), Stream, r.From, r.Max)
		if n.noLog {
			err = platform.ErrUnavailable
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
	to := w.ids[s.To]
	n := 1
	if w.rng.IntN(100) < w.repeats {
		n = 2
	}
	if w.encode != nil {
		from.sent++
		from.sentBytes += w.encode(s.Msg)
	}
	for range n {
		if to == nil || w.rng.IntN(100) < w.loss || w.apart(from, to) {
			continue
		}
		w.after(w.latency(from, to), func() {
			if w.apart(from, to) {
				return
			}
			w.reach(to, func() { w.do(to, to.Receive(w.now.Add(to.skew), from.id, s.Msg)) })
		})
	}
}

func (w *world) apart(a, b *node) bool {
	return a.dataCentre != b.dataCentre && (w.cut[a.dataCentre] || w.cut[b.dataCentre])
}

// check holds what a node has in force against the history: always an accepted
// state, never an earlier one than before.
func (w *world) check(n *node) {
	w.oracle.foldAll(w.log.History(Stream))
	from := n.position
	if s, ok := n.member.(*Spread); ok {
		from = max(from, s.State().AsOf())
	}
	position, err := w.oracle.position(from, n.sections())
	if err != nil && w.broken == nil {
		w.broken = fmt.Errorf("node %s: %w", n.id.Short(), err)
	}
	n.position = position
}

// append puts a publication into the log; what its writer hears is not asked.
func (w *world) append(p Publication) {
	data, err := p.Encode()
	if err != nil {
		panic(err)
	}
	_, _ = w.log.Append(context.Background(), Stream, data)
}

// late counts the nodes that do not have all that is accepted.
func (w *world) late() int {
	w.oracle.foldAll(w.log.History(Stream))
	late := 0
	for _, n := range w.nodes {
		if !slices.EqualFunc(n.sections(), w.accepted(), sameSection) {
			late++
		}
	}
	return late
}

func (w *world) accepted() []Section {
	var all []Section
	for service, s := range w.oracle.sections {
		all = put(all, Section{Service: service, Text: s.text, Version: s.version})
	}
	return all
}

func sameSection(a, b Section) bool {
	return a.Service == b.Service && a.Version == b.Version && a.Text == b.Text
}
