package replay

import (
	"time"

	"github.com/cassialoom/cassialoom/daemon"
	"github.com/cassialoom/cassialoom/dispatch"
	production "github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/serve"
)

// Policy is what the nodes do about load.
type Policy struct {
	Name     string
	Serve    serve.Config
	Dispatch dispatch.Config
	// Blind nodes do not know the slots of their backend servers.
	Blind bool
}

// bounds of extra attempts on both deployments: a fifth of the requests, and the
// slack of a window.
var bounds = platform.Bounds{RetryRatio: 0.2, RetryWindow: 10 * time.Second, RetrySlack: 60}

// Ours is the policy that runs on the platform.
func Ours() Policy {
	cfg := production.DefaultConfig()
	daemon.SetOverloadControl(&cfg, bounds)
	return Policy{Name: "cassialoom", Serve: cfg.Serve, Dispatch: cfg.Dispatch}
}

// Naive passes everything on at once, to each backend server in turn.
func Naive() Policy {
	p := Ours()
	p.Name = "naive"
	p.Serve.Policy = serve.PolicyNone
	p.Dispatch.NoAdmission = true
	p.Dispatch.RoundRobin = true
	p.Dispatch.MaxReroutes, p.Dispatch.MaxReoffers, p.Dispatch.Hedge = 0, 0, false
	p.Dispatch.Budget.Ratio, p.Dispatch.Budget.Burst = 0, 0
	p.Blind = true
	return p
}
