package retry

import (
	"math"
	"time"
)

// priorityFloor is the priority below which no extra attempt is allowed. A request of many
// calls succeeds only if each call does, so scarce attempts must go to the same requests
// each time; given out at random they would complete few requests.
type priorityFloor struct {
	level      float64
	adjustedAt time.Time
}

const (
	// floorInterval is the minimum time between adjustments. It is longer than an attempt,
	// so that the effect of one adjustment shows before the next.
	floorInterval = 100 * time.Millisecond
	// raiseBelow and lowerAbove are shares of the burst: the floor rises while fewer
	// tokens are available, and falls while more are.
	raiseBelow = 0.3
	lowerAbove = 0.7
	// floorRise is the share of the distance to the highest priority that one adjustment
	// adds; floorFall is the factor by which one adjustment lowers the floor.
	floorRise = 0.15
	floorFall = 0.85
	// minFloor is the level below which the floor is set to zero.
	minFloor = 256
)

// adjust raises or lowers the floor by the available tokens as a share of the burst.
func (f *priorityFloor) adjust(now time.Time, availableShare float64) {
	if now.Sub(f.adjustedAt) < floorInterval {
		return
	}
	f.adjustedAt = now
	switch {
	case availableShare < raiseBelow:
		f.raise()
	case availableShare > lowerAbove:
		f.lower(1)
	}
}

func (f *priorityFloor) raise() { f.level += floorRise * (math.MaxUint16 - f.level) }

// lower makes the given number of adjustments at once.
func (f *priorityFloor) lower(adjustments float64) {
	f.level *= math.Pow(floorFall, adjustments)
	if f.level < minFloor {
		f.level = 0
	}
}
