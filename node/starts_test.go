package node

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
)

// word is one call of a start on its way to the node.
type word struct {
	start   int // the place in the order of the starts
	beat    Heartbeat
	goodbye bool
}

// life is the backend server as it really is, and the node's view of it.
type life struct {
	all      []Start
	sequence []uint64
	sent     []word
	starts   starts
	known    instance
	// heard is the latest start that a heartbeat was delivered of, ended the
	// starts whose leaving was delivered.
	heard int
	ended map[int]bool
}

func (l *life) begin(id string) {
	l.all = append(l.all, Start{ID: id, Born: int64(1000 + 10*len(l.all))})
	l.sequence = append(l.sequence, 0)
}

func (l *life) say(start int, leaving bool) {
	l.sequence[start]++
	l.sent = append(l.sent, word{start: start, beat: Heartbeat{Start: l.all[start], Sequence: l.sequence[start], Leaving: leaving, Slots: 4}})
}

func (l *life) deliver(w word) {
	if w.goodbye {
		l.ended[w.start] = true
		if l.starts.leave(l.known, l.all[w.start]) == l.known.start {
			l.known.ready = false
		}
		return
	}
	l.known, _ = l.starts.take(time.Time{}, l.known, w.beat)
	l.heard = max(l.heard, w.start)
	if w.beat.Leaving {
		l.ended[w.start] = true
	}
}

// The backend server crashes and starts again, under its id or another. Its
// heartbeats and last words come late, twice, and in any order. Nothing of an
// earlier start, or of one that said it leaves, is in use after that was heard;
// the newest start is in use after two of its heartbeats.
func TestPropertyStarts(t *testing.T) {
	proptest.Check(t, func(t *rapid.T) {
		l := &life{ended: make(map[int]bool)}
		l.begin("x")
		check := func(t *rapid.T) {
			if !l.known.ready {
				return
			}
			for i, s := range l.all {
				if s == l.known.start && (i < l.heard || l.ended[i]) {
					t.Fatalf("start %d is in use; heard of %d, ended %v", i, l.heard, l.ended)
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"": check,
			"start": func(t *rapid.T) {
				l.begin(rapid.SampledFrom([]string{"x", "x", "y"}).Draw(t, "id"))
			},
			"beat": func(*rapid.T) { l.say(len(l.all)-1, false) },
			"leave": func(t *rapid.T) {
				if rapid.Bool().Draw(t, "goodbye") {
					l.sent = append(l.sent, word{start: len(l.all) - 1, goodbye: true})
					return
				}
				l.say(len(l.all)-1, true)
			},
			"deliver": func(t *rapid.T) {
				if len(l.sent) == 0 {
					t.Skip("nothing is on its way")
				}
				l.deliver(rapid.SampledFrom(l.sent).Draw(t, "word"))
			},
		})
		l.begin("x")
		for range 2 {
			l.say(len(l.all)-1, false)
			l.deliver(l.sent[len(l.sent)-1])
		}
		if !l.known.ready || l.known.start != l.all[len(l.all)-1] {
			t.Fatalf("the newest start is not in use after two heartbeats: %+v", l.known)
		}
	})
}

// What is known of the start in use, and what of it a heartbeat or last word
// without the time of its start changes.
func TestStartsWithoutTheirTime(t *testing.T) {
	is := is.New(t)
	var s starts
	known, ok := s.take(time.Time{}, instance{start: Start{ID: "x"}}, Heartbeat{Start: Start{ID: "x", Born: 5}, Sequence: 1})
	is.True(ok) // found at the node's start, then dated by its heartbeat
	is.Equal(known.start, Start{ID: "x", Born: 5})

	_, ok = s.take(time.Time{}, known, Heartbeat{Start: Start{ID: "x"}, Sequence: 9})
	is.True(!ok) // another sender's: the backend server tells its time
	_, ok = s.take(time.Time{}, known, Heartbeat{Start: Start{ID: "z"}, Sequence: 9})
	is.True(!ok)

	is.Equal(s.leave(known, Start{ID: "x", Born: 4}), Start{}) // an earlier start's last word
	_, ok = s.take(time.Time{}, known, Heartbeat{Start: Start{ID: "x", Born: 5}, Sequence: 2})
	is.True(ok)
	is.Equal(s.leave(known, Start{ID: "x"}), Start{ID: "x", Born: 5}) // the one in use
	_, ok = s.take(time.Time{}, known, Heartbeat{Start: Start{ID: "x", Born: 5}, Sequence: 3})
	is.True(!ok)
	_, ok = s.take(time.Time{}, known, Heartbeat{Start: Start{ID: "x", Born: 6}, Sequence: 1})
	is.True(ok)

	var fresh starts
	fresh.leave(instance{}, Start{ID: "w"}) // nothing is known of w yet
	_, ok = fresh.take(time.Time{}, instance{}, Heartbeat{Start: Start{ID: "w", Born: 7}, Sequence: 3})
	is.True(!ok) // held up on its way
	_, ok = fresh.take(time.Time{}, instance{}, Heartbeat{Start: Start{ID: "w", Born: 8}, Sequence: 1})
	is.True(ok)
}

// A backend server found at the node's start crashes while its first heartbeat, which
// tells when it started, has just come: the crash is that of the start in use. One of an
// earlier start under the same id is not.
func TestCrashOfAStartWhoseTimeCameLater(t *testing.T) {
	is := is.New(t)
	in := instance{start: Start{ID: "x", Born: 5}}
	is.True(in.is(Start{ID: "x", Born: 5}))
	is.True(in.is(Start{ID: "x"}))
	is.True(!in.is(Start{ID: "x", Born: 4}))
	is.True(!in.is(Start{ID: "y"}))
}
