//go:build trace

package loadmodel

import (
	"fmt"
	"github.com/cassialoom/cassialoom/limit"
	"os"
	"strconv"
	"testing"
	"time"
)

func TestTrace(t *testing.T) {
	load, _ := strconv.ParseFloat(os.Getenv("LOAD"), 64)
	if load == 0 {
		load = 10
	}
	var sc Scenario
	switch os.Getenv("SC") {
	case "chain":
		sc = chain(load)
	case "slow":
		sc = slowdown(single(1), 3, 0, false)
	case "cold":
		sc = slowdown(single(1), 5, 0, true)
	case "straggler":
		sc = slowdown(chain(1), 20, 3, false)
	default:
		sc = single(load)
	}
	if x, _ := strconv.Atoi(os.Getenv("SLOTS")); x > 0 {
		sc.Services[0].Slots = x
	}
	if os.Getenv("LONG") != "" {
		sc.Phases = []Phase{{Name: "b", For: 3 * time.Second, Load: 0.7}, {Name: "d", For: 5 * time.Second, Load: 3}, {Name: "a", For: 2 * time.Second, Load: 0.7}, {Name: "long", For: 30 * time.Second, Load: 0.7}}
	}
	if x, _ := strconv.Atoi(os.Getenv("SEED")); x > 0 { sc.Seed = uint64(x) }
	p := Ours()
	m := newModel(&sc, &p)
	step := 100 * time.Millisecond
	end := epoch
	for i := range sc.Phases {
		m.phase, m.phaseAt = i, end
		pe := end.Add(sc.Phases[i].For)
		m.arrive()
		for end.Before(pe) {
			end = end.Add(step)
			m.sim.run(end)
			s := fmt.Sprintf("%5.1f", end.Sub(epoch).Seconds())
			for _, n := range m.nodes {
				d := n.limit.(*limit.Limiter).Dump()
				g := n.gate.Dump()
				s += fmt.Sprintf(" | lim %3d fl %3d w %3d r %.2f lat %s %v busy %3d q %3d lvl %5d own %5d cap %.0f arr %.0f", d.Limit, d.InFlight, d.Waiting, d.Ratio, d.Latency, d.Testing, n.backend.busy, n.queue.Len(), g.Level, g.Own, g.Capacity, g.Arrivals)
			}
			fmt.Println(s)
		}
		m.report.endPhase(i)
	}
	m.report.finish()
	fmt.Println(m.report.Row())
}
