package node_test

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// mintRequest asks a node for an idempotency key.
type mintRequest struct {
	Seq       uint64 `cbor:"1,keyasint"`
	Operation string `cbor:"2,keyasint"`
}

// mintReply answers a mintRequest.
type mintReply struct {
	Seq    uint64         `cbor:"1,keyasint"`
	Key    string         `cbor:"2,keyasint"`
	Reason verdict.Reason `cbor:"4,keyasint"`
}

// A peer that guesses sequence numbers must not answer another node's mint request:
// the caller would get a key that no node can verify.
func TestForgedKeyReachesNoCaller(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.AwaitReady()
	asked := desk.Dial(t, wire.NewNodeID())
	is.NoErr(asked.Join("fieldlog"))
	testnode.Await(t, "member known", func() bool { return len(desk.Node.Members()) == 2 })
	forger := desk.Dial(t, wire.NewNodeID())
	got := make(chan string, 1)
	go func() { got <- desk.MintKey(t, "fieldlog", "file") }()
	var m mintRequest
	is.NoErr(asked.NextOf(wire.KindMintKeyRequest, &m))
	for seq := range uint64(100) {
		is.NoErr(forger.Send(wire.KindMintKeyReply, mintReply{Seq: seq, Key: "forged"}))
	}
	is.NoErr(forger.Sync())
	is.NoErr(asked.Send(wire.KindMintKeyReply, mintReply{Seq: m.Seq, Key: "true"}))
	is.Equal(<-got, "true")
}

// A request that its backend server declines while a call that it made still runs is
// not reported as "not run": a retry would run that call twice.
func TestDeclineDuringCallMayHaveRun(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	file := c.Add("fieldlog", waitForCancel)
	c.Add("alertdesk", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		go func() { _, _ = w.Call(context.WithoutCancel(ctx), "fieldlog", "file", w.Body) }()
		testnode.Await(t, "the call runs", func() bool { return file.Backend.Runs("x") > 0 })
		return testnode.Declined()
	})
	c.AwaitReady()
	a := file.MustSend(t, "alertdesk", "issue", "x")
	is.Equal(file.Backend.Runs("x"), 1)
	is.Equal(a.Verdict(), verdict.MayHaveRun)
}

// A request whose key is bound to a node that has failed, but is not yet marked
// failed, may have run there: "not run" would make the caller retry with a new key.
func TestOwnKeyOfFailedHolderMayHaveRun(t *testing.T) {
	is := is.New(t)
	k := startKeyCluster(t)
	close(k.release)
	is.Equal(k.desks[0].MustSend(t, "fieldlog", "file", "x", headers.IdempotencyKey, "own").Verdict(), verdict.Ran)
	k.runner("x").Kill()
	for _, desk := range k.desks {
		a := desk.MustSend(t, "fieldlog", "file", "x", headers.IdempotencyKey, "own")
		t.Log(a)
		if a.Verdict() == verdict.NotRun {
			t.Error("reported as not run, but it has run")
		}
	}
	is.Equal(k.runs("x"), 1)
}

// A connection on which only a resend waits, joined to a running request, is not
// closed as idle: the resend would lose its answer.
func TestJoinedRequestKeepsConnectionOpen(t *testing.T) {
	is := is.New(t)
	const idle = 100 * time.Millisecond
	c := startCluster(t, func(cfg *node.Config) {
		cfg.Transport.IdleTimeout = idle
		cfg.Membership.ProbeInterval = time.Hour
		cfg.Membership.RepairInterval = time.Hour
		cfg.Distributor.RepairEvery = time.Hour
	})
	release := make(chan struct{})
	first, second := c.Add("alertdesk", nil), c.Add("alertdesk", nil)
	file := c.Add("fieldlog", func(_ context.Context, w *testnode.Work) testnode.Answer {
		<-release
		return testnode.OK(w.Body)
	})
	c.AwaitReady()
	key := first.MintKey(t, "fieldlog", "file")
	answers := make(chan testnode.Answer, 2)
	send := func(i *testnode.Instance) {
		answers <- i.MustSend(t, "fieldlog", "file", "x", headers.IdempotencyKey, key)
	}
	go send(first)
	testnode.Await(t, "runs", func() bool { return file.Backend.Runs("x") == 1 })
	go send(second)
	testnode.Await(t, "joined", func() bool { return file.State().Serve.Counts.Joined == 1 })
	time.Sleep(10 * idle) // the request runs longer than the idle timeout
	is.Equal(file.State().Serve.Counts.Joined, uint64(1))
	close(release)
	for range 2 {
		a := <-answers
		is.Equal(a.Verdict(), verdict.Ran)
		is.Equal(string(a.Body), "x")
	}
}

// The number of requests that wait for the binding of one key is bounded: in an outage
// of the log, copies of a request would otherwise use up the memory with their bodies.
func TestRequestsWaitingForOneKeyAreBounded(t *testing.T) {
	is := is.New(t)
	const copies = 1000
	c := startCluster(t, func(cfg *node.Config) { cfg.Serve.Once.PendingFor = time.Minute })
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	c.Log.Outage(time.Now().Add(time.Hour))
	p := file.Dial(t, wire.NewNodeID())
	for seq := range uint64(copies) {
		req := request(p, file, seq+1, "x")
		req.Key = "own"
		is.NoErr(p.Send(wire.KindCall, req))
	}
	is.NoErr(p.Send(wire.KindMintKeyRequest, mintRequest{Seq: 1}))
	refused := 0
	for {
		f, err := p.Next()
		is.NoErr(err)
		if f.Kind == wire.KindReply {
			refused++
		}
		if f.Kind == wire.KindMintKeyReply {
			break
		}
	}
	waiting := copies - refused
	bound := node.DefaultConfig().Serve.Once.MaxJoined + 1
	if waiting > bound {
		t.Errorf("%d copies wait for one key, at most %d can be answered", waiting, bound)
	}
}

// Replies with levels of services that do not exist must not grow the memory of the
// calling node, nor the time that it takes for each reply.
func TestReceivedLevelsAreBounded(t *testing.T) {
	is := is.New(t)
	const names = 5000
	c := startCluster(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.AwaitReady()
	p := desk.Dial(t, wire.NewNodeID())
	is.NoErr(p.Join("fieldlog"))
	testnode.Await(t, "member known", func() bool { return len(desk.Node.Members()) == 2 })
	got := make(chan testnode.Answer, 1)
	go func() { got <- desk.MustSend(t, "fieldlog", "file", "x") }()
	var req call.Request
	is.NoErr(p.NextOf(wire.KindCall, &req))
	reply := call.Reply{From: p.ID, To: req.From, Seq: req.Seq, Verdict: verdict.Ran, Status: 200}
	for range names {
		reply.Levels = append(reply.Levels, call.Level{Service: wire.NewNodeID().String(), Priority: 1})
	}
	is.NoErr(p.Send(wire.KindReply, reply))
	<-got
	if n := len(desk.State().Dispatch.Entering); n > 400 {
		t.Errorf("%d services have levels, at most 400 are allowed", n)
	}
}

// A node that cannot track another sender refuses its calls as "not run", rather than
// let them wait until their deadline with an unknown result.
func TestExhaustedNodeRefusesNewSenders(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(cfg *node.Config) {
		cfg.Serve.Once.MaxSenders = 2
		cfg.Serve.Once.MaxFloors = 2
	})
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	for range 4 {
		p := file.Dial(t, wire.NewNodeID())
		is.NoErr(p.Send(wire.KindCall, request(p, file, 1, "x")))
		is.NoErr(p.Sync())
		p.Close()
	}
	is.True(file.State().Serve.Senders.Exhausted)
	a := file.MustSend(t, "fieldlog", "file", "y", headers.DeadlineMs, "1000")
	is.True(a.Reason() != verdict.Deadline)
	is.Equal(a.Verdict(), verdict.NotRun)
}

// A planned stop waits until large replies are written to a slow peer, rather than
// close the connection in the middle of one.
func TestPlannedStopSendsPendingReplies(t *testing.T) {
	is := is.New(t)
	const calls = 12
	// On a loaded machine the peer reads slowly and must not count as frozen.
	c := startCluster(t, func(cfg *node.Config) { cfg.Transport.WriteTimeout = time.Minute })
	file := c.Add("fieldlog", func(_ context.Context, w *testnode.Work) testnode.Answer {
		return testnode.OK(make([]byte, 1<<20))
	})
	c.AwaitReady()
	p := file.Dial(t, wire.NewNodeID())
	for seq := range uint64(calls) {
		is.NoErr(p.Send(wire.KindCall, request(p, file, seq+1, "x")))
	}
	testnode.Await(t, "all ran", func() bool { return file.Backend.Runs("x") == calls && file.State().Serve.Running == 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- file.Stop(t.Context()) }()
	testnode.Await(t, "no work left", func() bool { return file.State().Serve.Draining })
	time.Sleep(300 * time.Millisecond) // the peer reads nothing in this time
	var reply call.Reply
	for n := range calls {
		if err := p.NextOf(wire.KindReply, &reply); err != nil {
			t.Fatalf("answer %d of %d is lost: %v", n+1, calls, err)
		}
	}
	is.NoErr(<-stopped)
}

// Control characters in the reason or a header field of a peer's reply do not reach
// the caller: its HTTP client could not parse the response.
func TestControlCharactersInReplyDoNotReachCaller(t *testing.T) {
	for name, reply := range map[string]call.Reply{
		"reason": {Verdict: verdict.NotRun, Reason: "a\x00b"},
		"field":  {Verdict: verdict.Ran, Status: 200, Header: []call.Field{{Name: "A", Value: "b\x00c"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, nil)
			desk := c.Add("alertdesk", testnode.Echo)
			c.AwaitReady()
			p := desk.Dial(t, wire.NewNodeID())
			is.NoErr(p.Join("fieldlog"))
			testnode.Await(t, "member known", func() bool { return len(desk.Node.Members()) == 2 })
			failed := make(chan error, 1)
			go func() {
				_, err := desk.Send(context.Background(), "fieldlog", "file", []byte("x"))
				failed <- err
			}()
			var req call.Request
			is.NoErr(p.NextOf(wire.KindCall, &req))
			reply.From, reply.To, reply.Seq = p.ID, req.From, req.Seq
			is.NoErr(p.Send(wire.KindReply, reply))
			is.NoErr(<-failed)
		})
	}
}

// A reply uses the connection of its call even if the peer has a later one: the
// calling node would not notice the end of another connection and wait for nothing.
func TestReplyUsesConnectionOfItsCall(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	release := make(chan struct{})
	file := c.Add("fieldlog", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		<-release
		return testnode.OK(w.Body)
	})
	c.AwaitReady()
	asking := wire.NewNodeID()
	first := file.Dial(t, asking)
	is.NoErr(first.Send(wire.KindCall, request(first, file, 1, "x")))
	testnode.Await(t, "the call runs", func() bool { return file.Backend.Runs("x") == 1 })
	later := file.Dial(t, asking)
	is.NoErr(later.Sync())

	close(release)
	var reply call.Reply
	is.NoErr(first.NextOf(wire.KindReply, &reply))
	is.Equal(reply.Verdict, verdict.Ran)
}
