package main

import (
	"fmt"
	"math"
	"math/rand/v2"
	"os"
	"path/filepath"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/internal/rig/load"
)

// user is the system of one user, scaled to one machine: all targets with a part
// of their slots, and longer service times that lower the saturation rate.
type user struct {
	name         string
	graph        *graph.Graph
	graphFile    string
	shape        rig.Shape
	mix          []load.Class
	serviceTimes map[string]time.Duration // mean, by operation
	// deep is the service that saturates first and that all others depend on;
	// wide is the one with five targets.
	deep string
	wide string
	// saturationRate is the rate of arrivals, in requests a second, at which the
	// first service has no free slots.
	saturationRate float64
}

const (
	// slotShare scales the slots of the users' targets.
	slotShare = 0.4
	// serviceTimeSigma is the sigma of the stand-in's lognormal service times.
	serviceTimeSigma = 0.7
	// coldStartTime and coldStartFactor apply to every start of a backend server.
	coldStartTime   = 3 * time.Second
	coldStartFactor = 5
)

func loadUser(name, graphs string) (*user, error) {
	u := savukartta()
	if name == "hallwyl" {
		u = hallwyl()
	}
	u.graphFile = filepath.Join(graphs, name+".hcl")
	src, err := os.ReadFile(u.graphFile)
	if err != nil {
		return nil, fmt.Errorf("setting --graphs: %w", err)
	}
	g, problems := graph.Parse(u.graphFile, src)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	u.graph = g
	if u.mix, err = load.Resolve(u.mix, g); err != nil {
		return nil, err
	}
	if u.shape, err = u.shape.WithGraph(g); err != nil {
		return nil, err
	}
	u.scaleServices()
	u.saturationRate, _ = u.model(scenario{}).Saturation()
	return u, nil
}

func (u *user) scaleServices() {
	for i := range u.shape.Services {
		s := &u.shape.Services[i]
		s.Slots = int(math.Ceil(float64(s.Slots) * slotShare))
		s.ColdFor, s.ColdFactor = coldStartTime, coldStartFactor
		for operation, mean := range u.serviceTimes {
			if service, name := splitOperation(operation); service == s.Name {
				s.Times = append(s.Times, fmt.Sprintf("%s=%s,lognormal", name, mean))
			}
		}
	}
}

func splitOperation(operation string) (service, name string) {
	ext := filepath.Ext(operation)
	return operation[:len(operation)-len(ext)], ext[1:]
}

// model returns the load model of the system during the scenario's trigger.
func (u *user) model(s scenario) load.Model {
	slots := make(map[string]float64)
	for _, service := range u.shape.Services {
		slots[service.Name] = float64(service.Targets*service.Slots) * s.capacityOf(u, service)
	}
	return load.Model{
		Graph: u.graph,
		Mix:   u.mix,
		Slots: slots,
		Time: func(rng *rand.Rand, service, operation string) time.Duration {
			mean := float64(u.serviceTimes[service+"."+operation]) * s.slowdownOf(u, service)
			return time.Duration(mean * math.Exp(rng.NormFloat64()*serviceTimeSigma-serviceTimeSigma*serviceTimeSigma/2))
		},
	}
}

func savukartta() *user {
	return &user{
		name:  "savukartta",
		shape: rig.Savukartta(),
		deep:  "stationlog",
		wide:  "plumecast",
		mix: []load.Class{
			{Service: "plumecast", Operation: "forecast", Share: 0.20},
			{Service: "plumecast", Operation: "overview", Share: 0.25},
			{Service: "fieldlog", Operation: "observations", Share: 0.20},
			{Service: "fieldlog", Operation: "file", Share: 0.08},
			{Service: "alertdesk", Operation: "notices", Share: 0.10},
			{Service: "alertdesk", Operation: "issue", Share: 0.02},
			{Service: "stationlog", Operation: "history", Share: 0.05},
			{Service: "stationlog", Operation: "latest", Share: 0.10},
		},
		serviceTimes: map[string]time.Duration{
			"stationlog.history":    80 * time.Millisecond,
			"stationlog.latest":     50 * time.Millisecond,
			"fieldlog.observations": 30 * time.Millisecond,
			"fieldlog.file":         30 * time.Millisecond,
			"plumecast.forecast":    60 * time.Millisecond,
			"plumecast.overview":    60 * time.Millisecond,
			"alertdesk.notices":     30 * time.Millisecond,
			"alertdesk.issue":       30 * time.Millisecond,
		},
	}
}

func hallwyl() *user {
	return &user{
		name:  "hallwyl",
		shape: rig.Hallwyl(),
		deep:  "history-svc",
		wide:  "dossier-svc",
		mix: []load.Class{
			{Service: "dossier-svc", Operation: "read", Share: 0.30},
			{Service: "dossier-svc", Operation: "shortlist", Share: 0.10},
			{Service: "dossier-svc", Operation: "search", Share: 0.25},
			{Service: "mandate-svc", Operation: "compliance", Share: 0.10},
			{Service: "mandate-svc", Operation: "log", Share: 0.05},
			{Service: "outreach-svc", Operation: "letters", Share: 0.08},
			{Service: "outreach-svc", Operation: "send", Share: 0.04},
			{Service: "history-svc", Operation: "mandates", Share: 0.04},
			{Service: "history-svc", Operation: "references", Share: 0.04},
		},
		serviceTimes: map[string]time.Duration{
			"history-svc.mandates":   150 * time.Millisecond,
			"history-svc.references": 150 * time.Millisecond,
			"mandate-svc.compliance": 50 * time.Millisecond,
			"mandate-svc.log":        50 * time.Millisecond,
			"dossier-svc.read":       60 * time.Millisecond,
			"dossier-svc.shortlist":  90 * time.Millisecond,
			"dossier-svc.search":     60 * time.Millisecond,
			"outreach-svc.letters":   50 * time.Millisecond,
			"outreach-svc.send":      50 * time.Millisecond,
		},
	}
}
