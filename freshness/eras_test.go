package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node that has just started and takes a young era for an old one, and
// against one that waits though its peers know that the era is old.
func TestErasAreAsOldAsTheFirstWhoSawThem(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var e Eras
	is.True(e.Seen(now, 0).IsZero()) // nothing was ever lost
	is.Equal(e.Seen(now, 2), now)
	is.Equal(e.Seen(now.Add(time.Second), 2), now)
	e.Told(now.Add(-time.Minute), 2)
	is.Equal(e.Seen(now, 2), now.Add(-time.Minute))
	e.Told(now.Add(-time.Hour), 1) // an older era says nothing of this one
	e.Told(now, 2)
	is.Equal(e.Seen(now, 2), now.Add(-time.Minute))
	e.Told(now.Add(time.Hour), 9) // what the store has not named counts for nothing yet
	is.Equal(e.Seen(now, 2), now.Add(-time.Minute))
	is.Equal(e.Seen(now, 3), now)
	is.Equal(e.Seen(now.Add(time.Second), 2), now.Add(time.Second))
	era, since := e.Present()
	is.Equal(era, uint64(3))
	is.Equal(since, now)
}
