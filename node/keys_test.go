package node_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/verdict"
)

// keyCluster is a cluster with two entry nodes and two nodes of the service fieldlog.
type keyCluster struct {
	*cluster
	desks, files [2]*testnode.Instance
	// release is closed to let the requests at the backend servers finish.
	release chan struct{}
}

func startKeyCluster(t *testing.T) *keyCluster {
	k := &keyCluster{cluster: startCluster(t, nil), release: make(chan struct{})}
	for i := range k.desks {
		k.desks[i] = k.Add("alertdesk", testnode.Echo)
		k.files[i] = k.Add("fieldlog", func(ctx context.Context, w *testnode.Work) testnode.Answer {
			select {
			case <-k.release:
			case <-ctx.Done():
			}
			return testnode.OK(w.Body)
		})
	}
	k.AwaitReady()
	return k
}

// runs returns how often an action has run at all backend servers.
func (k *keyCluster) runs(body string) int {
	return k.files[0].Backend.Runs(body) + k.files[1].Backend.Runs(body)
}

// runner returns the node whose backend server ran the action.
func (k *keyCluster) runner(body string) *testnode.Instance {
	if k.files[0].Backend.Runs(body) > 0 {
		return k.files[0]
	}
	return k.files[1]
}

// send sends the same request through every entry node concurrently.
func (k *keyCluster) send(t *testing.T, body, key string) (answers func() [2]testnode.Answer) {
	var wg sync.WaitGroup
	var got [2]testnode.Answer
	for i, desk := range k.desks {
		wg.Go(func() { got[i] = desk.MustSend(t, "fieldlog", "file", body, headers.IdempotencyKey, key) })
	}
	return func() [2]testnode.Answer {
		wg.Wait()
		return got
	}
}

// Guards against a second run of a request with a minted key that is sent again: while the
// first runs, after its end, and after the node that the key names is gone.
func TestMintedKeyRunsOnce(t *testing.T) {
	t.Run("then killed", func(t *testing.T) {
		mintedKey(t, func(_ *keyCluster, runner *testnode.Instance) { runner.Kill() })
	})
	t.Run("then stopped", func(t *testing.T) {
		mintedKey(t, func(k *keyCluster, runner *testnode.Instance) {
			if err := runner.Stop(t.Context()); err != nil {
				t.Error(err)
			}
			testnode.Await(t, "both entry nodes know", func() bool {
				return len(k.desks[0].Node.Members()) == 3 && len(k.desks[1].Node.Members()) == 3
			})
		})
	})
}

// mintedKey sends a request with a minted key repeatedly, before and after end removes the node
// that has run it.
func mintedKey(t *testing.T, end func(k *keyCluster, runner *testnode.Instance)) {
	is := is.New(t)
	k := startKeyCluster(t)
	key := k.desks[0].MintKey(t, "fieldlog", "file")
	answers := k.send(t, "a", key)
	testnode.Await(t, "the second joined the first", func() bool {
		return k.runs("a") == 1 && k.runner("a").State().Serve.Counts.Joined == 1
	})

	close(k.release)
	for _, a := range answers() {
		is.Equal(a.Verdict(), verdict.Ran)
		is.Equal(string(a.Body), "a")
		is.True(a.Header.Get(headers.KeyHeldMs) != "")
	}
	again := k.desks[1].MustSend(t, "fieldlog", "file", "a", headers.IdempotencyKey, key)
	is.Equal(string(again.Body), "a")
	is.Equal(k.runs("a"), 1)

	end(k, k.runner("a"))
	for _, desk := range k.desks {
		gone := desk.MustSend(t, "fieldlog", "file", "a", headers.IdempotencyKey, key)
		is.Equal(gone.Verdict(), verdict.MayHaveRun)
		is.Equal(gone.Reason(), verdict.KeyHolderGone)
	}
	is.Equal(k.runs("a"), 1)
}

// Guards against two runs of a request that is sent through two nodes at the same time with a
// key chosen by the caller: the log binds the key to one node.
func TestCallerKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	k := startKeyCluster(t)
	close(k.release)

	for _, a := range k.send(t, "b", "key-of-b")() {
		is.Equal(a.Verdict(), verdict.Ran)
		is.Equal(string(a.Body), "b")
	}

	is.Equal(k.runs("b"), 1)
	other := k.desks[0].MustSend(t, "fieldlog", "file", "c", headers.IdempotencyKey, "key-of-b")
	is.Equal(other.Reason(), verdict.KeyInvalid)
	is.Equal(other.Verdict(), verdict.Ran) // the request that the key belongs to has run
	is.Equal(k.runs("c"), 0)
}

// Guards against a run with a caller's key that cannot be bound during an outage of the log,
// and against minted keys that depend on the log.
func TestCallerKeyInALogOutage(t *testing.T) {
	is := is.New(t)
	k := startKeyCluster(t)
	close(k.release)
	k.Log.Outage(time.Now().Add(time.Hour))

	a := k.desks[0].MustSend(t, "fieldlog", "file", "d", headers.IdempotencyKey, "key-of-d")
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.KeyNotBound)
	is.True(a.RetryAfter() > 0)
	is.Equal(k.runs("d"), 0)
	minted := k.desks[0].MintKey(t, "fieldlog", "file")
	a = k.desks[0].MustSend(t, "fieldlog", "file", "e", headers.IdempotencyKey, minted)
	is.Equal(a.Verdict(), verdict.Ran)

	k.Log.Outage(time.Time{})
	testnode.Await(t, "the key is bound", func() bool {
		a := k.desks[0].MustSend(t, "fieldlog", "file", "d", headers.IdempotencyKey, "key-of-d")
		return a.Verdict() == verdict.Ran
	})
	is.Equal(k.runs("d"), 1)
}

// Guards against "may have run" for a fresh key after a planned stop of the node that minted
// it: a rolling restart would leave callers that fetch keys ahead without knowledge. The
// second node that stops kept the list of the first.
func TestUnusedKeyOfAStoppedNodeHasNotRun(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	first := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	used, unused := desk.MintKey(t, "fieldlog", "file"), desk.MintKey(t, "fieldlog", "file")
	is.Equal(desk.MustSend(t, "fieldlog", "file", "a", headers.IdempotencyKey, used).Verdict(), verdict.Ran)
	second := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	stop := func(i *testnode.Instance) {
		is.NoErr(i.Stop(t.Context()))
		testnode.Await(t, "it is known to have left", func() bool {
			return !slices.ContainsFunc(desk.Node.Members(), func(r membership.Record) bool { return r.ID == i.Node.ID() })
		})
	}
	stop(first)
	third := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	stop(second)

	a := desk.MustSend(t, "fieldlog", "file", "b", headers.IdempotencyKey, unused)
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.KeyHolderGone)
	a = desk.MustSend(t, "fieldlog", "file", "a", headers.IdempotencyKey, used)
	is.Equal(a.Verdict(), verdict.MayHaveRun)
	is.Equal(a.Reason(), verdict.KeyHolderGone)
	is.Equal(third.Backend.Runs("a")+third.Backend.Runs("b"), 0)
}
