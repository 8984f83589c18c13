package node_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/verdict"
)

// A request that fans out over two services and two hops gets the answers of all of
// them, and its remaining time decreases at each hop.
func TestRequestFansOutOverTheGraph(t *testing.T) {
	is := is.New(t)
	var budgets [3]time.Duration
	c := startCluster(t, nil)
	entry := c.Add("stationlog", recordBudget(&budgets[2], prefixBody("history")))
	c.Add("alertdesk", recordBudget(&budgets[0], fanOut))
	c.Add("plumecast", recordBudget(&budgets[1], proxyTo("stationlog", "history")))
	c.Add("fieldlog", prefixBody("file"))
	c.AwaitReady()

	a := entry.MustSend(t, "alertdesk", "issue", "smoke", headers.DeadlineMs, "5000")

	is.Equal(a.Verdict(), verdict.Ran)
	is.Equal(string(a.Body), "history:smoke file:smoke")
	is.True(budgets[0] < 5*time.Second)
	is.True(budgets[1] < budgets[0])
	is.True(budgets[2] < budgets[1])
}

// Each caller gets its own answer when the backend server answers concurrent
// requests between the same two nodes in reverse order.
func TestAnswersOutOfOrderReachTheirCallers(t *testing.T) {
	is := is.New(t)
	const requests = 48
	reversed := make([]chan struct{}, requests+1)
	for i := range reversed {
		reversed[i] = make(chan struct{})
	}
	arrived := make(chan int, requests)
	for i := range requests {
		arrived <- i
	}
	c := startCluster(t, func(cfg *node.Config) { cfg.Serve.Limit.Initial = requests })
	entry := c.Add("alertdesk", testnode.Echo)
	c.Add("fieldlog", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		i := <-arrived
		if i == requests-1 {
			close(reversed[requests])
		}
		<-reversed[i+1]
		defer close(reversed[i])
		return testnode.OK(w.Body)
	})
	c.AwaitReady()

	var wg sync.WaitGroup
	got := make([]string, requests)
	for i := range requests {
		wg.Go(func() { got[i] = string(entry.MustSend(t, "fieldlog", "file", fmt.Sprint(i)).Body) })
	}
	wg.Wait()

	for i := range requests {
		is.Equal(got[i], fmt.Sprint(i))
	}
}

// Calls of unknown operations, undeclared calls and calls with an unknown token are
// refused with their reasons and do not run.
func TestCallsThatAreNotDeclaredAreRefused(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	file := c.Add("fieldlog", testnode.Echo)
	desk := c.Add("alertdesk", proxyTo("fieldlog", "file"))
	c.AwaitReady()

	unknown := file.MustSend(t, "nowhere", "file", "")
	is.Equal(unknown.Verdict(), verdict.NotRun)
	is.Equal(unknown.Reason(), verdict.UnknownService)
	unknown = file.MustSend(t, "fieldlog", "burn", "")
	is.Equal(unknown.Verdict(), verdict.NotRun)
	is.Equal(unknown.Reason(), verdict.UnknownOperation)

	undeclared := desk.MustSend(t, "alertdesk", "idle", "undeclared") // the answer of the call that it makes
	is.Equal(undeclared.Status, verdict.UndeclaredCall.Status())
	stranger, err := desk.CallAs(t.Context(), "no such token", "fieldlog", "file", []byte("stranger"))
	is.NoErr(err)
	is.Equal(stranger.Verdict(), verdict.NotRun)
	is.Equal(stranger.Reason(), verdict.BadRequest)
	is.Equal(file.Backend.Runs("undeclared")+file.Backend.Runs("stranger"), 0)
}

// When the caller closes its connection, the request is cancelled at all backend
// servers that it runs at, and no node keeps any state of it.
func TestCancellationReachesEveryBranch(t *testing.T) {
	c := startCluster(t, nil)
	running := c.startHolding(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = c.entry.Send(ctx, "alertdesk", "issue", []byte("x")) }() // ends with an error

	testnode.Await(t, "request runs everywhere", func() bool { return running() == branches })
	cancel()

	testnode.Await(t, "every branch has ended", func() bool { return running() == 0 && c.idle() })
}

// The deadline of a request ends it at all backend servers that it runs at.
func TestDeadlineEndsEveryBranch(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	running := c.startHolding(t)

	a := c.entry.MustSend(t, "alertdesk", "issue", "x", headers.DeadlineMs, "300")

	is.Equal(a.Verdict(), verdict.MayHaveRun)
	is.Equal(a.Reason(), verdict.Deadline)
	testnode.Await(t, "every branch has ended", func() bool { return running() == 0 && c.idle() })
}

// A request of a service without a ready backend server is refused at once with a
// Retry-After.
func TestRequestWithoutBackendServerIsRefused(t *testing.T) {
	c := startCluster(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.Add("plumecast", nil)
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	refused := func(service, operation string, reason verdict.Reason) {
		t.Helper()
		is := is.New(t)
		a := desk.MustSend(t, service, operation, "x")
		is.Equal(a.Verdict(), verdict.NotRun)
		is.Equal(a.Reason(), reason)
		is.True(a.RetryAfter() > 0)
		is.True(a.Header.Get(headers.RetryAfter) != "")
	}

	refused("stationlog", "history", verdict.NoBackend) // no node of the service
	refused("plumecast", "forecast", verdict.NoBackend) // no backend server
	file.Announce("draining")
	testnode.Await(t, "the entry node knows that the backend server is draining", func() bool {
		return desk.MustSend(t, "fieldlog", "file", "x").Reason() == verdict.NoBackend
	})
	refused("fieldlog", "file", verdict.NoBackend)
}

// A node without a configuration refuses requests. A configuration that is published
// later comes into force, and so does its successor.
func TestConfigurationPublishedLater(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c := testnode.Start(t, testnode.DefaultConfig())
	desk := c.Add("alertdesk", testnode.Echo)
	c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	a := desk.MustSend(t, "fieldlog", "file", "x")
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.NoConfiguration)
	is.True(a.RetryAfter() > 0)

	c.Publish(graphText)
	testnode.Await(t, "configuration in force", func() bool {
		return desk.MustSend(t, "fieldlog", "file", "x").Verdict() == verdict.Ran
	})
	c.Publish(`service "fieldlog" {
		operation "file" {}
		operation "strike" {}
	}`)
	testnode.Await(t, "new operation in force", func() bool {
		return desk.MustSend(t, "fieldlog", "strike", "x").Verdict() == verdict.Ran
	})
}

// Bodies of up to the size limit pass two nodes unchanged in both directions. A
// larger request is refused, and a larger answer is reported as too large.
func TestBodiesAreWholeUpToTheLimit(t *testing.T) {
	is := is.New(t)
	limit := int(node.DefaultConfig().Entry.MaxBody)
	c := startCluster(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.Add("fieldlog", func(_ context.Context, w *testnode.Work) testnode.Answer {
		return testnode.OK(append(w.Body, w.Query...))
	})
	c.AwaitReady()
	random := rand.NewChaCha8([32]byte{1})
	for _, size := range []int{0, 1, 4095, 4096, 65537, limit - 1, limit} {
		body := make([]byte, size)
		_, _ = random.Read(body) // never fails
		a := desk.MustSend(t, "fieldlog", "file", string(body))
		is.Equal(a.Verdict(), verdict.Ran)
		is.True(bytes.Equal(a.Body, body))
	}

	a := desk.MustSend(t, "fieldlog", "file", string(make([]byte, limit+1)))
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.TooLarge)
	a = desk.MustSend(t, "fieldlog", "file?x", string(make([]byte, limit))) // the answer is one byte longer
	is.Equal(a.Verdict(), verdict.Ran)
	is.Equal(a.Reason(), verdict.TooLarge)
}

// A request that its backend server declines is not reported as "not run" if a call
// that it made has run.
func TestDeclineAfterCallMayHaveRun(t *testing.T) {
	c := startCluster(t, nil)
	file := c.Add("fieldlog", testnode.Echo)
	desk := c.Add("alertdesk", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		if slices.Contains([]string{"refused", "ran"}, string(w.Body)) {
			_, _ = w.Call(ctx, "fieldlog", "file", w.Body)
		}
		return testnode.Declined()
	})
	c.AwaitReady()
	is := is.New(t)

	is.Equal(file.MustSend(t, "alertdesk", "issue", "ran").Verdict(), verdict.MayHaveRun)
	is.Equal(file.Backend.Runs("ran"), 1)
	is.Equal(file.MustSend(t, "alertdesk", "issue", "at once").Verdict(), verdict.NotRun)
	file.Announce("draining")
	testnode.Await(t, "calls are refused", func() bool {
		return desk.MustSend(t, "fieldlog", "file", "x").Reason() == verdict.NoBackend
	})
	is.Equal(file.MustSend(t, "alertdesk", "issue", "refused").Verdict(), verdict.NotRun)
	is.Equal(file.Backend.Runs("refused"), 0)
}

// Guards against calls that earn extra attempts instead of taking one: the run that makes them
// follows an attempt that a backend server declined.
func TestCallsOfARepeatedRunTakeExtraAttempts(t *testing.T) {
	is := is.New(t)
	var runs atomic.Int32
	declineOnce := func(ctx context.Context, w *testnode.Work) testnode.Answer {
		if runs.Add(1) == 1 {
			return testnode.Declined()
		}
		return proxyTo("stationlog", "history")(ctx, w)
	}
	c := startCluster(t, nil)
	entry := c.Add("stationlog", testnode.Echo)
	callers := []*testnode.Instance{c.Add("plumecast", declineOnce), c.Add("plumecast", declineOnce)}
	c.AwaitReady()

	a := entry.MustSend(t, "plumecast", "forecast", "smoke")

	is.Equal(a.Verdict(), verdict.Ran)
	is.Equal(runs.Load(), int32(2))
	var charged, calls uint64
	for _, n := range callers {
		budget := n.Node.State().(node.State).Dispatch.Budgets["stationlog"]
		charged, calls = charged+budget.Charged, calls+budget.Calls
	}
	is.Equal(charged, uint64(1))
	is.Equal(calls, uint64(0))
}
