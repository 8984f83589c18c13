package balancer

import "time"

// Config configures a Picker.
type Config struct {
	// Subset is the maximum number of candidates in use. It bounds the connections of
	// a node, whatever the size of the service. 24 exceed the 17 nodes that a service has
	// on average at 3,500 nodes in 200 services.
	Subset int
	// SubsetRemote is the part of Subset reserved for other data centres, so that
	// calls can move there when the local data centre fails. Either part may use
	// what the other cannot fill.
	SubsetRemote int

	// SlowStart is how long the share of a new candidate grows to that of a warm one,
	// while its caches fill.
	SlowStart time.Duration
	// ReadmitRamp is the same for a straggler that recovered. It may be shorter than
	// SlowStart, since the candidate has served probes all along.
	ReadmitRamp time.Duration
	// MinShare is the share at the start of a ramp, relative to a warm candidate. It
	// must be large enough for latencies to be measured.
	MinShare float64

	// StragglerFactor is the multiple of the median latency above which a candidate is a
	// straggler. Below 3 the usual spread of a healthy service is mistaken for one.
	StragglerFactor float64
	// SlowStreak consecutive latencies above SlowRunFactor times the median also make a
	// candidate a straggler. This detects one quickly when there are few calls and
	// the average moves slowly.
	SlowStreak    int
	SlowRunFactor float64
	// FastStreak consecutive probes below ReadmitFactor times the median readmit a
	// straggler. ReadmitFactor is below StragglerFactor so that a candidate doesn't
	// alternate between the two states.
	FastStreak    int
	ReadmitFactor float64
	// StragglerErrorRate is the excess of a candidate's failure rate over the median failure
	// rate, from 0 to 1, above which it is a straggler: at a tenth a request of ten calls
	// fails two times in three. Probes readmit it once the
	// excess is at most ReadmitErrorRate.
	StragglerErrorRate float64
	ReadmitErrorRate   float64
	// StragglerMinGap is the minimum excess over the median latency. It keeps network jitter
	// from making stragglers in a service with short latencies.
	StragglerMinGap time.Duration
	// MaxStragglerShare is the maximum share of candidates that are stragglers at one time.
	// If more are slow, overload is the cause, and removing them makes it worse.
	MaxStragglerShare float64
	// MinSamples is the number of latencies measured before a candidate is compared
	// with the median.
	MinSamples int
	// EvaluateEvery is the interval between evaluations of all candidates.
	EvaluateEvery time.Duration
	// ProbeEvery and ProbePicks limit probes of stragglers: at most one per
	// straggler in each interval, and one in ProbePicks picks. A probe is a real
	// request, which may be slow or fail: one in 50 costs 2% even if all do.
	ProbeEvery time.Duration
	ProbePicks int
	// MaxStragglerTime is the longest time that a candidate stays a straggler. It readmits
	// candidates of services with too few calls for probes.
	MaxStragglerTime time.Duration

	// EjectBase is how long a candidate is ejected after a failed call, with a jitter
	// of half of it. It doubles with each consecutive failure, up to EjectMax.
	// Membership removes a node that has stopped.
	EjectBase time.Duration
	EjectMax  time.Duration
	// RefusalBackoff is how long a candidate that refused a call counts as full, with a
	// jitter of half of it. Otherwise a candidate that refuses every call at once
	// would have the shortest queue and attract all calls.
	RefusalBackoff time.Duration

	// ReportTTL is how long a reported load counts; its weight falls to zero
	// linearly over this time.
	ReportTTL time.Duration
	// RemotePenalty is added to the load of full candidates of other data centres, as a
	// fraction of their limit. It keeps calls in the local data centre unless its
	// queues are longer by more than that.
	RemotePenalty float64
	// SlowdownTTL is how long a reported slowdown counts; its weight falls to zero linearly
	// over this time. It is short because the speed of a shared machine changes often.
	SlowdownTTL time.Duration
	// RemoteGain is the share of its time by which a call must end sooner in another data
	// centre to be sent there, where backend servers tell how fast they are.
	RemoteGain float64
	// DefaultLimit is the concurrency limit assumed until a candidate reports one.
	DefaultLimit int
}

// DefaultConfig returns the default configuration.
func DefaultConfig() Config {
	return Config{
		Subset:             24,
		SubsetRemote:       8,
		SlowStart:          10 * time.Second,
		ReadmitRamp:        2 * time.Second,
		MinShare:           0.05,
		StragglerFactor:    3,
		SlowStreak:         3,
		SlowRunFactor:      6,
		FastStreak:         3,
		ReadmitFactor:      1.7,
		StragglerErrorRate: 0.1,
		ReadmitErrorRate:   0.05,
		StragglerMinGap:    5 * time.Millisecond,
		MaxStragglerShare:  1.0 / 3,
		MinSamples:         8,
		EvaluateEvery:      100 * time.Millisecond,
		ProbeEvery:         200 * time.Millisecond,
		ProbePicks:         50,
		MaxStragglerTime:   30 * time.Second,
		EjectBase:          500 * time.Millisecond,
		EjectMax:           10 * time.Second,
		RefusalBackoff:     100 * time.Millisecond,
		ReportTTL:          time.Second,
		RemotePenalty:      0.5,
		SlowdownTTL:        500 * time.Millisecond,
		RemoteGain:         0.2,
		DefaultLimit:       32,
	}
}
