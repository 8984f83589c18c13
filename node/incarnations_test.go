package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

// message is one message of a backend incarnation in transit to the node.
type message struct {
	start int // index of the incarnation, in the order of their starts
	beat  Heartbeat
	leave bool
}

// backendHistory is the true history of a backend server, and the node's view of it.
type backendHistory struct {
	incarnations []Start
	sequences    []uint64
	sent         []message
	starts       starts
	known        instance
	// latestReceived is the latest incarnation with a delivered heartbeat; ended holds
	// those with a delivered report that they leave.
	latestReceived int
	ended          map[int]bool
}

func (h *backendHistory) begin(id string) {
	h.incarnations = append(h.incarnations, Start{ID: id, Born: int64(1000 + 10*len(h.incarnations))})
	h.sequences = append(h.sequences, 0)
}

func (h *backendHistory) sendHeartbeat(start int, leaving bool) {
	h.sequences[start]++
	h.sent = append(h.sent, message{start: start, beat: Heartbeat{Start: h.incarnations[start], Sequence: h.sequences[start], Draining: leaving, Slots: 4}})
}

func (h *backendHistory) deliver(m message) {
	if m.leave {
		h.ended[m.start] = true
		if h.starts.markLeft(h.known, h.incarnations[m.start]) == h.known.start {
			h.known.ready = false
		}
		return
	}
	h.known, _ = h.starts.apply(time.Time{}, h.known, m.beat)
	h.latestReceived = max(h.latestReceived, m.start)
	if m.beat.Draining {
		h.ended[m.start] = true
	}
}

// Guards against delayed, repeated or reordered messages that bring an ended backend
// incarnation back into use, or keep the newest one out of use after two heartbeats.
func TestPropertyStarts(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		h := &backendHistory{ended: make(map[int]bool)}
		h.begin("x")
		check := func(t *rapid.T) {
			if !h.known.ready {
				return
			}
			for i, s := range h.incarnations {
				if s == h.known.start && (i < h.latestReceived || h.ended[i]) {
					t.Fatalf("incarnation %d is in use; latest received %d, ended %v", i, h.latestReceived, h.ended)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": check,
			"start": func(t *rapid.T) {
				h.begin(rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "id"))
			},
			"beat": func(*rapid.T) { h.sendHeartbeat(len(h.incarnations)-1, false) },
			"leave": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "goodbye") {
					h.sent = append(h.sent, message{start: len(h.incarnations) - 1, leave: true})
					return
				}
				h.sendHeartbeat(len(h.incarnations)-1, true)
			},
			"deliver": func(t *rapid.T) {
				if len(h.sent) == 0 {
					t.Skip("no message in transit")
				}
				h.deliver(rapid.SampledFrom(h.sent).Draw(t, "word"))
			},
		})
		h.begin("x")
		for range 2 {
			h.sendHeartbeat(len(h.incarnations)-1, false)
			h.deliver(h.sent[len(h.sent)-1])
		}
		if !h.known.ready || h.known.start != h.incarnations[len(h.incarnations)-1] {
			t.Fatalf("the newest incarnation is not in use after two heartbeats: %+v", h.known)
		}
	})
}

// Guards against wrong conclusions from a heartbeat or a leave report without Born.
func TestIncarnationsWithoutBorn(t *testing.T) {
	is := is.New(t)
	var s starts
	known, ok := s.apply(time.Time{}, instance{start: Start{ID: "x"}}, Heartbeat{Start: Start{ID: "x", Born: 5}, Sequence: 1})
	is.True(ok) // found at the node's start; its heartbeat then reports Born
	is.Equal(known.start, Start{ID: "x", Born: 5})

	_, ok = s.apply(time.Time{}, known, Heartbeat{Start: Start{ID: "x"}, Sequence: 9})
	is.True(!ok) // from another sender: the backend server reports its Born
	_, ok = s.apply(time.Time{}, known, Heartbeat{Start: Start{ID: "z"}, Sequence: 9})
	is.True(!ok)

	is.Equal(s.markLeft(known, Start{ID: "x", Born: 4}), Start{}) // the leave report of an earlier incarnation
	_, ok = s.apply(time.Time{}, known, Heartbeat{Start: Start{ID: "x", Born: 5}, Sequence: 2})
	is.True(ok)
	is.Equal(s.markLeft(known, Start{ID: "x"}), Start{ID: "x", Born: 5}) // is about the one in use
	_, ok = s.apply(time.Time{}, known, Heartbeat{Start: Start{ID: "x", Born: 5}, Sequence: 3})
	is.True(!ok)
	_, ok = s.apply(time.Time{}, known, Heartbeat{Start: Start{ID: "x", Born: 6}, Sequence: 1})
	is.True(ok)

	var fresh starts
	fresh.markLeft(instance{}, Start{ID: "w"}) // w is not known yet
	_, ok = fresh.apply(time.Time{}, instance{}, Heartbeat{Start: Start{ID: "w", Born: 7}, Sequence: 3})
	is.True(!ok) // delayed
	_, ok = fresh.apply(time.Time{}, instance{}, Heartbeat{Start: Start{ID: "w", Born: 8}, Sequence: 1})
	is.True(ok)
}

// Guards against a crash report without Born that is ignored because the first heartbeat has
// reported Born since, and against one of an earlier incarnation that counts.
func TestCrashReportFromBeforeTheFirstHeartbeat(t *testing.T) {
	is := is.New(t)
	in := instance{start: Start{ID: "x", Born: 5}}
	is.True(in.is(Start{ID: "x", Born: 5}))
	is.True(in.is(Start{ID: "x"}))
	is.True(!in.is(Start{ID: "x", Born: 4}))
	is.True(!in.is(Start{ID: "y"}))
}
