package replay

import "time"

// Phase is a period with a constant load and constant faults at the bottleneck
// service.
type Phase struct {
	Name     string
	Duration time.Duration
	// Load is a multiple of the request rate that fills the bottleneck service.
	Load float64
	// SlowFactor multiplies the work of the first backend server. RejectShare is the
	// share of requests that every backend server rejects. The first LostServers
	// backend servers stop and don't return.
	SlowFactor  float64
	RejectShare float64
	LostServers int
	// The first FaultyServers backend servers leave the share SilentShare of their
	// requests without an answer and answer the share ErrorShare with a failure. Their
	// health checks pass.
	FaultyServers int
	SilentShare   float64
	ErrorShare    float64
	// The backend servers of LimitedService name the RateLimits, in requests a second, in
	// their answers; those without an entry name none.
	LimitedService string
	RateLimits     []float64
}

// Scenario is the input of one run.
type Scenario struct {
	Deployment Deployment
	Phases     []Phase
	// EagerShare is the share of callers that ignore Retry-After and retry at once.
	EagerShare float64
	Seed       uint64
}
