package node_test

import (
	"bytes"
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// request returns a call from a peer to a node.
func request(from *testnode.Peer, to *testnode.Instance, seq uint64, body string) call.Request {
	return call.Request{
		From: from.ID, Seq: seq, To: to.Node.ID(),
		RequestID: "r", Service: "fieldlog", Operation: "file",
		Budget: 10 * time.Second, Body: []byte(body),
	}
}

// A peer sends replies to calls that another node has received, under its own ID and
// under that node's. The caller still gets the reply of its backend server.
func TestForgedRepliesReachNoCaller(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	release := make(chan struct{})
	desk := c.Add("alertdesk", testnode.Echo)
	file := c.Add("fieldlog", func(_ context.Context, w *testnode.Work) testnode.Answer {
		<-release
		return testnode.OK(w.Body)
	})
	c.AwaitReady()
	answer := make(chan testnode.Answer, 1)
	go func() { answer <- desk.MustSend(t, "fieldlog", "file", "true") }()
	testnode.Await(t, "the request runs", func() bool { return file.Backend.Runs("true") == 1 })

	forger := desk.Dial(t, wire.NewNodeID())
	const guesses = 100
	for seq := range uint64(guesses) {
		forged := call.Reply{To: desk.Node.ID(), Seq: seq, Verdict: verdict.Ran, Status: 200, Body: []byte("forged")}
		for _, forged.From = range []wire.NodeID{forger.ID, file.Node.ID()} {
			is.NoErr(forger.Send(wire.KindReply, forged))
		}
	}
	is.NoErr(forger.Sync())
	close(release)

	is.Equal(string((<-answer).Body), "true")
	is.Equal(desk.State().Dispatch.Counts.Unmatched, uint64(2*guesses))
}

// A call under another node's ID, for another node or with a forged key does not
// run, and a copied call runs once.
func TestForgedCallsDoNotRun(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	p := file.Dial(t, wire.NewNodeID())

	forged := request(p, file, 1, "forged")
	forged.From = wire.NewNodeID()
	is.NoErr(p.Send(wire.KindCall, forged))
	is.NoErr(p.Send(wire.KindCancel, call.Cancel{From: forged.From, Seq: 2, To: forged.To}))
	misdirected := request(p, file, 3, "forged")
	misdirected.To = wire.NewNodeID()
	is.NoErr(p.Send(wire.KindCall, misdirected))
	is.NoErr(p.Sync())
	is.Equal(file.State().Serve.Senders.Windows, 0) // no sender's sequence numbers are used up

	keyed := request(p, file, 4, "forged")
	key := file.MintKey(t, "fieldlog", "file")
	keyed.Key = key[:len(key)-1] + map[bool]string{true: "Q", false: "A"}[key[len(key)-1] == 'A']
	is.NoErr(p.Send(wire.KindCall, keyed))
	var reply call.Reply
	is.NoErr(p.NextOf(wire.KindReply, &reply))
	is.Equal(reply.Verdict, verdict.NotRun)
	is.Equal(reply.Reason, verdict.KeyInvalid)

	for range 3 {
		is.NoErr(p.Send(wire.KindCall, request(p, file, 5, "copied")))
	}
	is.NoErr(p.NextOf(wire.KindReply, &reply))
	is.NoErr(p.Sync())
	is.Equal(file.Backend.Runs("copied"), 1)
	is.Equal(file.Backend.Runs("forged"), 0)
	is.Equal(file.State().Serve.Counts.Duplicates, uint64(2))
}

// A malformed frame ends its connection alone. Frames of an unknown kind are
// ignored, since a later release may send them.
func TestMalformedFramesEndTheConnection(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	file := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	raw := func(kind wire.Kind, body ...byte) []byte { return append([]byte{0x82, byte(kind)}, body...) }
	unknown := func(value []byte) []byte { return append([]byte{0xa1, 0x18, 99}, value...) } // in an unknown field
	deep := bytes.Repeat([]byte{0x81}, 1000)                                                 // nested one-element arrays
	deep = append(deep, 0x01)
	huge := append([]byte{0x9a, 0x00, 0x02, 0x00, 0x00}, make([]byte, 1<<17)...) // an array of 2^17
	oversized, err := wire.Encode(wire.KindReply, call.Reply{Body: make([]byte, wire.MaxMessageBytes)})
	is.NoErr(err)
	for name, data := range map[string][]byte{
		"no frame":   {0x01},
		"nested":     raw(wire.KindMembership, unknown(deep)...),
		"huge count": raw(wire.KindMembership, unknown(huge)...),
		"endless":    raw(wire.KindConfig, 0xbf),
		"other type": raw(wire.KindCall, 0x63, 'a', 'b', 'c'),
		"doubled":    raw(wire.KindCancel, 0xa2, 0x02, 0x01, 0x02, 0x01),
		"oversized":  oversized,
	} {
		p := file.Dial(t, wire.NewNodeID())
		if err := p.SendRaw(data); err == nil && p.Sync() == nil {
			t.Errorf("%s: the connection is still open", name)
		}
		p.Close()
	}
	p := file.Dial(t, wire.NewNodeID())
	is.NoErr(p.Send(wire.KindHello, 1)) // ignored: not expected here
	is.NoErr(p.Send(wire.Kind(99), 1))  // ignored: of a later release
	is.NoErr(p.Sync())
	is.Equal(file.MustSend(t, "fieldlog", "file", "x").Verdict(), verdict.Ran)
	is.Equal(file.State().Serve.Senders.Windows, 1) // only that of the node's own call
}

// A peer that floods a node with calls, senders, keys and members and reads no
// reply does not exceed the node's bounds, and other callers are still served.
func TestFloodIsBounded(t *testing.T) {
	is := is.New(t)
	const bound = 16
	c := startCluster(t, func(cfg *node.Config) {
		cfg.Serve.Queue.MaxItems = bound
		cfg.Serve.Once.MaxSenders = bound
		cfg.Serve.Once.MaxFloors = 16 * bound // one for every sender
		cfg.Serve.Once.MaxPending = bound
		cfg.Serve.Once.MaxBindings = bound
		cfg.Serve.Once.MaxKeys = bound
		cfg.Membership.MaxMembers = bound
		cfg.Membership.MaxSeeds = bound
	})
	release := make(chan struct{})
	file := c.Add("fieldlog", func(ctx context.Context, w *testnode.Work) testnode.Answer {
		select {
		case <-release:
		case <-ctx.Done():
		}
		return testnode.OK(w.Body)
	})
	c.AwaitReady()
	for range 3 * bound {
		p := file.Dial(t, wire.NewNodeID())
		seq := uint64(0)
		flood := func(key string) {
			for range 3 * bound {
				seq++
				req := request(p, file, seq, "flood")
				if key != "" {
					req.Key = key + wire.NewNodeID().String()
				}
				is.NoErr(p.Send(wire.KindCall, req))
			}
		}
		flood("")
		flood("own")
		var table membership.Message
		for range 3 * bound {
			table.Records = append(table.Records, membership.Record{ID: wire.NewNodeID(), Service: wire.NewNodeID().Short(),
				PeerAddr: testnode.Nowhere, Incarnation: 1, ContentIncarnation: 1})
			table.RecordRequests = append(table.RecordRequests, wire.NewNodeID())
		}
		is.NoErr(p.Send(wire.KindMembership, table))
		is.NoErr(p.Sync())
		checkBounds(t, file.State(), bound)
		p.Close()
	}
	close(release)
	testnode.Await(t, "others are served", func() bool {
		return file.MustSend(t, "fieldlog", "file", "x").Verdict() == verdict.Ran
	})
}

// checkBounds fails the test if the node holds more than bound items of a kind.
func checkBounds(t testing.TB, s node.State, bound int) {
	t.Helper()
	members := 0
	for _, n := range s.Membership.States {
		members += n.Count
	}
	for _, held := range []struct {
		what string
		n    int
	}{
		{"queue", s.Serve.Queue.Waiting},
		{"windows", s.Serve.Senders.Windows},
		{"keys", s.Serve.Keys.Used},
		{"bindings", s.Serve.Bindings.Claims},
		{"pending keys", s.Serve.Bindings.Pending},
		{"members", members},
	} {
		if held.n > bound {
			t.Errorf("%s: %d held, at most %d allowed", held.what, held.n, bound)
		}
	}
}
