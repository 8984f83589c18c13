package node_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/verdict"
)

// keyed is a cluster with two nodes to enter at and two that file.
type keyed struct {
	*cluster
	desks, files [2]*testnode.Instance
	// release lets what waits at the backend servers go on.
	release chan struct{}
}

func startKeyed(t *testing.T) *keyed {
	k := &keyed{cluster: startCluster(t, nil), release: make(chan struct{})}
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
	k.AwaitWhole()
	return k
}

// runs is how often an action has run at all backend servers.
func (k *keyed) runs(body string) int {
	return k.files[0].Backend.Runs(body) + k.files[1].Backend.Runs(body)
}

// holder is the node whose backend server ran the action.
func (k *keyed) holder(body string) *testnode.Instance {
	if k.files[0].Backend.Runs(body) > 0 {
		return k.files[0]
	}
	return k.files[1]
}

// send sends the same request through every entry node beside each other.
func (k *keyed) send(t *testing.T, body, key string) (answers func() [2]testnode.Answer) {
	var wg sync.WaitGroup
	var got [2]testnode.Answer
	for i, desk := range k.desks {
		wg.Go(func() { got[i] = desk.Must(t, "fieldlog", "file", body, headers.IdempotencyKey, key) })
	}
	return func() [2]testnode.Answer {
		wg.Wait()
		return got
	}
}

// A caller resends a request with a minted key through another node while the
// first is running: it joins. After the end its answer is given again. When
// the node that the key names is gone, known to be so or not yet, nobody runs
// it again and nobody claims that it did not run.
func TestMintedKeyRunsOnce(t *testing.T) {
	t.Run("then killed", func(t *testing.T) {
		mintedKey(t, func(_ *keyed, holder *testnode.Instance) { holder.Kill() })
	})
	t.Run("then stopped", func(t *testing.T) {
		mintedKey(t, func(k *keyed, holder *testnode.Instance) {
			if err := holder.Stop(t.Context()); err != nil {
				t.Error(err)
			}
			testnode.Await(t, "both know", func() bool {
				return len(k.desks[0].Node.Members()) == 3 && len(k.desks[1].Node.Members()) == 3
			})
		})
	})
}

func mintedKey(t *testing.T, end func(k *keyed, holder *testnode.Instance)) {
	is := is.New(t)
	k := startKeyed(t)
	key := k.desks[0].MintKey(t, "fieldlog", "file")
	answers := k.send(t, "a", key)
	testnode.Await(t, "the second joined the first", func() bool {
		return k.runs("a") == 1 && k.holder("a").State().Serve.Counts.Joined == 1
	})

	close(k.release)
	for _, a := range answers() {
		is.Equal(a.Verdict(), verdict.Ran)
		is.Equal(string(a.Body), "a")
		is.True(a.Header.Get(headers.KeyHeldMs) != "")
	}
	again := k.desks[1].Must(t, "fieldlog", "file", "a", headers.IdempotencyKey, key)
	is.Equal(string(again.Body), "a")
	is.Equal(k.runs("a"), 1)

	end(k, k.holder("a"))
	for _, desk := range k.desks {
		gone := desk.Must(t, "fieldlog", "file", "a", headers.IdempotencyKey, key)
		is.Equal(gone.Verdict(), verdict.MayHaveRun)
		is.Equal(gone.Reason(), verdict.KeyHolderGone)
	}
	is.Equal(k.runs("a"), 1)
}

// A key of the caller's own through two nodes at the same time: the log binds
// it to one node, where the request runs once for both.
func TestOwnKeyRunsOnce(t *testing.T) {
	is := is.New(t)
	k := startKeyed(t)
	close(k.release)

	for _, a := range k.send(t, "b", "key-of-b")() {
		is.Equal(a.Verdict(), verdict.Ran)
		is.Equal(string(a.Body), "b")
	}

	is.Equal(k.runs("b"), 1)
	other := k.desks[0].Must(t, "fieldlog", "file", "c", headers.IdempotencyKey, "key-of-b")
	is.Equal(other.Reason(), verdict.KeyInvalid)
	is.Equal(other.Verdict(), verdict.Ran) // what the key stands for
	is.Equal(k.runs("c"), 0)
}

// The log is down: a key of the caller's own cannot be bound, and without that
// nothing runs. A minted key needs no log. After the outage both work.
func TestOwnKeyInAnOutage(t *testing.T) {
	is := is.New(t)
	k := startKeyed(t)
	close(k.release)
	k.Log.Outage(time.Now().Add(time.Hour))

	a := k.desks[0].Must(t, "fieldlog", "file", "d", headers.IdempotencyKey, "key-of-d")
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.KeyNotBound)
	is.True(a.RetryAfter() > 0)
	is.Equal(k.runs("d"), 0)
	minted := k.desks[0].MintKey(t, "fieldlog", "file")
	a = k.desks[0].Must(t, "fieldlog", "file", "e", headers.IdempotencyKey, minted)
	is.Equal(a.Verdict(), verdict.Ran)

	k.Log.Outage(time.Time{})
	testnode.Await(t, "the key is bound", func() bool {
		a := k.desks[0].Must(t, "fieldlog", "file", "d", headers.IdempotencyKey, "key-of-d")
		return a.Verdict() == verdict.Ran
	})
	is.Equal(k.runs("d"), 1)
}
