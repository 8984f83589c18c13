package pipeline

import (
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"
)

// Guards against requests that overtake, are answered out of order, or run behind an
// answer that may close the connection.
func TestLineKeepsOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := Limits{MaxRequests: rapid.IntRange(1, 6).Draw(t, "requests"), MaxBytes: rapid.Int64Range(1, 20).Draw(t, "bytes")}
		var l line
		var sent, answered, running []*request
		closing := false
		steps := rapid.IntRange(1, 60).Draw(t, "steps")
		for range steps {
			switch rapid.IntRange(0, 3).Draw(t, "event") {
			case 0, 1:
				if !l.hasRoom(limits) {
					break
				}
				r := &request{repeatable: rapid.Bool().Draw(t, "repeatable"), bytes: rapid.Int64Range(0, 9).Draw(t, "body")}
				sent = append(sent, r)
				l.add(r)
			case 2:
				if len(running) > 0 {
					i := rapid.IntRange(0, len(running)-1).Draw(t, "finished")
					l.finish(running[i], rapid.Int64Range(0, 9).Draw(t, "answer"))
					running = append(running[:i], running[i+1:]...)
				}
			case 3:
				closing = closing || rapid.IntRange(0, 9).Draw(t, "closing") == 0
				answered = append(answered, l.ready(closing)...)
			}
			for _, r := range l.start() {
				running = append(running, r)
				if !r.repeatable && l.waiting[0] != r {
					t.Fatal("a request that must not be repeated runs before all before it are answered")
				}
			}
			check(t, &l, limits, sent, answered)
		}
	})
}

// check compares a line with what was sent and answered.
func check(t *rapid.T, l *line, limits Limits, sent, answered []*request) {
	if len(sent) != len(answered)+len(l.waiting) || len(l.waiting) > limits.MaxRequests {
		t.Fatalf("%d sent, %d answered, %d wait", len(sent), len(answered), len(l.waiting))
	}
	for i, r := range answered {
		if r != sent[i] || !r.finished {
			t.Fatal("answered out of order")
		}
	}
	held := int64(0)
	for _, r := range l.waiting {
		held += r.bytes
	}
	if held != l.held {
		t.Fatalf("held %d, want %d", l.held, held)
	}
	if l.last && l.hasRoom(limits) {
		t.Fatal("takes requests after the last one")
	}
}

// Guards against one slow request that holds up all that were sent with it.
func TestLineRunsRepeatableRequestsSideBySide(t *testing.T) {
	is := is.New(t)
	var l line
	read, order, after := &request{repeatable: true}, &request{}, &request{repeatable: true}
	for _, r := range []*request{read, order, after} {
		l.add(r)
	}
	is.Equal(l.start(), []*request{read}) // what follows the order waits, too: it would be answered after it
	l.finish(read, 1)
	is.Equal(l.ready(false), []*request{read})
	is.Equal(l.start(), []*request{order, after})
	l.finish(after, 1)
	is.Equal(len(l.ready(true)), 0)
	is.True(!l.ended())
	l.finish(order, 1)
	is.Equal(l.ready(true), []*request{order, after})
	is.True(l.ended())
}
