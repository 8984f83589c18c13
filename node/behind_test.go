package node_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
)

// applyWithin is the time in which a confirmed version must be in force.
const applyWithin = 2 * time.Second

// sharedClock is a clock that stands until it is moved, the same for all nodes of a test.
type sharedClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *sharedClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *sharedClock) move(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// Guards against a node that stays behind for good when the nodes that read the store for
// it are gone or out of its reach: without news it must read the store itself.
func TestANodeWithoutProofReadsTheStoreItself(t *testing.T) {
	is := is.New(t)
	clock := &sharedClock{now: time.Unix(1000, 0)}
	c := startRouted(t, func(cfg *node.Config) { cfg.Clock = clock.read })
	reads, rests := c.Add("a", testnode.Echo), c.Add("a", testnode.Echo)
	for _, i := range []*testnode.Instance{reads, rests} {
		i.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), node.SourceStore)
	}
	c.AwaitWhole()
	for range 3 { // the first reads on; the other hears of it though it has no requests
		clock.move(applyWithin)
		reads.Node.Proved(clock.read())
		testnode.Await(t, "the other has the proof", func() bool { return !rests.Node.Situation().Unproved })
	}
	silent := clock.read()
	for !rests.Node.Situation().Unproved && clock.read().Sub(silent) < 2*applyWithin {
		clock.move(10 * time.Millisecond)
	}
	t.Logf("reads the store itself after %v", clock.read().Sub(silent))
	is.True(clock.read().Sub(silent) < applyWithin)
}
