package retry

import (
	"math"
	"time"
)

// floor is the priority below which no extra attempt is allowed. A request of
// many calls is served only if each of them is: tokens that are dealt out by
// luck finish few requests when many calls fail, and the least important ones
// as often as the others. With a floor the same requests get them each time.
type floor struct {
	level float64
	moved time.Time
}

const (
	// floorEvery is the time between two moves: several attempts long, so that
	// a move shows before the next.
	floorEvery = 100 * time.Millisecond
	// scarce and plenty are shares of the burst: below the one the floor
	// rises, above the other it falls.
	scarce = 0.3
	plenty = 0.7
	// floorRise is the part of the way to the top that one move takes, and
	// floorFall what is left of the floor after one down: from the top to
	// nothing in four seconds.
	floorRise = 0.15
	floorFall = 0.85
	// floorLeast is where the floor is as good as none: a 64th of the lowest
	// importance.
	floorLeast = 256
)

// follow moves the floor by the tokens that are left, as a share of the burst.
func (f *floor) follow(now time.Time, left float64) {
	if now.Sub(f.moved) < floorEvery {
		return
	}
	f.moved = now
	switch {
	case left < scarce:
		f.level += floorRise * (math.MaxUint16 - f.level)
	case left > plenty:
		f.level *= floorFall
	}
	if f.level < floorLeast {
		f.level = 0
	}
}
