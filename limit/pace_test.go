package limit

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a machine's slow moments that are taken for the speed of its backend
// server.
func TestPaceTellsSpeedFromSlowMoments(t *testing.T) {
	is := is.New(t)
	var p Pace
	usual, _ := p.Work()
	is.Equal(usual, time.Duration(0))
	const work = 80 * time.Millisecond
	for i := range 600 {
		slowdown := 1.0
		if i%60 < 9 {
			slowdown = 2.5
		}
		p.Record(time.Duration(slowdown*float64(work)), slowdown)
	}
	usual, slowdown := p.Work()
	is.True(usual > work*95/100 && usual < work*105/100)
	is.Equal(slowdown, 1.0)
	p.Record(work, 2.5)
	_, slowdown = p.Work()
	is.Equal(slowdown, 2.5)
}

// Guards against placing by pace where backend servers do not tell their slowdown.
func TestPaceIsUnknownWithoutReports(t *testing.T) {
	is := is.New(t)
	var p Pace
	for range 100 {
		p.Record(time.Second, 0)
	}
	usual, slowdown := p.Work()
	is.Equal(usual, time.Duration(0))
	is.Equal(slowdown, 0.0)
}
