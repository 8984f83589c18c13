package reach

import (
	"fmt"
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
)

var sync, fetch = graph.Ref{Service: "stations", Operation: "sync"}, graph.Ref{Service: "fields", Operation: "fetch"}

func TestCallsLeftShrinkAsARunMakesThem(t *testing.T) {
	is := is.New(t)
	c := NewCalls()
	is.Equal(c.LeftShare("read", sync, 1), 1.0) // unknown
	c.Record("read", map[graph.Ref]int{sync: 4, fetch: 1})
	is.Equal(len(c.Callees("read")), 2)
	for n, want := range map[int]float64{1: 1, 2: 0.75, 4: 0.25, 5: 0.25, 100: 0.25} {
		is.Equal(c.LeftShare("read", sync, n), want)
	}
	is.Equal(c.LeftShare("read", fetch, 1), 1.0)
	is.Equal(c.LeftShare("other", sync, 4), 1.0)
}

// Guards against floors of an operation that is no longer called.
func TestCallsFollowTheRuns(t *testing.T) {
	is := is.New(t)
	c := NewCalls()
	c.Record("read", map[graph.Ref]int{sync: 4})
	for range 200 {
		c.Record("read", map[graph.Ref]int{fetch: 2})
	}
	is.Equal(c.Callees("read"), []graph.Ref{fetch})
	is.True(math.Abs(c.LeftShare("read", fetch, 2)-0.5) < 0.01)
}

// Guards against memory that grows with names that a backend server makes up.
func TestCallsAreBounded(t *testing.T) {
	is := is.New(t)
	c := NewCalls()
	for i := range maxOperations + 10 {
		c.Record(fmt.Sprint(i), map[graph.Ref]int{sync: 1})
	}
	for i := range maxCallees + 10 {
		c.Record("0", map[graph.Ref]int{{Service: fmt.Sprint(i)}: 16})
	}
	is.Equal(len(c.byOperation), maxOperations)
	is.True(len(c.Callees("0")) <= maxCallees)
}
