package daemon

import (
	"fmt"
	"math"
	"net"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/logs"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/settings"
)

// checkpointsPerRetention is the number of checkpoints of the configuration in the
// retention time of the log, so that the configuration survives an outage of most
// of that time.
const checkpointsPerRetention = 6

// Values of the hidden setting Policy, for experiments.
const (
	policyNone  = "none"
	policyFixed = "fixed"
	// hopAttempts is the number of attempts of each hop under policyNone, the
	// baseline of experiments: retries at every hop, without overload control.
	hopAttempts = 3
)

// nodeConfig returns the node's configuration for settings. It returns an error if
// the settings of idempotency keys contradict each other.
func nodeConfig(s settings.Settings, listening *listeners, log zerolog.Logger) (node.Config, error) {
	cfg := node.DefaultConfig()
	cfg.Explain.Sink = logs.NewDecisionLogger(logs.DefaultConfig(), log)
	cfg.Service = s.Service
	cfg.DataCentre = s.DataCentre
	cfg.Region = s.Region
	cfg.PeerAddr = s.AdvertisedAddr(port(listening.peers))
	cfg.OpsAddr = s.AdvertisedAddr(port(listening.ops))
	cfg.CallerAddr = s.AdvertisedAddr(port(listening.callers))
	cfg.Seeds = s.Seeds
	cfg.DrainGrace = s.DrainGrace
	cfg.Transport.Cluster = s.Cluster
	cfg.Membership.Retention = s.LogRetention
	cfg.Distributor.CheckpointEvery = min(cfg.Distributor.CheckpointEvery, s.LogRetention/checkpointsPerRetention)
	cfg.Entry.MaxBody = s.MaxBody
	cfg.Backend.MaxAnswer = s.MaxAnswer
	cfg.Serve.Limit.Initial = s.InitialLimit
	cfg.Serve.Limit.Max = s.MaxLimit
	cfg.Serve.Queue.MaxItems = s.Queue
	cfg.Serve.Once.KeyTTL = s.KeyHeldFor
	cfg.Serve.Once.BindingTTL = s.KeyHeldFor
	if err := cfg.Serve.Once.Check(); err != nil {
		return node.Config{}, fmt.Errorf("keys: %w", err)
	}
	applyPolicy(&cfg, s.Policy)
	return cfg, nil
}

// applyPolicy disables parts of the overload control, for experiments.
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
