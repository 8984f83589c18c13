package rig

import "time"

// Shape is the form of one user's system.
type Shape struct {
	Name        string
	Region      string
	DataCentres []string
	Services    []ServiceShape
}

// ServiceShape is one service and its backend servers.
type ServiceShape struct {
	Name    string
	Targets int
	// Slots and Queue of each backend server.
	Slots int
	Queue int
	// Time is the mean service time of operations that Times does not name;
	// zero leaves the stand-in's default.
	Time time.Duration
	// Times and Calls as the stand-in backend server takes them.
	Times []string
	Calls []string
	// ColdFor and ColdFactor describe the cold start.
	ColdFor    time.Duration
	ColdFactor float64
}

// Instances returns the number of instances.
func (s Shape) Instances() int {
	n := 0
	for _, service := range s.Services {
		n += service.Targets
	}
	return n
}
