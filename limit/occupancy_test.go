package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a node that holds back for work that has ended long ago, or for its own.
func TestOccupancyEnds(t *testing.T) {
	is := is.New(t)
	now := time.Unix(1000, 0)
	var o Occupancy
	is.Equal(o.Others(now), 0)
	o.Report(now, 60, 0)
	is.Equal(o.Others(now), 60)
	is.Equal(o.Others(now.Add(occupancyTTL)), 0)
	o.Report(now, 60, 65)
	is.Equal(o.Others(now), 0)
	o.Report(now, 60, 50)
	is.Equal(o.Others(now), 10)
}
