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
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.Clock = clock.read })
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

// Guards against a node that takes the store's era for a young one, and proves and lends
// nothing for seconds after its start, though its peers know better.
func TestANodeThatStartsHearsHowOldTheEraIs(t *testing.T) {
	is := is.New(t)
	clock := &sharedClock{now: time.Unix(1000, 0)}
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.Clock = clock.read })
	first := c.Add("a", testnode.Echo)
	first.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), node.SourceStore)
	began := first.Node.EraSeen(3)
	is.Equal(began, clock.read())
	clock.move(time.Minute)
	late := c.Add("a", testnode.Echo)
	testnode.Await(t, "it has heard", func() bool { return late.Node.EraSeen(3).Equal(began) })
	is.Equal(late.Node.EraSeen(4), clock.read())
}
