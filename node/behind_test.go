package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
)

// applyWithin is the time in which a confirmed version must be in force.
const applyWithin = 2 * time.Second

// Guards against a node that stays behind for good when the nodes that read the store for
// it are gone or out of its reach: without news it must read the store itself.
func TestANodeWithoutProofReadsTheStoreItself(t *testing.T) {
	is := is.New(t)
	c := startRouted(t, nil)
	reads, rests := c.Add("a", testnode.Echo), c.Add("a", testnode.Echo)
	for _, i := range []*testnode.Instance{reads, rests} {
		i.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), node.SourceStore)
	}
	c.AwaitWhole()
	// The first reads on, the other hears of it though it has no requests.
	for end := time.Now().Add(applyWithin); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		reads.Node.Proved(reads.Node.LeaseClock())
	}
	is.True(!rests.Node.Situation().Unproved)
	silent := time.Now()
	for !rests.Node.Situation().Unproved && time.Since(silent) < 2*applyWithin {
		time.Sleep(10 * time.Millisecond)
	}
	t.Logf("reads the store itself after %v", time.Since(silent).Round(time.Millisecond))
	is.True(time.Since(silent) < applyWithin)
}
