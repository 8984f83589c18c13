package once

import (
	"container/list"

	"github.com/cassialoom/cassialoom/wire"
)

// WindowSize is the number of sequence numbers, up to the highest seen, that a Window
// tracks. It is far above the number of attempts that one sender has in flight.
const WindowSize = 8192

const (
	wordBits    = 64
	windowWords = WindowSize / wordBits
)

// Window accepts each sequence number of one sender at most once. The zero value is
// ready to use and accepts any number from 1 on.
//
// It prevents a late copy of a refused attempt from running after the caller has
// resent the request. Refused attempts use up their numbers too. Numbers below the
// window are rejected, because the window does not record whether they were seen.
type Window struct {
	highest uint64
	seen    [windowWords]uint64
}

// Accept marks seq as seen and reports whether it was new. False does not mean that
// the request has not run: the attempt that used the number may run, and is the one
// that gets an answer. A cancellation that overtakes its attempt uses up the number
// and may then answer NotRun.
func (w *Window) Accept(seq uint64) bool {
	if seq > w.highest {
		w.advance(seq)
	} else if seq == 0 || w.highest-seq >= WindowSize {
		return false
	}
	word, bit := position(seq)
	if w.seen[word]&bit != 0 {
		return false
	}
	w.seen[word] |= bit
	return true
}

func (w *Window) advance(seq uint64) {
	if seq-w.highest >= WindowSize {
		w.seen = [windowWords]uint64{}
		w.highest = seq
		return
	}
	for w.highest < seq {
		w.highest++
		word, bit := position(w.highest)
		w.seen[word] &^= bit
	}
}

func position(seq uint64) (word int, bit uint64) {
	i := seq % WindowSize
	return int(i / wordBits), 1 << (i % wordBits)
}

// fillBelow marks every number up to floor as seen.
func (w *Window) fillBelow(floor uint64) {
	w.highest = floor
	for i := range w.seen {
		w.seen[i] = ^uint64(0)
	}
}

// Senders holds a Window for each sender, up to a limit. A sender is an incarnation of
// a node and numbers its attempts from 1. It is not safe for concurrent use.
//
// If a sender were forgotten, its old numbers could run again. When the limit is
// reached, the window of the least recently used sender is therefore replaced by a
// floor, its highest number, and only higher numbers are accepted later. Floors are
// never removed. When both limits are reached, new senders are refused and Exhausted
// returns true; the node should then drain and restart.
type Senders struct {
	cfg     Config
	windows map[wire.NodeID]*list.Element
	recent  *list.List // of *sender, most recently used first
	floors  map[wire.NodeID]uint64
	refused uint64
}

type sender struct {
	id     wire.NodeID
	window Window
}

// SendersState is a snapshot of Senders for operators.
type SendersState struct {
	Windows   int    `json:"windows"`
	Floors    int    `json:"floors"`
	Refused   uint64 `json:"refused"`
	Exhausted bool   `json:"exhausted,omitempty"`
}

// NewSenders returns a Senders that has seen no sender.
func NewSenders(cfg Config) *Senders {
	return &Senders{
		cfg:     cfg,
		windows: make(map[wire.NodeID]*list.Element),
		recent:  list.New(),
		floors:  make(map[wire.NodeID]uint64),
	}
}

// Accept marks seq of a sender as seen and reports whether it was new; see
// Window.Accept for the meaning of false.
func (s *Senders) Accept(from wire.NodeID, seq uint64) bool {
	w := s.window(from)
	if w == nil || !w.Accept(seq) {
		s.refused++
		return false
	}
	return true
}

// Refuses reports whether all attempts of this sender are refused because there is no
// space for another sender. None of its attempts was accepted before, so the answer
// NotRun is correct.
func (s *Senders) Refuses(from wire.NodeID) bool {
	if _, ok := s.windows[from]; ok {
		return false
	}
	_, known := s.floors[from]
	return !known && s.Exhausted()
}

// Exhausted reports whether new senders are refused for lack of space.
func (s *Senders) Exhausted() bool {
	return len(s.windows) >= s.cfg.MaxSenders && len(s.floors) >= s.cfg.MaxFloors
}

// Dump returns a snapshot of the state.
func (s *Senders) Dump() SendersState {
	return SendersState{
		Windows: len(s.windows), Floors: len(s.floors),
		Refused: s.refused, Exhausted: s.Exhausted(),
	}
}

func (s *Senders) window(from wire.NodeID) *Window {
	if e, ok := s.windows[from]; ok {
		s.recent.MoveToFront(e)
		return &e.Value.(*sender).window
	}
	if s.Refuses(from) {
		return nil
	}
	floor, known := s.floors[from]
	n := &sender{id: from}
	if known {
		n.window.fillBelow(floor)
		delete(s.floors, from)
	}
	s.evict()
	s.windows[from] = s.recent.PushFront(n)
	return &n.window
}

func (s *Senders) evict() {
	if len(s.windows) < s.cfg.MaxSenders {
		return
	}
	oldest := s.recent.Back()
	old := oldest.Value.(*sender)
	s.recent.Remove(oldest)
	delete(s.windows, old.id)
	s.floors[old.id] = old.window.highest
}
