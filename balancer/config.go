package balancer

import "time"

// Config holds the choices of a Picker.
type Config struct {
	// Subset is the most candidates in use at one time. It bounds the
	// connections of a node whatever the size of a service: 24 are above the
	// 17 nodes that a service has on average at 3,500 nodes in 200 services.
	Subset int
	// SubsetRemote is the part of the subset kept for other data centres, so
	// that there is somewhere to go when the own one is lost. Either part
	// takes what the other cannot fill.
	SubsetRemote int

	// SlowStart is the time over which the share of a new candidate grows:
	// ten seconds let caches fill and code warm up.
	SlowStart time.Duration
	// ReturnRamp is the same after a straggler recovered; it never stopped
	// serving probes, so a shorter one is enough.
	ReturnRamp time.Duration
	// MinShare is the share at the start of a ramp, relative to a warm
	// candidate: enough to measure it.
	MinShare float64

	// LeaveFactor is how many times the median latency of the candidates one
	// must exceed to be left as a straggler. Below 3 the usual spread of a
	// healthy service is mistaken for one.
	LeaveFactor float64
	// SlowRun latencies in a row above SlowRunFactor times the median are
	// enough as well: a caller with few calls would need many seconds for
	// its average to move.
	SlowRun       int
	SlowRunFactor float64
	// FastRun probes in a row below ReturnFactor times the median let a
	// straggler return; the gap between the factors keeps a candidate from
	// changing to and fro.
	FastRun      int
	ReturnFactor float64
	// LeaveFaults is how much the share of requests that a candidate's backend
	// server fails must exceed the median of the candidates to leave it: a request
	// of ten calls fails two times in three at a tenth. Probes let it return once
	// it is below ReturnFaults.
	LeaveFaults  float64
	ReturnFaults float64
	// LeaveGap is the least difference to the median, so that fast services
	// are not judged by noise of the network.
	LeaveGap time.Duration
	// LeaveShare bounds the part of the candidates left at one time. If more
	// are slow, the load is the cause and leaving makes it worse.
	LeaveShare float64
	// MinSamples is the number of latencies before a candidate is judged.
	MinSamples int
	// EvaluateEvery is the time between two judgements of all candidates.
	EvaluateEvery time.Duration
	// ProbeEvery and ProbePicks bound the probes of stragglers: at most one
	// in each interval and one in so many picks. A probe is a real request:
	// 1 in 50 costs 2% even if every probe comes too late.
	ProbeEvery time.Duration
	ProbePicks int
	// MaxLeft ends the time as a straggler even without probes, for services
	// with few calls.
	MaxLeft time.Duration

	// EjectBase is the time for which a candidate is not used after a failed
	// call, jittered by half; it doubles with each further failure up to
	// EjectMax. Membership takes over when the node is really gone.
	EjectBase time.Duration
	EjectMax  time.Duration
	// RefusedFor is the time, jittered by half, for which a candidate that
	// refused counts as full. Without it a candidate that refuses everything
	// at once has the shortest queue and draws all calls.
	RefusedFor time.Duration

	// ReportFor is the time over which the load that a candidate reported
	// fades away.
	ReportFor time.Duration
	// RemoteLoad is how much shorter, as a share of its limit, the queue of a full
	// candidate of another data centre must be to be chosen: half a limit is a
	// wait of half a call, and fewer calls leave their data centre in a shortage.
	RemoteLoad float64
	// DefaultLimit is assumed while no candidate has reported a limit.
	DefaultLimit int
}

// DefaultConfig returns the defaults explained at Config.
func DefaultConfig() Config {
	return Config{
		Subset:        24,
		SubsetRemote:  8,
		SlowStart:     10 * time.Second,
		ReturnRamp:    2 * time.Second,
		MinShare:      0.05,
		LeaveFactor:   3,
		SlowRun:       3,
		SlowRunFactor: 6,
		FastRun:       3,
		ReturnFactor:  1.7,
		LeaveFaults:   0.1,
		ReturnFaults:  0.05,
		LeaveGap:      5 * time.Millisecond,
		LeaveShare:    1.0 / 3,
		MinSamples:    8,
		EvaluateEvery: 100 * time.Millisecond,
		ProbeEvery:    200 * time.Millisecond,
		ProbePicks:    50,
		MaxLeft:       30 * time.Second,
		EjectBase:     500 * time.Millisecond,
		EjectMax:      10 * time.Second,
		RefusedFor:    100 * time.Millisecond,
		ReportFor:     time.Second,
		RemoteLoad:    0.5,
		DefaultLimit:  32,
	}
}
