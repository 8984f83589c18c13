package replay

import (
	"time"

	"github.com/cassialoom/cassialoom/daemon"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/internal/retrybound"
	production "github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/serve"
)

// Policy is the overload policy of the nodes.
type Policy struct {
	Name     string
	Serve    serve.Config
	Dispatch dispatch.Config
	// HideSlots withholds the slots of the backend servers from their nodes, which then
	// derive a limit from latencies.
	HideSlots bool
	// IgnoreRateLimits withholds the rate limits of the backend servers from their nodes.
	IgnoreRateLimits bool
}

// bounds limits the extra attempts in all deployments.
var bounds = platform.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60}

// retryBounds are bounds as a check of them.
var retryBounds = retrybound.Bounds{Ratio: bounds.RetryRatio, Slack: bounds.RetrySlack, Window: bounds.RetryWindow}

// Production returns the policy of the platform.
func Production() Policy {
	cfg := production.DefaultConfig()
	daemon.SetOverloadControl(&cfg, bounds)
	return Policy{Name: "cassialoom", Serve: cfg.Serve, Dispatch: cfg.Dispatch}
}

// Naive returns a policy without admission control and retries, which forwards every
// request at once to the backend servers in turn.
func Naive() Policy {
	p := Production()
	p.Name = "naive"
	p.Serve.Policy = serve.PolicyNone
	p.Dispatch.NoAdmission = true
	p.Dispatch.RoundRobin = true
	p.Dispatch.MaxReroutes, p.Dispatch.MaxReoffers, p.Dispatch.Hedge = 0, 0, false
	p.Dispatch.Budget.Ratio, p.Dispatch.Budget.Burst = 0, 0
	p.HideSlots = true
	return p
}
