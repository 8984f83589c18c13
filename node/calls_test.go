package node_test

import (
	"bytes"
	"context"
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/verdict"
)

// A request enters at a node of another service, fans out over two services
// and one of them calls a third. The answer holds what all of them said.
func TestRequestFansOutOverTheGraph(t *testing.T) {
	is := is.New(t)
	c := start(t, nil)
	entry := c.Add("stationlog", named("history"))
	c.Add("alertdesk", both)
	c.Add("plumecast", through("stationlog", "history"))
	c.Add("fieldlog", named("file"))
	c.AwaitWhole()

	a := entry.Must(t, "alertdesk", "issue", "smoke")

	is.Equal(a.Verdict(), verdict.Ran)
	is.Equal(string(a.Body), "history:smoke file:smoke")
}

// named answers with its name before the body.
func named(name string) testnode.Script {
	return func(_ context.Context, w *testnode.Work) testnode.Answer {
		return testnode.OK(append([]byte(name+":"), w.Body...))
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
	calls := []struct{ service, operation string }{{"plumecast", "forecast"}, {"fieldlog", "file"}}
	answers := make([]chan testnode.Answer, len(calls))
	for i, c := range calls {
		answers[i] = make(chan testnode.Answer, 1)
		go func() { answers[i] <- through(c.service, c.operation)(ctx, w) }()
	}
	bodies := make([][]byte, len(calls))
	for i := range calls {
		a := <-answers[i]
		if a.Status != 200 {
			return a
		}
		bodies[i] = a.Body
	}
	return testnode.OK(bytes.Join(bodies, []byte(" ")))
}
