package replay

import (
	"fmt"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The caller sees: a policy that serves the three deployments that it was tried on,
// and not its own. On deployments that nobody chose, more callers must be served in a
// burst than where everything is passed on at once, and of the tries that are let in
// few may break.
func TestRandomDeployments(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	day := shortBurst(Random(0))
	ours, naive := play(t, day, Ours()), play(t, day, Naive())
	is.True(ours.During().ServedAll() > naive.During().ServedAll()+0.1)
	is.True(ours.Broken() < 0.2)
}

// shortBurst asks for half as much again as the slots allow, for three seconds.
func shortBurst(d Deployment) Day {
	day := burst(d, 1.5)
	for i, length := range []time.Duration{2, 3, 2} {
		day.Phases[i].For = length * time.Second
	}
	return day
}

// Compares the latest choices on many random deployments, by hand, with RANDOM=100.
func TestManyRandomDeployments(t *testing.T) {
	n, err := strconv.ParseUint(os.Getenv("RANDOM"), 10, 16)
	if err != nil {
		t.Skip("by hand, with RANDOM=100")
	}
	variants := []Policy{
		Ours(),
		variant("less time first", func(p *Policy) { p.Serve.Queue.YieldShare = 0 }),
		Naive(),
	}
	for seed := range n {
		for _, p := range variants {
			t.Run(fmt.Sprintf("%d/%s", seed, p.Name), func(t *testing.T) {
				t.Parallel()
				r := play(t, shortBurst(Random(seed)), p)
				t.Logf("RANDOM %d %q %.4f %.4f", seed, p.Name, r.During().ServedAll(), r.Broken())
			})
		}
	}
}
