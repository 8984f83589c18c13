//go:build trace

package loadmodel

import (
	"fmt"
	"testing"
	"time"
)

func TestLong(t *testing.T) {
	for _, slots := range []int{10, 40, 150} {
		out := fmt.Sprintf("slots %d:", slots)
		for seed := uint64(100); seed < 110; seed++ {
			sc := single(3)
			sc.Services[0].Slots = slots
			sc.Phases = []Phase{{Name: "b", For: 3 * time.Second, Load: 0.7}, {Name: "d", For: 5 * time.Second, Load: 3}, {Name: "a", For: 2 * time.Second, Load: 0.7}, {Name: "long", For: 30 * time.Second, Load: 0.7}}
			sc.Seed = seed
			r := Run(sc, Ours())
			out += fmt.Sprintf(" %.1f/%.0f/%.2f", 100*r.Phases[0].Failed(), 100*r.Phases[1].Goodput(), 100*r.Phases[3].Failed())
		}
		fmt.Println(out)
	}
}
