package replay

import "time"

// Phase is a time with a steady load and steady troubles at the deepest service.
type Phase struct {
	Name string
	For  time.Duration
	// Load is a multiple of what fills the deepest service.
	Load float64
	// Slow multiplies the work of its first backend server, Decline is the
	// share that all of them turn away, and Lost of them are gone for good.
	Slow    float64
	Decline float64
	Lost    int
	// Grey of its backend servers do not answer the share Mute of their requests
	// and answer the share Errors with a failure, though all look healthy.
	Grey   int
	Mute   float64
	Errors float64
}

// Day is one run.
type Day struct {
	Deployment Deployment
	Phases     []Phase
	// Hard is the share of callers that come back at once, whatever they are
	// told.
	Hard float64
	Seed uint64
}
