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

// maxConcurrentDials is the number of connections opened at the same time.
const maxConcurrentDials = 16

// openCallerConnections opens n callers' connections to the entry node. Each makes one call
// and then stays idle. closeAll closes them.
func openCallerConnections(ctx context.Context, c *cluster, n int) (closeAll func(), err error) {
	var mu sync.Mutex
	var open []*http.Transport
	closeAll = func() {
		for _, t := range open {
			t.CloseIdleConnections()
		}
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentDials)
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

// openPeerConnections opens n connections to a node as other nodes do. They stay idle after
// the hello messages. closeAll closes them.
func openPeerConnections(ctx context.Context, i *rig.Instance, n int) (closeAll func(), err error) {
	var mu sync.Mutex
	var open []*transport.Transport
	closeAll = func() {
		for _, t := range open {
			t.Close()
		}
	}
	var group errgroup.Group
	group.SetLimit(maxConcurrentDials)
	for range n {
		group.Go(func() error {
			cfg := transport.DefaultConfig()
			cfg.Cluster = "main"
			cfg.ID = wire.NewNodeID()
			t := transport.New(cfg, idleHandler{})
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

// idleHandler keeps its connections and ignores all events.
type idleHandler struct{}

func (idleHandler) Handle(*transport.Conn, wire.Frame) {}
func (idleHandler) Up(*transport.Conn)                 {}
func (idleHandler) Suspended(*transport.Conn)          {}
func (idleHandler) Down(*transport.Conn)               {}
func (idleHandler) OwesReply(wire.NodeID) bool         { return true }
