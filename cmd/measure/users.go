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

// user is one user's system, scaled to one machine: all targets, with a part
// of their slots, and service times that bring the rate at which the system
// is full to some hundreds of requests a second.
type user struct {
	name  string
	graph *graph.Graph
	file  string
	shape rig.Shape
	mix   []load.Class
	times map[string]time.Duration // mean service time, by operation
	// deep is the service that is full first and that all others wait for;
	// wide is the one with five targets.
	deep string
	wide string
	// full is the rate of arrivals at which the first service is full.
	full float64
}

const (
	// slotShare scales the slots of the users' targets.
	slotShare = 0.4
	// sigma is that of the stand-in's lognormal service times.
	sigma = 0.7
	// coldFor and coldFactor are those of every start of a backend server.
	coldFor    = 3 * time.Second
	coldFactor = 5
)

func loadUser(name, graphs string) (*user, error) {
	u := savukartta()
	if name == "hallwyl" {
		u = hallwyl()
	}
	u.file = filepath.Join(graphs, name+".hcl")
	src, err := os.ReadFile(u.file)
	if err != nil {
		return nil, fmt.Errorf("setting --graphs: %w", err)
	}
	g, problems := graph.Parse(u.file, src)
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
	u.scale()
	u.full, _ = u.model(scenario{}).Saturation()
	return u, nil
}

func (u *user) scale() {
	for i := range u.shape.Services {
		s := &u.shape.Services[i]
		s.Slots = int(math.Ceil(float64(s.Slots) * slotShare))
		s.ColdFor, s.ColdFactor = coldFor, coldFactor
		for operation, mean := range u.times {
			if service, name := split(operation); service == s.Name {
				s.Times = append(s.Times, fmt.Sprintf("%s=%s,lognormal", name, mean))
			}
		}
	}
}

func split(operation string) (service, name string) {
	ext := filepath.Ext(operation)
	return operation[:len(operation)-len(ext)], ext[1:]
}

// model is what the limit is computed from while the scenario's trigger is on.
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
			mean := float64(u.times[service+"."+operation]) * s.slowOf(u, service)
			return time.Duration(mean * math.Exp(rng.NormFloat64()*sigma-sigma*sigma/2))
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
		times: map[string]time.Duration{
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
		times: map[string]time.Duration{
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
