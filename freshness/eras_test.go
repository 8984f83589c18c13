package freshness

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against treating a new era as an old one after a start, and against
// ignoring peers that know the era to be old.
func TestEraAgeIsThatOfTheEarliestReport(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var e EraTracker
	is.True(e.ReportedByStore(now, 0).IsZero()) // nothing was ever lost
	is.Equal(e.ReportedByStore(now, 2), now)
	is.Equal(e.ReportedByStore(now.Add(time.Second), 2), now)
	e.ReportedByPeer(now.Add(-time.Minute), 2)
	is.Equal(e.ReportedByStore(now, 2), now.Add(-time.Minute))
	e.ReportedByPeer(now.Add(-time.Hour), 1) // reports on an older era do not count
	e.ReportedByPeer(now, 2)
	is.Equal(e.ReportedByStore(now, 2), now.Add(-time.Minute))
	e.ReportedByPeer(now.Add(time.Hour), 9) // a report on an era that the store has not reported yet does not count
	is.Equal(e.ReportedByStore(now, 2), now.Add(-time.Minute))
	is.Equal(e.ReportedByStore(now, 3), now)
	is.Equal(e.ReportedByStore(now.Add(time.Second), 2), now.Add(time.Second))
	era, since := e.Present()
	is.Equal(era, uint64(3))
	is.Equal(since, now)
}
