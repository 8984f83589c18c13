package bench

import (
	"context"
	"fmt"
	"net/http"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// dialing is how many connections are opened at the same time.
const dialing = 16

// holdCallers opens n callers' connections to the node where calls enter; each
// has made one call and is idle. closeAll ends them.
func holdCallers(ctx context.Context, c *cluster, n int) (closeAll func(), err error) {
	var mu sync.Mutex
	var open []*http.Transport
	closeAll = func() {
		for _, t := range open {
			t.CloseIdleConnections()
		}
	}
	var group errgroup.Group
	group.SetLimit(dialing)
	for range n {
		group.Go(func() error {
			t := &http.Transport{MaxIdleConnsPerHost: 1}
			mu.Lock()
			open = append(open, t)
			mu.Unlock()
			return post(ctx, &http.Client{Transport: t}, c.forwarded(), "hello")
		})
	}
	return closeAll, group.Wait()
}

// holdPeers opens n connections to the node as other nodes do; they say
// nothing after the hellos. closeAll ends them.
func holdPeers(ctx context.Context, i *rig.Instance, n int) (closeAll func(), err error) {
	var mu sync.Mutex
	var open []*transport.Transport
	closeAll = func() {
		for _, t := range open {
			t.Close()
		}
	}
	var group errgroup.Group
	group.SetLimit(dialing)
	for range n {
		group.Go(func() error {
			cfg := transport.DefaultConfig()
			cfg.Cluster = "main"
			cfg.ID = wire.NewNodeID()
			t := transport.New(cfg, silent{})
			mu.Lock()
			open = append(open, t)
			mu.Unlock()
			if _, err := t.Connect(ctx, wire.NodeID{}, i.PeerAddr); err != nil {
				return fmt.Errorf("peer connection: %w", err)
			}
			return nil
		})
	}
	return closeAll, group.Wait()
}

// silent is a peer that keeps its connections and takes no notice of anything.
type silent struct{}

func (silent) Handle(*transport.Conn, wire.Frame) {}
func (silent) Up(*transport.Conn)                 {}
func (silent) Stalled(*transport.Conn)            {}
func (silent) Down(*transport.Conn)               {}
func (silent) OwesReply(wire.NodeID) bool         { return true }
