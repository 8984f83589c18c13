package replay

import (
	"os"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/serve"
)

// without lists the mechanisms of the decision, each switched off alone.
func without() []Policy {
	return []Policy{
		Ours(),
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

// Prints what each mechanism is worth: served of all requests in the trouble, of the
// most important, and the share of the tries let in that broke.
func TestAblation(t *testing.T) {
	if os.Getenv("ABLATION") == "" {
		t.Skip("by hand, with ABLATION=1")
	}
	for _, d := range []Deployment{Council(), Savukartta(), Hallwyl()} {
		for name, trouble := range map[string]func(*Phase){
			"twice the slots asked for": func(p *Phase) { p.Load = 2 },
			"two of three lost":         func(p *Phase) { p.Load, p.Lost = 0.8, 2 },
			"one slow":                  func(p *Phase) { p.Load, p.Slow = 0.8, 6 },
			"half declined":             func(p *Phase) { p.Load, p.Decline = 0.6, 0.55 },
		} {
			for _, p := range without() {
				t.Run(d.Name+"/"+name+"/"+p.Name, func(t *testing.T) {
					t.Parallel()
					day := burst(d, 1)
					trouble(&day.Phases[1])
					plays(t, day, p)
				})
			}
		}
	}
}
