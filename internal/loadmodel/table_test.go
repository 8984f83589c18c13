package loadmodel

import (
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

const seed = 20261202

// single is one service with operations of different cost.
func single(load float64) Scenario {
	return Scenario{
		Name:     "single",
		Services: []Service{{Name: "plumecast", Slots: 40, Backlog: 100000, Work: 40 * time.Millisecond}},
		Operations: []Operation{
			{Name: "forecast", Importance: importance.Critical, Share: 0.05, Path: []int{0}, Cost: 1, Deadline: time.Second},
			{Name: "station", Importance: importance.High, Share: 0.15, Path: []int{0}, Cost: 0.5, Deadline: time.Second},
			{Name: "map", Importance: importance.Normal, Share: 0.4, Path: []int{0}, Cost: 1, Deadline: time.Second},
			{Name: "history", Importance: importance.Low, Share: 0.4, Path: []int{0}, Cost: 2, Deadline: time.Second},
		},
		Phases: surge(load),
		Spread: 0.7, Resends: 3, Delay: time.Millisecond, Seed: seed,
	}
}

func surge(load float64) []Phase {
	return []Phase{
		{Name: "before", Duration: 5 * time.Second, Load: 0.7},
		{Name: "during", Duration: 10 * time.Second, Load: load},
		{Name: "after", Duration: 10 * time.Second, Load: 0.7},
	}
}

// chain is a chain of four services whose last one is the bottleneck. Not all requests
// reach it.
func chain(load float64) Scenario { return chainOf(load, 147, 150, 150, 20) }

// tight is a chain in which calls that wait at the last service fill the slots of the
// services above.
func tight(load float64) Scenario {
	sc := chainOf(load, 110, 90, 60, 20)
	sc.Name = "tight chain"
	return sc
}

func chainOf(load float64, slots ...int) Scenario {
	sc := single(load)
	sc.Name = "chain"
	sc.Services = nil
	for i, name := range []string{"alertdesk", "plumecast", "fieldlog", "stationlog"} {
		sc.Services = append(sc.Services, Service{
			Name: name, Slots: slots[i], Backlog: 100000, Work: 20 * time.Millisecond,
		})
	}
	sc.Operations = []Operation{
		{Name: "forecast", Importance: importance.Critical, Share: 0.05, Path: []int{0, 1, 2, 3}, Cost: 1, Deadline: time.Second},
		{Name: "station", Importance: importance.High, Share: 0.15, Path: []int{0, 1, 2, 3}, Cost: 1, Deadline: time.Second},
		{Name: "map", Importance: importance.Normal, Share: 0.4, Path: []int{0, 1, 2, 3}, Cost: 1, Deadline: time.Second},
		{Name: "notice", Importance: importance.Normal, Share: 0.1, Path: []int{0, 1}, Cost: 1, Deadline: time.Second},
		{Name: "history", Importance: importance.Low, Share: 0.3, Path: []int{0, 1, 2, 3}, Cost: 1, Deadline: time.Second},
	}
	return sc
}

func slowdown(sc Scenario, factor float64, service int, cold bool) Scenario {
	sc.Phases = surge(0.7)
	sc.Phases[1].SlowFactor = factor
	sc.Phases[1].SlowService = service
	sc.Phases[1].Cold = cold
	return sc
}

// TestTable prints the results of all policies. It checks nothing.
func TestTable(t *testing.T) {
	if !testing.Verbose() {
		return
	}
	show := func(title string, sc Scenario, policies ...Policy) {
		t.Log(title)
		t.Log(Header())
		for _, p := range policies {
			t.Log(Run(sc, p).Row())
		}
	}
	all := []Policy{
		NoAdmission(), FixedFIFO(1000), FixedCoDel(1000),
		WithLimit("ours, AIMD limit", newAIMD), WithLimit("ours, gradient limit", newGradient),
		Production(),
	}
	for _, load := range []struct {
		name string
		x    float64
	}{{"0.7x", 0.7}, {"1.5x", 1.5}, {"3x", 3}, {"10x", 10}} {
		show("one service, "+load.name, single(load.x), all...)
		show("chain of four, "+load.name, chain(load.x), all...)
	}
	show("tight chain, 10x", tight(10), all...)
	show("one service, 3x slower at 0.7x", slowdown(single(1), 3, 0, false), all...)
	show("one service, cold start 5x slower at 0.7x", slowdown(single(1), 5, 0, true), all...)
	show("chain, last service 20x slower at 0.7x", slowdown(chain(1), 20, 3, false), all...)
}
