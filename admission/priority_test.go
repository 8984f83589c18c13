package admission

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
)

// Guards against a request that goes before a more important one because more of its work is
// done.
func TestRaisedPriorityKeepsItsImportance(t *testing.T) {
	is := is.New(t)
	for _, id := range []string{"a", "b", "c"} {
		p := Priority(importance.Normal, id)
		is.Equal(Raise(p, 0), p)
		is.True(Raise(p, 0.5) > p && Raise(p, 0.75) > Raise(p, 0.5))
		is.Equal(Raise(p, 1), Priority(importance.Normal, id)|hashMask)
		is.Equal(Importance(Raise(p, 1)), importance.Normal)
	}
}
