package outage

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

var (
	read = Target{Service: "deep", Operation: "read"}
	note = Target{Service: "notes", Operation: "add"}
)

func recordRuns(n *Needs, count int, calls ...Call) {
	for range count {
		n.Record(startTime, "op", calls)
	}
}

// Guards against refusing requests that would not have made the call.
func TestRareCallIsNotNeeded(t *testing.T) {
	is := is.New(t)
	n := NewNeeds(DefaultNeedsConfig())
	is.Equal(len(n.Of(startTime, "op")), 0)
	for range 20 {
		recordRuns(n, 9, Call{Target: read, Succeeded: true})
		recordRuns(n, 1, Call{Target: read, Succeeded: true}, Call{Target: note, Succeeded: true})
	}
	is.Equal(n.Of(startTime, "op"), []Target{read})
	recordRuns(n, 30)
	is.Equal(len(n.Of(startTime, "op")), 0)
}

// Guards against refusing requests that succeed without the call.
func TestToleratedCallIsNotNeeded(t *testing.T) {
	is := is.New(t)
	n := NewNeeds(DefaultNeedsConfig())
	recordRuns(n, 20, Call{Target: read, Succeeded: true})
	is.Equal(n.Of(startTime, "op"), []Target{read})
	recordRuns(n, 1, Call{Target: read})
	is.Equal(len(n.Of(startTime, "op")), 0)
	is.Equal(n.Of(at(2*time.Minute), "op"), []Target{read})
}

// A call that the backend server has repeated counts as one.
func TestRepeatedCallCountsOnce(t *testing.T) {
	is := is.New(t)
	calls := Add(Add(Add(nil, read, false), read, true), note, false)
	is.Equal(calls, []Call{{Target: read, Succeeded: true}, {Target: note}})
}

// Guards against memory growth by operations and calls that callers name.
func TestNeedsAreBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultNeedsConfig()
	cfg.Operations, cfg.Calls = 2, 2
	n := NewNeeds(cfg)
	for i := range 5 {
		name := string(rune('a' + i))
		n.Record(startTime, name, nil)
		n.Record(startTime, "a", []Call{{Target: Target{Service: name}}})
	}
	is.Equal(len(n.operations), 2)
	is.Equal(len(n.operations["a"].calls), 2)
}

// Guards against a node that tells nobody about scarce extra attempts for calls that only some
// runs make, or tells of calls that are no longer made.
func TestCalledOperationsFollowTheRuns(t *testing.T) {
	is := is.New(t)
	n := NewNeeds(DefaultNeedsConfig())
	is.Equal(len(n.Called("op")), 0)
	recordRuns(n, 1, Call{Target: read, Succeeded: true})
	is.Equal(n.Called("op"), []Target{read})
	recordRuns(n, 9, Call{Target: note, Succeeded: true})
	is.Equal(n.Called("op"), []Target{read, note})
	recordRuns(n, 400, Call{Target: note, Succeeded: true})
	is.Equal(n.Called("op"), []Target{note})
}
