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
	// Rejecting is the share of requests that every backend server of a service rejects, for
	// services other than the bottleneck, too. Silent is the share of requests that they run
	// and leave without an answer.
	Rejecting, Silent map[string]float64
	// Restarting are the services whose nodes restart at the start of the phase.
	Restarting []string
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
	// Loss is the loss of links to the bottleneck service.
	Loss Loss
}

// Loss is the loss of the links to the first Servers backend servers of the bottleneck service.
// Calls that have been sent go on.
type Loss struct {
	Servers int
	// From limits the loss to the links from one data centre, if not empty.
	From string
	// Flap is the time after which the links come back, and are lost again, and so on. Zero
	// means that they stay lost for the whole phase.
	Flap time.Duration
}

// active reports whether the links are lost at a time after the start of the phase.
func (l *Loss) active(after time.Duration) bool {
	return l.Servers > 0 && (l.Flap == 0 || after/l.Flap%2 == 0)
}

// Scenario is the input of one run.
type Scenario struct {
	Deployment Deployment
	Phases     []Phase
	// EagerShare is the share of callers that ignore Retry-After and retry at once.
	EagerShare float64
	Seed       uint64
}
