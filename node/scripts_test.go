package node_test

import (
	"bytes"
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/internal/testnode"
)

// prefixBody responds with the request's body after a name and a colon.
func prefixBody(name string) testnode.Script {
	return func(_ context.Context, w *testnode.Work) testnode.Answer {
		return testnode.OK(append([]byte(name+":"), w.Body...))
	}
}

// recordBudget stores the remaining time of the request in budget before it calls next.
func recordBudget(budget *time.Duration, next testnode.Script) testnode.Script {
	return func(ctx context.Context, w *testnode.Work) testnode.Answer {
		*budget = w.Budget
		return next(ctx, w)
	}
}

// proxyTo responds with the answer of another service.
func proxyTo(service, operation string) testnode.Script {
	return func(ctx context.Context, w *testnode.Work) testnode.Answer {
		a, err := w.Call(ctx, service, operation, w.Body)
		if err != nil {
			return testnode.Answer{Status: 500}
		}
		return a
	}
}

// fanOut makes two calls concurrently and responds with both answers.
func fanOut(ctx context.Context, w *testnode.Work) testnode.Answer {
	calls := []testnode.Script{proxyTo("plumecast", "forecast"), proxyTo("fieldlog", "file")}
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

// waitForCancel blocks until the request is cancelled.
func waitForCancel(ctx context.Context, _ *testnode.Work) testnode.Answer {
	<-ctx.Done()
	return testnode.OK(nil)
}

// inSequence runs two scripts in sequence and returns the second one's answer.
func inSequence(first, second testnode.Script) testnode.Script {
	return func(ctx context.Context, w *testnode.Work) testnode.Answer {
		first(ctx, w)
		return second(ctx, w)
	}
}

// branches is the number of backend servers at which one request of issue runs.
const branches = 4

// cluster is a testnode.Cluster with the nodes that startHolding adds.
type cluster struct {
	*testnode.Cluster
	entry *testnode.Instance
	nodes []*testnode.Instance
}

// startHolding adds an entry node and an instance of every service, which run a request
// until it is cancelled. running returns the number of backend servers at work.
func (c *cluster) startHolding(t *testing.T) (running func() int64) {
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
		c.Add("alertdesk", counted(inSequence(fanOut, waitForCancel))),
		c.Add("plumecast", counted(proxyTo("stationlog", "history"))),
		c.Add("fieldlog", counted(waitForCancel)),
		c.Add("stationlog", counted(waitForCancel)),
	}
	c.AwaitReady()
	return n.Load
}

// idle reports whether no node holds any state of a request.
func (c *cluster) idle() bool {
	for _, i := range c.nodes {
		s := i.State()
		if s.CallerRequests != 0 || s.Dispatch.Waiting != 0 || s.Serve.Running != 0 || s.Serve.Queue.Waiting != 0 {
			return false
		}
	}
	return true
}
