package reach

import (
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
)

var sync, fetch = graph.Ref{Service: "stations", Operation: "sync"}, graph.Ref{Service: "fields", Operation: "fetch"}

// Guards against floors of an operation that is no longer called.
func TestCallsFollowTheRuns(t *testing.T) {
	is := is.New(t)
	c := NewCalls()
	c.Record("read", map[graph.Ref]int{sync: 4})
	for range 200 {
		c.Record("read", map[graph.Ref]int{fetch: 2})
	}
	is.Equal(c.Callees("read"), []graph.Ref{fetch})
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
