package once

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/wire"
)

// No number may be accepted twice, whatever the order and although senders evict each
// other. A new number within the window of a sender must be accepted.
func TestNoNumberIsAcceptedTwice(t *testing.T) {
	type numbered struct {
		id  wire.NodeID
		seq uint64
	}
	proptest.Check(t, func(t *rapid.T) {
		cfg := Config{MaxSenders: rapid.IntRange(1, 4).Draw(t, "windows"), MaxFloors: rapid.IntRange(1, 3).Draw(t, "floors")}
		s := NewSenders(cfg)
		taken := make(map[numbered]bool)
		top := make(map[wire.NodeID]uint64)
		for range 100 {
			id := wire.NodeID{byte(uniformInt.Draw(t, "sender") % 6)}
			seq := top[id] + uint64(rapid.SampledFrom([]int{0, 1, 2, 3, WindowSize - 1, WindowSize, WindowSize + 1}).Draw(t, "ahead"))
			seq -= min(seq, uint64(rapid.SampledFrom([]int{0, 1, 2, 64, WindowSize - 1, WindowSize, WindowSize + 1}).Draw(t, "behind")))
			_, resident := s.windows[id]
			accepted := s.Accept(id, seq)
			fresh := seq > 0 && !taken[numbered{id, seq}]
			if accepted && !fresh {
				t.Fatalf("number %d accepted again", seq)
			}
			if resident && cfg.MaxSenders >= 4 && len(s.floors) == 0 && fresh && seq+WindowSize > top[id] && !accepted {
				t.Fatalf("number %d refused, the highest is %d", seq, top[id])
			}
			if accepted {
				taken[numbered{id, seq}] = true
				top[id] = max(top[id], seq)
			}
			if len(s.windows) > cfg.MaxSenders || len(s.floors) > cfg.MaxFloors {
				t.Fatalf("%d windows and %d floors", len(s.windows), len(s.floors))
			}
		}
	})
}

// When windows and floors are full, known senders must continue, new ones must be
// refused, and Exhausted must report it.
func TestSendersAreNeverForgotten(t *testing.T) {
	is := is.New(t)
	s := NewSenders(Config{MaxSenders: 1, MaxFloors: 1})
	a, b, c := wire.NodeID{1}, wire.NodeID{2}, wire.NodeID{3}
	is.True(s.Accept(a, 5))
	is.True(s.Accept(b, 1))
	is.True(s.Exhausted())
	is.True(!s.Accept(c, 1))
	is.True(!s.Accept(a, 4)) // may have been seen before the window was evicted
	is.True(s.Accept(a, 6))
	is.True(s.Accept(b, 2))
	is.Equal(s.Dump(), SendersState{Windows: 1, Floors: 1, Refused: 2, Exhausted: true})
}
