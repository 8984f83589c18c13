package daemon

import (
	"context"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/platform"
)

const (
	// findEvery is the pause between two looks whether the routes are known,
	// which name the path to ask.
	findEvery = 20 * time.Millisecond
	// findFor ends the search: by then a heartbeat has come.
	findFor = 2 * time.Second
)

// findBackend asks the backend server once, at the start of the node, whether it
// runs.
func findBackend(ctx context.Context, s platform.Settings, n *node.Node, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, findFor)
	defer cancel()
	for {
		if table := n.Routes(); table != nil && table.Health(s.Service) != "" {
			b, err := platform.AskHealth(ctx, s.Backend, table.Health(s.Service))
			if err != nil {
				log.Info().Err(err).Msg("backend server not found at the start")
				return
			}
			n.Found(time.Now(), b)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(findEvery):
		}
	}
}
