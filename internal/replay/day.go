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
