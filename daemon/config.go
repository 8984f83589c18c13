package daemon

import (
	"fmt"
	"math"
	"net"
	"time"

	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/settings"
)

// checkpointsPerRetention is how often the configuration is written again
// while the log keeps one record: it survives an outage of most of that time.
const checkpointsPerRetention = 6

// The policies of the hidden setting, for experiments.
const (
	policyNone  = "none"
	policyFixed = "fixed"
	// hopAttempts is how often each hop tries again under policy none: the
	// usual habit that the product is compared with.
	hopAttempts = 3
)

// nodeConfig turns settings into the node's configuration.
func nodeConfig(s settings.Settings, on *listeners) (node.Config, error) {
	cfg := node.DefaultConfig()
	cfg.Service = s.Service
	cfg.DataCentre = s.DataCentre
	cfg.Region = s.Region
	cfg.PeerAddr = s.AdvertisedAddr(port(on.peers))
	cfg.OpsAddr = s.AdvertisedAddr(port(on.ops))
	cfg.CallerAddr = s.AdvertisedAddr(port(on.callers))
	cfg.Seeds = s.Seeds
	cfg.DrainGrace = s.DrainGrace
	cfg.Transport.Cluster = s.Cluster
	cfg.Membership.Retention = s.LogRetention
	cfg.Spread.CheckpointEvery = min(cfg.Spread.CheckpointEvery, s.LogRetention/checkpointsPerRetention)
	cfg.Entry.MaxBody = s.MaxBody
	cfg.Backend.MaxAnswer = s.MaxAnswer
	cfg.Serve.Limit.Initial = s.InitialLimit
	cfg.Serve.Limit.Max = s.MaxLimit
	cfg.Serve.Queue.MaxItems = s.Queue
	cfg.Serve.Once.KeyTTL = s.KeyHeldFor
	cfg.Serve.Once.HeldFor = s.KeyHeldFor
	if err := cfg.Serve.Once.Check(); err != nil {
		return node.Config{}, fmt.Errorf("keys: %w", err)
	}
	applyPolicy(&cfg, s.Policy)
	return cfg, nil
}

// applyPolicy takes parts of the product out, for experiments.
func applyPolicy(cfg *node.Config, policy string) {
	switch policy {
	case policyNone:
		cfg.Serve.Policy = serve.PolicyNone
		cfg.Dispatch.HopAttempts = hopAttempts
	case policyFixed:
		cfg.Serve.Policy = serve.PolicyFixed
	default:
		return
	}
	cfg.Dispatch.NoAdmission = true
	cfg.Dispatch.RoundRobin = true
	cfg.Serve.Queue.MinItems = cfg.Serve.Queue.MaxItems
	cfg.Serve.Queue.MaxWait = time.Duration(math.MaxInt64)
	cfg.Serve.Queue.OverloadAfter = time.Duration(math.MaxInt64)
}

func port(ln net.Listener) int { return ln.Addr().(*net.TCPAddr).Port }
