package replay

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a policy that only works for the three fixed deployments: in a burst
// it serves more than the naive policy, and few admitted tries fail.
func TestRandomDeployments(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	scenario := shortBurst(Random(0))
	ours, naive := runScenario(t, scenario, Production()), runScenario(t, scenario, Naive())
	is.True(ours.During().ServedAll() > naive.During().ServedAll()+0.1)
	is.True(ours.FailedShare() < 0.2)
}

// shortBurst is a scenario that asks for 1.5 times the capacity for three seconds.
func shortBurst(d Deployment) Scenario {
	scenario := burst(d, 1.5)
	for i, length := range []time.Duration{2, 3, 2} {
		scenario.Phases[i].Duration = length * time.Second
	}
	return scenario
}

// Compares policies on many random deployments. The environment variable RANDOM sets
// their number.
func TestManyRandomDeployments(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("RANDOM"), 10, 16)
	if err != nil {
		t.Skip("set RANDOM=100 to run")
	}
	variants := []Policy{
		Production(),
		variant("less time first", func(p *Policy) { p.Serve.Queue.YieldShare = 0 }),
		Naive(),
	}
	for seed := range n {
		for _, p := range variants {
			t.Run(fmt.Sprintf("%d/%s", seed, p.Name), func(t *testing.T) {
				t.Parallel()
				r := runScenario(t, shortBurst(Random(seed)), p)
				t.Logf("RANDOM %d %q %.4f %.4f", seed, p.Name, r.During().ServedAll(), r.FailedShare())
			})
		}
	}
}
