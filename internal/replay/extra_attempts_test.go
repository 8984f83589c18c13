package replay

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/importance"
)

// declines is a scenario in whose second phase services decline shares of their requests.
func declines(d Deployment, shares map[string]float64) Scenario {
	return Scenario{Deployment: d, Seed: seed, Phases: []Phase{
		{Name: "before", Duration: 4 * time.Second, Load: 0.8},
		{Name: "during", Duration: 5 * time.Second, Load: 0.8, Rejecting: shares},
		{Name: "after", Duration: time.Second, Load: 0.8},
	}}
}

// Guards against more extra attempts than allowed at the deepest service: calls of runs that
// follow a declined attempt, one to three services above, are taken for first attempts.
func TestCallsOfRunsAfterADeclineAreExtraAttempts(t *testing.T) {
	for name, scenario := range map[string]Scenario{
		"savukartta": declines(Savukartta(), map[string]float64{"alertdesk": 0.45, "fieldlog": 0.45, "stationlog": 0.45}),
		"hallwyl":    declines(Hallwyl(), map[string]float64{"outreach-svc": 0.3, "mandate-svc": 0.3, "history-svc": 0.45}),
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			checkExtraAttempts(t, scenario)
		})
	}
}

func checkExtraAttempts(t *testing.T, scenario Scenario) {
	t.Helper()
	r := runScenario(t, scenario, Production())
	for _, u := range r.ExtraAttempts.Fullest() {
		t.Logf("%s: %d of %.0f, %.2f", u.Service, u.Extra, u.Allowed, u.Share())
	}
	is.New(t).NoErr(r.ExtraAttempts.Check())
}

// Guards against important requests that fail in a long decline of all servers of the deepest
// service while less important ones are served: what is allowed in ten seconds covers the
// extra attempts of all important ones.
func TestImportantRequestsFinishDuringALongDecline(t *testing.T) {
	t.Parallel()
	shares := map[string]float64{"history-svc": 0.3}
	s := Scenario{Deployment: Hallwyl(), Seed: seed, Phases: []Phase{{Name: "before", Duration: 8 * time.Second, Load: 0.9}}}
	for i := range 4 {
		s.Phases = append(s.Phases, Phase{Name: fmt.Sprint("part ", i+1), Duration: 2 * time.Second, Load: 0.9, Rejecting: shares})
	}
	s.Phases = append(s.Phases, Phase{Name: "after", Duration: time.Second, Load: 0.9})
	r := runScenario(t, s, Production())
	for _, p := range r.Phases {
		if p.Served(importance.Critical) < 0.95 {
			t.Errorf("%s: %.2f of the critical requests served, %.2f of the normal ones", p.Name, p.Served(importance.Critical), p.Served(importance.Normal))
		}
	}
}

// randomDeclines is a scenario of a random deployment in which each service declines a share of
// its requests, or leaves a share of its answers out, in some of the phases.
func randomDeclines(seed uint64) Scenario {
	d := Random(seed)
	rng := rand.New(rand.NewPCG(seed, 13))
	s := Scenario{Deployment: d, Seed: seed, EagerShare: 0.3 * rng.Float64()}
	for i := range 4 {
		s.Phases = append(s.Phases, Phase{
			Name: fmt.Sprint(i), Duration: time.Duration(2+rng.IntN(3)) * time.Second, Load: 0.5 + rng.Float64(),
			Rejecting: randomShares(rng, d.Services, 0.6), Silent: randomShares(rng, d.Services, 0.15),
		})
	}
	return s
}

// restarting returns the scenario with restarts of the nodes of about half of the services at the
// start of each phase but the first.
func (s Scenario) restarting() Scenario {
	rng := rand.New(rand.NewPCG(s.Seed, 17))
	for i := range s.Phases[1:] {
		for _, service := range s.Deployment.Services {
			if rng.IntN(2) == 0 {
				s.Phases[i+1].Restarting = append(s.Phases[i+1].Restarting, service.Name)
			}
		}
	}
	return s
}

// randomShares draws a share up to most for about half of the services.
func randomShares(rng *rand.Rand, services []Service, most float64) map[string]float64 {
	shares := make(map[string]float64)
	for _, s := range services {
		if rng.IntN(2) == 0 {
			shares[s.Name] = most * rng.Float64()
		}
	}
	return shares
}

// Guards against more extra attempts than allowed on call graphs, loads and declines that no
// other test has, also where nodes restart and forget what they have spent.
func TestRandomDeclinesStayWithinTheExtraAttempts(t *testing.T) {
	seeds := []uint64{3, 4, 6}
	if n, err := strconv.ParseUint(os.Getenv("RANDOM"), 10, 16); err == nil {
		seeds = nil
		for seed := range n {
			seeds = append(seeds, seed)
		}
	}
	for _, seed := range seeds {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			checkExtraAttempts(t, randomDeclines(seed))
		})
		t.Run(fmt.Sprint(seed, " with restarts"), func(t *testing.T) {
			t.Parallel()
			checkExtraAttempts(t, randomDeclines(seed).restarting())
		})
	}
}
