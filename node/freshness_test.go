package node_test

import (
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
)

// applyWithin is the time within which a published version must be in force.
const applyWithin = 2 * time.Second

// manualClock is a clock for all nodes of a test that only advance moves.
type manualClock struct {
	mu  sync.Mutex
	now time.Time
}

func (c *manualClock) read() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.now
}

func (c *manualClock) advance(d time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.now = c.now.Add(d)
}

// Guards against a node that keeps old routes when all readers are gone or unreachable:
// without a recent proof it must read the store itself.
func TestNodeWithoutProofReadsTheStoreItself(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1000, 0)}
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.Clock = clock.read })
	reader, idle := c.Add("a", testnode.Echo), c.Add("a", testnode.Echo)
	for _, i := range []*testnode.Instance{reader, idle} {
		i.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), node.SourceStore)
	}
	c.AwaitReady()
	for range 3 { // the reader gets proofs; the idle node requests them from it
		clock.advance(applyWithin)
		reader.Node.RecordProof(clock.read())
		testnode.Await(t, "the idle node has the proof", func() bool { return !idle.Node.NodeState().NeedsProof })
	}
	lastProof := clock.read()
	for !idle.Node.NodeState().NeedsProof && clock.read().Sub(lastProof) < 2*applyWithin {
		clock.advance(10 * time.Millisecond)
	}
	t.Logf("reads the store itself after %v", clock.read().Sub(lastProof))
	is.True(clock.read().Sub(lastProof) < applyWithin)
}

// Guards against a starting node that considers the era of the store new, and so gives no
// proofs and grants no tokens for seconds, though its peers know the age of the era.
func TestStartingNodeReceivesTheAgeOfTheEra(t *testing.T) {
	is := is.New(t)
	clock := &manualClock{now: time.Unix(1000, 0)}
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.Clock = clock.read })
	first := c.Add("a", testnode.Echo)
	first.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), node.SourceStore)
	began := first.Node.RecordEra(3)
	is.Equal(began, clock.read())
	clock.advance(time.Minute)
	late := c.Add("a", testnode.Echo)
	testnode.Await(t, "the late node has the report", func() bool { return late.Node.RecordEra(3).Equal(began) })
	is.Equal(late.Node.RecordEra(4), clock.read())
}
