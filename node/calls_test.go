package node_test

import (
	"bytes"
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/verdict"
)

// A request enters at a node of another service, fans out over two services
// and one of them calls a third. The answer holds what all of them said, and
// the time that is left shrinks with every hop.
func TestRequestFansOutOverTheGraph(t *testing.T) {
	is := is.New(t)
	var budgets [3]time.Duration
	c := start(t, nil)
	entry := c.Add("stationlog", timed(&budgets[2], named("history")))
	c.Add("alertdesk", timed(&budgets[0], both))
	c.Add("plumecast", timed(&budgets[1], through("stationlog", "history")))
	c.Add("fieldlog", named("file"))
	c.AwaitWhole()

	a := entry.Must(t, "alertdesk", "issue", "smoke", headers.DeadlineMs, "5000")

	is.Equal(a.Verdict(), verdict.Ran)
	is.Equal(string(a.Body), "history:smoke file:smoke")
	is.True(budgets[0] < 5*time.Second)
	is.True(budgets[1] < budgets[0])
	is.True(budgets[2] < budgets[1])
}

// Many requests are under way between the same two nodes and the backend
// server answers the last one first. Each caller gets its own answer.
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
	c := start(t, func(cfg *node.Config) { cfg.Serve.Limit.Initial = requests })
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
	c.AwaitWhole()

	var wg sync.WaitGroup
	got := make([]string, requests)
	for i := range requests {
		wg.Go(func() { got[i] = string(entry.Must(t, "fieldlog", "file", fmt.Sprint(i)).Body) })
	}
	wg.Wait()

	for i := range requests {
		is.Equal(got[i], fmt.Sprint(i))
	}
}

// What is refused before it reaches a backend server says so and did not run.
func TestCallsThatAreNotDeclaredAreRefused(t *testing.T) {
	is := is.New(t)
	c := start(t, nil)
	file := c.Add("fieldlog", testnode.Echo)
	desk := c.Add("alertdesk", through("fieldlog", "file"))
	c.AwaitWhole()

	unknown := file.Must(t, "nowhere", "file", "")
	is.Equal(unknown.Verdict(), verdict.NotRun)
	is.Equal(unknown.Reason(), verdict.UnknownService)
	unknown = file.Must(t, "fieldlog", "burn", "")
	is.Equal(unknown.Verdict(), verdict.NotRun)
	is.Equal(unknown.Reason(), verdict.UnknownOperation)

	undeclared := desk.Must(t, "alertdesk", "idle", "undeclared") // the answer of its call
	is.Equal(undeclared.Status, verdict.UndeclaredCall.Status())
	stranger, err := desk.CallAs(t.Context(), "no such token", "fieldlog", "file", []byte("stranger"))
	is.NoErr(err)
	is.Equal(stranger.Verdict(), verdict.NotRun)
	is.Equal(stranger.Reason(), verdict.BadRequest)
	is.Equal(file.Backend.Runs("undeclared")+file.Backend.Runs("stranger"), 0)
}

// The caller hangs up while its request runs at four backend servers. All of
// them are told, and no node keeps anything of it.
func TestCancellationReachesEveryBranch(t *testing.T) {
	c := start(t, nil)
	running := c.hold(t)
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go func() { _, _ = c.entry.Send(ctx, "alertdesk", "issue", []byte("x")) }() // ends with an error

	testnode.Await(t, "request runs everywhere", func() bool { return running() == branches })
	cancel()

	testnode.Await(t, "every branch has ended", func() bool { return running() == 0 && c.idle() })
}

// The deadline passes while a request runs at four backend servers.
func TestDeadlineEndsEveryBranch(t *testing.T) {
	is := is.New(t)
	c := start(t, nil)
	running := c.hold(t)

	a := c.entry.Must(t, "alertdesk", "issue", "x", headers.DeadlineMs, "300")

	is.Equal(a.Verdict(), verdict.MayHaveRun)
	is.Equal(a.Reason(), verdict.Deadline)
	testnode.Await(t, "every branch has ended", func() bool { return running() == 0 && c.idle() })
}

// Without anybody to run it a request is refused at once, and its caller is
// told when to come back.
func TestNobodyToRunIt(t *testing.T) {
	c := start(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.Add("plumecast", nil)
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitWhole()
	refused := func(service, operation string, reason verdict.Reason) {
		t.Helper()
		is := is.New(t)
		a := desk.Must(t, service, operation, "x")
		is.Equal(a.Verdict(), verdict.NotRun)
		is.Equal(a.Reason(), reason)
		is.True(a.RetryAfter() > 0)
		is.True(a.Header.Get(headers.RetryAfter) != "")
	}

	refused("stationlog", "history", verdict.NoBackend) // no node of the service
	refused("plumecast", "forecast", verdict.NoBackend) // no backend server
	file.Announce("draining")
	testnode.Await(t, "the entry node knows", func() bool {
		return desk.Must(t, "fieldlog", "file", "x").Reason() == verdict.NoBackend
	})
	refused("fieldlog", "file", verdict.NoBackend)
}

// A node has no configuration at its start and refuses. What is published
// later comes into force, and so does what is published after that.
func TestConfigurationPublishedLater(t *testing.T) {
	is := is.New(t)
	t.Parallel()
	c := testnode.Start(t, testnode.DefaultConfig())
	desk := c.Add("alertdesk", testnode.Echo)
	c.Add("fieldlog", testnode.Echo)
	c.AwaitWhole()
	a := desk.Must(t, "fieldlog", "file", "x")
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.NoConfiguration)
	is.True(a.RetryAfter() > 0)

	c.Publish(text)
	testnode.Await(t, "configuration in force", func() bool {
		return desk.Must(t, "fieldlog", "file", "x").Verdict() == verdict.Ran
	})
	c.Publish(`service "fieldlog" {
		operation "file" {}
		operation "strike" {}
	}`)
	testnode.Await(t, "new operation in force", func() bool {
		return desk.Must(t, "fieldlog", "strike", "x").Verdict() == verdict.Ran
	})
}

// Bodies of all sizes up to the limit come through two nodes whole, in both
// directions; beyond it the caller is told which way it was too large.
func TestBodiesAreWholeUpToTheLimit(t *testing.T) {
	is := is.New(t)
	limit := int(node.DefaultConfig().Entry.MaxBody)
	c := start(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.Add("fieldlog", func(_ context.Context, w *testnode.Work) testnode.Answer {
		return testnode.OK(append(w.Body, w.Query...))
	})
	c.AwaitWhole()
	random := rand.NewChaCha8([32]byte{1})
	for _, size := range []int{0, 1, 4095, 4096, 65537, limit - 1, limit} {
		body := make([]byte, size)
		_, _ = random.Read(body) // never fails
		a := desk.Must(t, "fieldlog", "file", string(body))
		is.Equal(a.Verdict(), verdict.Ran)
		is.True(bytes.Equal(a.Body, body))
	}

	a := desk.Must(t, "fieldlog", "file", string(make([]byte, limit+1)))
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.TooLarge)
	a = desk.Must(t, "fieldlog", "file?x", string(make([]byte, limit))) // the answer has one more
	is.Equal(a.Verdict(), verdict.Ran)
	is.Equal(a.Reason(), verdict.TooLarge)
}

// A backend server says that it did not begin, but calls that it made have
// run: the request as a whole did not leave things as they were.
func TestDecliningAfterCallsIsNotNotRun(t *testing.T) {
	c := start(t, nil)
	file := c.Add("fieldlog", testnode.Echo)
	desk := c.Add("alertdesk", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		if slices.Contains([]string{"refused", "ran"}, string(w.Body)) {
			_, _ = w.Call(ctx, "fieldlog", "file", w.Body)
		}
		return testnode.Declined()
	})
	c.AwaitWhole()
	is := is.New(t)

	is.Equal(file.Must(t, "alertdesk", "issue", "ran").Verdict(), verdict.MayHaveRun)
	is.Equal(file.Backend.Runs("ran"), 1)
	is.Equal(file.Must(t, "alertdesk", "issue", "at once").Verdict(), verdict.NotRun)
	file.Announce("draining")
	testnode.Await(t, "calls are refused", func() bool {
		return desk.Must(t, "fieldlog", "file", "x").Reason() == verdict.NoBackend
	})
	is.Equal(file.Must(t, "alertdesk", "issue", "refused").Verdict(), verdict.NotRun)
	is.Equal(file.Backend.Runs("refused"), 0)
}
