package retry

import "time"

// pace is a priority floor that spreads the extra attempts of a window over time. Without it
// requests of any priority would spend them in the first seconds of a long failure, and more
// important ones that come later would find none.
type pace struct {
	floor priorityFloor
	spent float64 // since the last adjustment
}

const (
	// unpacedShare is the share of a window's extra attempts that is spent at any rate: a short
	// failure needs them at once.
	unpacedShare = 0.2
	// slowShare is the share of the allowed rate below which the floor falls.
	slowShare = 0.7
)

// adjust raises the floor while extra attempts are spent faster than at the allowed rate per
// second, and lowers it while they are spent much more slowly. unspent is what would remain if none
// had been spent.
func (p *pace) adjust(now time.Time, remaining, unspent, allowedRate float64) {
	elapsed := now.Sub(p.floor.adjustedAt)
	if elapsed < floorInterval {
		return
	}
	rate := p.spent / elapsed.Seconds()
	p.floor.adjustedAt, p.spent = now, 0
	switch {
	case rate > allowedRate && remaining < (1-unpacedShare)*unspent:
		p.floor.raise()
	case rate < slowShare*allowedRate:
		p.floor.lower(float64(elapsed) / float64(floorInterval))
	}
}
