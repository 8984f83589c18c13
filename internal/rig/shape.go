package rig

import "time"

// Shape describes one user's system: its services and data centres.
type Shape struct {
	Name        string
	Region      string
	DataCentres []string
	Services    []ServiceShape
}

// ServiceShape describes one service and its backend servers.
type ServiceShape struct {
	Name    string
	Targets int
	// Slots is the number of requests that each backend server runs at the same time,
	// and Queue the number that wait for a slot.
	Slots int
	Queue int
	// Time is the mean service time of operations that are not in Times; zero means the
	// stand-in's default.
	Time time.Duration
	// Times and Calls are arguments of the stand-in backend server; see its Config.
	Times []string
	Calls []string
	// ColdFor is the duration of the cold start; zero means none. ColdFactor multiplies
	// the service times at its begin.
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
