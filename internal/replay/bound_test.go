package replay

import (
	"math"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
)

// The bound serves the more important requests first, from the slots that are left.
func TestBoundServesTheMostImportantFirst(t *testing.T) {
	is := is.New(t)
	near := func(a, b float64) bool { return math.Abs(a-b) < 0.005 }
	d := HallwylGrown()
	all := d.MaxServed(&Phase{Load: 0.9}, 0.95)
	is.True(near(all[importance.Critical], 1) && near(all[importance.Normal], 1))
	// 0.9 of 3.7 servers' worth is asked for, 0.277 of it for critical requests; 0.95 of 2.1 are there.
	fastLost := d.MaxServed(&Phase{Load: 0.9, LostServers: 1}, 0.95)
	is.True(near(fastLost[importance.Critical], 1))
	is.True(near(fastLost[importance.Normal], (0.95*2.1-0.277*0.9*3.7)/(0.723*0.9*3.7)))
	oneLeft := d.MaxServed(&Phase{Load: 0.9, LostServers: 3}, 0.95)
	is.True(oneLeft[importance.Critical] < 1)
	is.Equal(oneLeft[importance.Normal], 0.0)
}
