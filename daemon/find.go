package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/platform"
)

const (
	// routesPollInterval is the interval of checks whether the routes, which hold
	// the path of the health check, are known.
	routesPollInterval = 20 * time.Millisecond
	// probeTimeout limits the probe. After it a running backend server has sent
	// a heartbeat.
	probeTimeout = 2 * time.Second
)

// probeBackend checks the health of the backend server once, at the start of the
// node, so that a restarted node need not wait for the next heartbeat.
func probeBackend(ctx context.Context, s platform.Settings, n *node.Node, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	for {
		if table := n.Routes(); table != nil && table.HealthPath(s.Service) != "" {
			b, err := platform.CheckHealth(ctx, s.BackendAddr, table.HealthPath(s.Service))
			if err != nil {
				log.Info().Err(err).Msg("backend server not found at the start")
				return
			}
			n.BackendFound(time.Now(), b)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(routesPollInterval):
		}
	}
}
