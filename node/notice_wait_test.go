package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/verdict"
)

// Guards against a crashing request that is the first to arrive at a node that has just started: its
// backend server gets none before another node of the service has told what it knows.
func TestBackendServerIsReadyOnceNoticesAreKnown(t *testing.T) {
	is := is.New(t)
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.NoticeWait = time.Minute })
	a := c.Add("a", testnode.Echo)
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	is.Equal(forward(a, "a", "too early", "").Reason, verdict.NoBackend)
	b := c.Add("a", testnode.Echo)
	for _, n := range []*testnode.Instance{a, b} {
		testnode.Await(t, "requests run", func() bool { return forward(n, "a", "r", "").Verdict == verdict.Ran })
	}
}

// Guards against the only node of a service, which nobody tells anything, being out of use for good.
func TestOnlyNodeOfAServiceIsReadyAfterTheWait(t *testing.T) {
	c := startWithRoutes(t, func(cfg *node.Config) { cfg.NoticeWait = 100 * time.Millisecond })
	a := c.Add("a", testnode.Echo)
	a.Node.Publish(routesText{Version: 1, Services: []string{"a"}}.encode(t), "store")
	testnode.Await(t, "requests run", func() bool { return forward(a, "a", "r", "").Verdict == verdict.Ran })
}
