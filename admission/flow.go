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

// learn adds an interval (part of one, or several) in which an open share of
// the importance was admitted. Arrivals below the level are only seen from
// callers that do not know it: they give a lower bound.
func (f *flow) learn(cfg *GateConfig, part, share, open, closed float64) {
	exposure := part * share
	if f.changed(open, exposure) {
		*f = flow{}
	}
	fade := math.Pow(cfg.Fade, part)
	f.seen = f.seen*fade + open
	f.exposure = f.exposure*fade + exposure
	if share == 0 {
		f.seen *= math.Pow(0.5, part*float64(cfg.Interval)/float64(cfg.Memory))
	}
	if all := open + closed; all > f.rate()*part {
		*f = flow{seen: all, exposure: part}
	}
}

// changed reports whether a count differs from the estimate by more than
// chance: then what was seen before no longer holds.
func (f *flow) changed(open, exposure float64) bool {
	const deviations = 3
	expected := f.rate() * exposure
	return math.Abs(open-expected) > deviations*math.Sqrt(max(expected, 1))
}
