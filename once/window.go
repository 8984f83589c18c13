package once

import (
	"container/list"

	"github.com/cassialoom/cassialoom/wire"
)

// WindowSize is the number of sequence numbers below the highest that a Window
// can still accept: far more attempts than one sender has on the way.
const WindowSize = 8192

const (
	wordBits    = 64
	windowWords = WindowSize / wordBits
)

// Window accepts each sequence number of one sender at most once. Its zero
// value accepts any number from 1 on.
//
// The failure it is for: an attempt is refused as "not run", its caller sends
// the request again, and then a copy of the first attempt arrives and runs.
// The number of the refused attempt was taken when it was first seen, so the
// copy finds it taken; a number too old to be told apart is refused as well.
type Window struct {
	top  uint64
	seen [windowWords]uint64
}

// Accept takes seq and reports whether it was free. False claims nothing about
// the request: the attempt that took the number may run, and is the one that
// answers. A cancellation that overtakes its attempt takes the number too, and
// may then say "not run".
func (w *Window) Accept(seq uint64) bool {
	if seq > w.top {
		w.advance(seq)
	} else if seq == 0 || w.top-seq >= WindowSize {
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
	if seq-w.top >= WindowSize {
		w.seen = [windowWords]uint64{}
		w.top = seq
		return
	}
	for w.top < seq {
		w.top++
		word, bit := position(w.top)
		w.seen[word] &^= bit
	}
}

func position(seq uint64) (word int, bit uint64) {
	i := seq % WindowSize
	return int(i / wordBits), 1 << (i % wordBits)
}

// fillBelow marks every number up to floor as seen.
func (w *Window) fillBelow(floor uint64) {
	w.top = floor
	for i := range w.seen {
		w.seen[i] = ^uint64(0)
	}
}

// Senders keeps a Window for each sender, within bounds. A sender is one
// incarnation of a node and counts up from 1. It is not safe for concurrent
// use.
//
// Forgetting a sender would let its old numbers run again. So a sender that
// has been idle longest gives up its window but leaves a floor, its highest
// number, and later only higher ones are accepted. A floor is never given up:
// when both bounds are reached, senders that were never seen are refused, and
// the node should drain and restart, as Exhausted tells. At 1,200 replaced
// nodes a day the default bounds last about a month.
type Senders struct {
	cfg     Config
	windows map[wire.NodeID]*list.Element
	recent  *list.List // of *sender, the last used in front
	floors  map[wire.NodeID]uint64
	refused uint64
}

type sender struct {
	id     wire.NodeID
	window Window
}

// SendersState is the state of Senders for the dump.
type SendersState struct {
	Windows   int    `json:"windows"`
	Floors    int    `json:"floors"`
	Refused   uint64 `json:"refused"`
	Exhausted bool   `json:"exhausted,omitempty"`
}

// NewSenders returns an empty memory of senders.
func NewSenders(cfg Config) *Senders {
	return &Senders{
		cfg:     cfg,
		windows: make(map[wire.NodeID]*list.Element),
		recent:  list.New(),
		floors:  make(map[wire.NodeID]uint64),
	}
}

// Accept takes the number seq of a sender; see Window.Accept for what false
// means.
func (s *Senders) Accept(from wire.NodeID, seq uint64) bool {
	w := s.window(from)
	if w == nil || !w.Accept(seq) {
		s.refused++
		return false
	}
	return true
}

// Refuses reports that nothing of this sender is or ever was accepted, since
// it came when there was no room. Of its attempts "not run" is true.
func (s *Senders) Refuses(from wire.NodeID) bool {
	if _, ok := s.windows[from]; ok {
		return false
	}
	_, known := s.floors[from]
	return !known && s.Exhausted()
}

// Exhausted reports that senders never seen before are refused.
func (s *Senders) Exhausted() bool {
	return len(s.windows) >= s.cfg.MaxSenders && len(s.floors) >= s.cfg.MaxFloors
}

// Dump returns the state for the dump.
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
	s.floors[old.id] = old.window.top
}
