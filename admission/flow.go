package admission

import "math"

// flow estimates how many calls of one importance arrive per interval, from
// the part of them that the level lets see.
type flow struct {
	// seen calls in exposure, which counts intervals times the open share;
	// both fade.
	seen, exposure float64
}

func (f *flow) rate() float64 {
	if f.exposure <= 0 {
		return 0
	}
	return f.seen / f.exposure
}

// learn adds an interval (part of one, or several) in which a share of the
// importance was let in and some of it arrived: a lower bound in any case.
func (f *flow) learn(cfg *GateConfig, part, share, arrived float64) {
	exposure := part * share
	if f.changed(arrived, exposure) {
		*f = flow{}
	}
	fade := math.Pow(cfg.Fade, part)
	f.seen = f.seen*fade + arrived
	f.exposure = f.exposure*fade + exposure
	if share == 0 {
		f.seen *= math.Pow(0.5, part*float64(cfg.Interval)/float64(cfg.Memory))
	}
	if arrived > f.rate()*part {
		*f = flow{seen: arrived, exposure: part}
	}
}

// changed reports whether a count differs from the estimate by more than
// chance: then what was seen before no longer holds.
func (f *flow) changed(arrived, exposure float64) bool {
	const deviations = 3
	expected := f.rate() * exposure
	return math.Abs(arrived-expected) > deviations*math.Sqrt(max(expected, 1))
}
