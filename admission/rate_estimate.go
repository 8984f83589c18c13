package admission

import "math"

// rateEstimate estimates how many calls of one importance arrive per interval,
// including those that the level rejects, from the calls that it admits.
type rateEstimate struct {
	// counted is the number of calls counted; exposure is the number of intervals times
	// the admitted share. Both decay.
	counted, exposure float64
}

func (f *rateEstimate) rate() float64 {
	if f.exposure <= 0 {
		return 0
	}
	return f.counted / f.exposure
}

// addArrivals adds the arrivals of some intervals, possibly a fraction of one, in which
// a share of the importance was admitted. The estimate is never below the observed
// rate.
func (f *rateEstimate) addArrivals(cfg *GateConfig, intervals, admittedShare, arrived float64) {
	exposure := intervals * admittedShare
	if f.changed(arrived, exposure) {
		*f = rateEstimate{}
	}
	decay := math.Pow(cfg.ArrivalDecay, intervals)
	f.counted = f.counted*decay + arrived
	f.exposure = f.exposure*decay + exposure
	if admittedShare == 0 {
		f.counted *= math.Pow(0.5, intervals*float64(cfg.Interval)/float64(cfg.ClosedHalfLife))
	}
	if arrived > f.rate()*intervals {
		*f = rateEstimate{counted: arrived, exposure: intervals}
	}
}

// changed reports whether a count differs from the estimate by more than chance. Then
// the earlier counts no longer hold.
func (f *rateEstimate) changed(arrived, exposure float64) bool {
	const standardDeviations = 3
	expected := f.rate() * exposure
	return math.Abs(arrived-expected) > standardDeviations*math.Sqrt(max(expected, 1))
}
