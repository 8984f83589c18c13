package node_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/internal/testnode"
)

// named answers with its name before the body.
func named(name string) testnode.Script {
	return func(_ context.Context, w *testnode.Work) testnode.Answer {
		return testnode.OK(append([]byte(name+":"), w.Body...))
	}
}

// timed notes the time that the request has left.
func timed(budget *time.Duration, next testnode.Script) testnode.Script {
	return func(ctx context.Context, w *testnode.Work) testnode.Answer {
		*budget = w.Budget
		return next(ctx, w)
	}
}

// through answers with the answer of another service.
func through(service, operation string) testnode.Script {
	return func(ctx context.Context, w *testnode.Work) testnode.Answer {
		a, err := w.Call(ctx, service, operation, w.Body)
		if err != nil {
			return testnode.Answer{Status: 500}
		}
		return a
	}
}

// both answers with the answers of its two calls, which run beside each other.
func both(ctx context.Context, w *testnode.Work) testnode.Answer {
	calls := []testnode.Script{through("plumecast", "forecast"), through("fieldlog", "file")}
	answers := make([]chan testnode.Answer, len(calls))
	for i, call := range calls {
		answers[i] = make(chan testnode.Answer, 1)
		go func() { answers[i] <- call(ctx, w) }()
	}
	bodies := make([][]byte, len(calls))
	for i := range calls {
		bodies[i] = (<-answers[i]).Body
	}
	return testnode.OK(bytes.Join(bodies, []byte(" ")))
}

// wait works until nobody waits for the answer.
func wait(ctx context.Context, _ *testnode.Work) testnode.Answer {
	<-ctx.Done()
	return testnode.OK(nil)
}

// then does one thing after the other and gives the second one's answer.
func then(first, second testnode.Script) testnode.Script {
	return func(ctx context.Context, w *testnode.Work) testnode.Answer {
		first(ctx, w)
		return second(ctx, w)
	}
}

// branches is the number of backend servers that one request runs at.
const branches = 4

// cluster has an instance of every service and an entry node of its own.
type cluster struct {
	*testnode.Cluster
	entry *testnode.Instance
	nodes []*testnode.Instance
}

// hold adds instances that work on a request until nobody waits for it. The
// number of backend servers at work is returned.
func (c *cluster) hold(t *testing.T) (running func() int64) {
	var n atomic.Int64
	counted := func(next testnode.Script) testnode.Script {
		return func(ctx context.Context, w *testnode.Work) testnode.Answer {
			n.Add(1)
			defer n.Add(-1)
			return next(ctx, w)
		}
	}
	c.entry = c.Add("alertdesk", nil)
	c.nodes = []*testnode.Instance{
		c.entry,
		c.Add("alertdesk", counted(then(both, wait))),
		c.Add("plumecast", counted(through("stationlog", "history"))),
		c.Add("fieldlog", counted(wait)),
		c.Add("stationlog", counted(wait)),
	}
	c.AwaitWhole()
	return n.Load
}

// idle reports whether no node holds anything of a request.
func (c *cluster) idle() bool {
	for _, i := range c.nodes {
		s := i.State()
		if s.Entered != 0 || s.Dispatch.Waiting != 0 || s.Serve.Running != 0 || s.Serve.Queue.Waiting != 0 {
			return false
		}
	}
	return true
}
