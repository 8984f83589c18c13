package replay

import (
	"os"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/serve"
)

// ablations lists the production policy and variants of it, each with one mechanism
// switched off.
func ablations() []Policy {
	return []Policy{
		Production(),
		variant("levels at the entry", func(p *Policy) { p.Dispatch.NoAdmission = true }),
		variant("less time first", func(p *Policy) { p.Serve.Queue.YieldShare = 0 }),
		variant("windows of attempts", func(p *Policy) { p.Dispatch.Budget.Window = 0 }),
		variant("deferral", func(p *Policy) { p.Dispatch.RouteHealth = admission.RouteHealthConfig{} }),
		variant("hedges", func(p *Policy) { p.Dispatch.Hedge = false }),
		variant("reoffers", func(p *Policy) { p.Dispatch.MaxReoffers = 0 }),
		variant("reroutes", func(p *Policy) { p.Dispatch.MaxReroutes = 0 }),
		variant("leaving stragglers", func(p *Policy) { p.Dispatch.Balancer.MaxStragglerShare = 0 }),
		variant("last slots free", func(p *Policy) { p.Serve.SlotShare = 1 }),
		variant("bound of waiting", func(p *Policy) { p.Serve.Queue.MaxWait = time.Second }),
		variant("queue by rank", func(p *Policy) { p.Serve.Policy = serve.PolicyFixed }),
	}
}

// Prints the effect of each mechanism: the share of requests served under stress, by
// class and in total, and the share of admitted tries that failed.
func TestAblation(t *testing.T) {
	if os.Getenv("ABLATION") == "" {
		t.Skip("set ABLATION=1 to run")
	}
	for _, d := range []Deployment{Council(), Savukartta(), Hallwyl()} {
		for name, condition := range map[string]func(*Phase){
			"twice the slots asked for": func(p *Phase) { p.Load = 2 },
			"two of three lost":         func(p *Phase) { p.Load, p.LostServers = 0.8, 2 },
			"one slow":                  func(p *Phase) { p.Load, p.SlowFactor = 0.8, 6 },
			"half declined":             func(p *Phase) { p.Load, p.RejectShare = 0.6, 0.55 },
		} {
			for _, p := range ablations() {
				t.Run(d.Name+"/"+name+"/"+p.Name, func(t *testing.T) {
					t.Parallel()
					scenario := burst(d, 1)
					condition(&scenario.Phases[1])
					runTwice(t, scenario, p)
				})
			}
		}
	}
}
