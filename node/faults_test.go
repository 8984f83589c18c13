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

type mintRequest struct {
	Seq       uint64 `cbor:"1,keyasint"`
	Operation string `cbor:"2,keyasint"`
}
type mintReply struct {
	Seq    uint64         `cbor:"1,keyasint"`
	Key    string         `cbor:"2,keyasint"`
	Reason verdict.Reason `cbor:"4,keyasint"`
}

// A caller asks for a key. Before the node that was asked answers, another
// peer sends answers with guessed numbers, which count up from 1. The caller
// gets a key that nobody can verify: all its requests with it are refused, or
// said to "may have run" because the key names a node of the forger's choice.
func TestForgedKeyReachesNoCaller(t *testing.T) {
	is := is.New(t)
	c := start(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.AwaitWhole()
	asked := desk.Dial(t, wire.NewNodeID())
	is.NoErr(asked.Join("fieldlog"))
	testnode.Await(t, "member known", func() bool { return len(desk.Node.Members()) == 2 })
	forger := desk.Dial(t, wire.NewNodeID())
	got := make(chan string, 1)
	go func() { got <- desk.MintKey(t, "fieldlog", "file") }()
	var m mintRequest
	is.NoErr(asked.NextOf(wire.KindMint, &m))
	for seq := range uint64(100) {
		is.NoErr(forger.Send(wire.KindMinted, mintReply{Seq: seq, Key: "forged"}))
	}
	is.NoErr(forger.Sync())
	is.NoErr(asked.Send(wire.KindMinted, mintReply{Seq: m.Seq, Key: "true"}))
	is.Equal(<-got, "true")
}

// A backend server starts a call of its own, and declines ("503, not run")
// while that call is running elsewhere. The request as a whole has run in
// part; "not run" lets the caller, or this node itself, send it again.
func TestDecliningDuringACallIsNotNotRun(t *testing.T) {
	is := is.New(t)
	c := start(t, nil)
	file := c.Add("fieldlog", wait)
	c.Add("alertdesk", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		go func() { _, _ = w.Call(context.WithoutCancel(ctx), "fieldlog", "file", w.Body) }()
		testnode.Await(t, "the call runs", func() bool { return file.Backend.Runs("x") > 0 })
		return testnode.Declined()
	})
	c.AwaitWhole()
	a := file.Must(t, "alertdesk", "issue", "x")
	is.Equal(file.Backend.Runs("x"), 1)
	is.Equal(a.Verdict(), verdict.MayHaveRun)
}

// A request with a key of the caller's own has run at the node that the log
// binds it to. That node dies; the caller, whose first answer was lost, sends
// the same request again at once, before anybody holds the node for dead. It
// is redirected, the connection cannot be opened, and the answer is "not run"
// although the action has run: a caller that believes it uses a new key.
// (A minted key in the same place is answered key-holder-gone, may have run.)
func TestOwnKeyOfADeadHolderIsNotNotRun(t *testing.T) {
	is := is.New(t)
	k := startKeyCluster(t)
	close(k.release)
	is.Equal(k.desks[0].Must(t, "fieldlog", "file", "x", headers.IdempotencyKey, "own").Verdict(), verdict.Ran)
	k.runner("x").Kill()
	for _, desk := range k.desks {
		a := desk.Must(t, "fieldlog", "file", "x", headers.IdempotencyKey, "own")
		t.Log(a)
		if a.Verdict() == verdict.NotRun {
			t.Error("not run: but it has")
		}
	}
	is.Equal(k.runs("x"), 1)
}

// A resend joined the running request. Its node's connection to the holder
// carries nothing else, so the holder, which only counts attempts that have a
// task of their own (Server.Owes), closes it as idle: the resend loses its
// answer, or spends the request's extra attempts on joining again and again.
func TestJoinedRequestKeepsItsConnection(t *testing.T) {
	is := is.New(t)
	const idle = 100 * time.Millisecond
	c := start(t, func(cfg *node.Config) {
		cfg.Transport.IdleTimeout = idle
		cfg.Membership.ProbeInterval = time.Hour
		cfg.Membership.RepairInterval = time.Hour
		cfg.Spread.RepairEvery = time.Hour
	})
	release := make(chan struct{})
	first, second := c.Add("alertdesk", nil), c.Add("alertdesk", nil)
	file := c.Add("fieldlog", func(_ context.Context, w *testnode.Work) testnode.Answer {
		<-release
		return testnode.OK(w.Body)
	})
	c.AwaitWhole()
	key := first.MintKey(t, "fieldlog", "file")
	answers := make(chan testnode.Answer, 2)
	send := func(i *testnode.Instance) {
		answers <- i.Must(t, "fieldlog", "file", "x", headers.IdempotencyKey, key)
	}
	go send(first)
	testnode.Await(t, "runs", func() bool { return file.Backend.Runs("x") == 1 })
	go send(second)
	testnode.Await(t, "joined", func() bool { return file.State().Serve.Counts.Joined == 1 })
	time.Sleep(10 * idle) // the backend server takes that long
	is.Equal(file.State().Serve.Counts.Joined, uint64(1))
	close(release)
	for range 2 {
		a := <-answers
		is.Equal(a.Verdict(), verdict.Ran)
		is.Equal(string(a.Body), "x")
	}
}

// In an outage of the log a caller, or a faulty peer, sends the same key again
// and again. Each copy waits for the binding: MaxPending bounds the keys, and
// nothing the copies, each with a body of up to 4 MB. The state dump counts
// keys only ("waiting_for_binding": 1).
func TestCopiesOfOneKeyAreBounded(t *testing.T) {
	is := is.New(t)
	const copies = 1000
	c := start(t, func(cfg *node.Config) { cfg.Serve.Once.PendingFor = time.Minute })
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitWhole()
	c.Log.Outage(time.Now().Add(time.Hour))
	p := file.Dial(t, wire.NewNodeID())
	for seq := range uint64(copies) {
		req := request(p, file, seq+1, "x")
		req.Key = "own"
		is.NoErr(p.Send(wire.KindCall, req))
	}
	is.NoErr(p.Send(wire.KindMint, mintRequest{Seq: 1}))
	refused := 0
	for {
		f, err := p.Next()
		is.NoErr(err)
		if f.Kind == wire.KindReply {
			refused++
		}
		if f.Kind == wire.KindMinted {
			break
		}
	}
	waiting := copies - refused
	bound := node.DefaultConfig().Serve.Once.MaxJoined + 1
	if waiting > bound {
		t.Errorf("%d copies wait for one key, at most %d can ever be answered", waiting, bound)
	}
}

// A node of a called service names services that do not exist in the levels
// of its replies. The caller's node keeps every name for good, and looks
// through all of them at each reply.
func TestLearnedLevelsAreBounded(t *testing.T) {
	is := is.New(t)
	const names = 5000
	c := start(t, nil)
	desk := c.Add("alertdesk", testnode.Echo)
	c.AwaitWhole()
	p := desk.Dial(t, wire.NewNodeID())
	is.NoErr(p.Join("fieldlog"))
	testnode.Await(t, "member known", func() bool { return len(desk.Node.Members()) == 2 })
	got := make(chan testnode.Answer, 1)
	go func() { got <- desk.Must(t, "fieldlog", "file", "x") }()
	var req call.Request
	is.NoErr(p.NextOf(wire.KindCall, &req))
	reply := call.Reply{From: p.ID, To: req.From, Seq: req.Seq, Verdict: verdict.Ran, Status: 200}
	for range names {
		reply.Levels = append(reply.Levels, call.Level{Service: wire.NewNodeID().String(), Priority: 1})
	}
	is.NoErr(p.Send(wire.KindReply, reply))
	<-got
	if n := len(desk.State().Dispatch.Entering); n > 400 {
		t.Errorf("%d services with levels, the graph has 4 and can have 400", n)
	}
}

// A node has heard from so many senders that it can tell no new one apart (by
// default 4096 and 32768: a month, by the comment at once.Senders). It then
// says nothing at all to them: each call waits until its deadline and "may
// have run", also the calls of its own callers, while it looks ready. Nobody
// asks Exhausted. As it never accepts such a sender, "not run" would be true.
func TestExhaustedNodeRefusesInsteadOfSilence(t *testing.T) {
	is := is.New(t)
	c := start(t, func(cfg *node.Config) {
		cfg.Serve.Once.MaxSenders = 2
		cfg.Serve.Once.MaxFloors = 2
	})
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitWhole()
	for range 4 {
		p := file.Dial(t, wire.NewNodeID())
		is.NoErr(p.Send(wire.KindCall, request(p, file, 1, "x")))
		is.NoErr(p.Sync())
		p.Close()
	}
	is.True(file.State().Serve.Senders.Exhausted)
	a := file.Must(t, "fieldlog", "file", "y", headers.DeadlineMs, "1000")
	is.True(a.Reason() != verdict.Deadline)
	is.Equal(a.Verdict(), verdict.NotRun)
}

// The planned stop of a node whose answer has not left yet: a large answer, a
// peer that reads it slowly. The call has finished, so Wait returns, and Stop
// closes the connection 20 ms later with the answer half written: the caller
// hears "may have run: lost" although it ran and was answered.
func TestPlannedStopSendsTheAnswers(t *testing.T) {
	is := is.New(t)
	const calls = 12
	// A machine that is busy with other work must not look like a frozen peer.
	c := start(t, func(cfg *node.Config) { cfg.Transport.WriteTimeout = time.Minute })
	file := c.Add("fieldlog", func(_ context.Context, w *testnode.Work) testnode.Answer {
		return testnode.OK(make([]byte, 1<<20))
	})
	c.AwaitWhole()
	p := file.Dial(t, wire.NewNodeID())
	for seq := range uint64(calls) {
		is.NoErr(p.Send(wire.KindCall, request(p, file, seq+1, "x")))
	}
	testnode.Await(t, "all ran", func() bool { return file.Backend.Runs("x") == calls && file.State().Serve.Running == 0 })
	stopped := make(chan error, 1)
	go func() { stopped <- file.Stop(t.Context()) }()
	testnode.Await(t, "no work left", func() bool { return file.State().Serve.Draining })
	time.Sleep(300 * time.Millisecond) // a line of 100 ms and more
	var reply call.Reply
	for n := range calls {
		if err := p.NextOf(wire.KindReply, &reply); err != nil {
			t.Fatalf("answer %d of %d is lost: %v", n+1, calls, err)
		}
	}
	is.NoErr(<-stopped)
}

// The node that was asked answers with a reason, or with a header field of its
// backend server's, that holds a control character. It is written to the
// caller as it is: the caller's HTTP client cannot read the answer and has to
// take the request for one that may have run. (FuzzReply finds it in a second.)
func TestControlCharactersFromAPeer(t *testing.T) {
	for name, reply := range map[string]call.Reply{
		"reason": {Verdict: verdict.NotRun, Reason: "a\x00b"},
		"field":  {Verdict: verdict.Ran, Status: 200, Header: []call.Field{{Name: "A", Value: "b\x00c"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			c := start(t, nil)
			desk := c.Add("alertdesk", testnode.Echo)
			c.AwaitWhole()
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

// A node has two connections to a peer, as after both dialled at once or the link
// was silent for a while. It sends a call by the one; the peer answers by the
// other, which ends before the answer is through. The asking node waits for an
// answer that does not come, until the caller's time is over, because the
// connection that it looks at is sound.
func TestAnswerGoesByTheConnectionOfItsCall(t *testing.T) {
	is := is.New(t)
	c := start(t, nil)
	release := make(chan struct{})
	file := c.Add("fieldlog", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		<-release
		return testnode.OK(w.Body)
	})
	c.AwaitWhole()
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
