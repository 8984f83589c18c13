package node_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Guards against a draining node that accepts requests from callers or peers, or that stops
// before the running request has its answer.
func TestDrain(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, nil)
	release := make(chan struct{})
	held := func(ctx context.Context, w *testnode.Work) testnode.Answer {
		if string(w.Body) == "held" {
			<-release
		}
		return testnode.OK(w.Body)
	}
	desk := c.Add("alertdesk", testnode.Echo)
	leaving := c.Add("fieldlog", held)
	c.AwaitReady()
	answer := make(chan testnode.Answer, 1)
	go func() { answer <- desk.MustSend(t, "fieldlog", "file", "held") }()
	testnode.Await(t, "the request runs", func() bool { return leaving.Backend.Runs("held") == 1 })
	c.Add("fieldlog", held)
	c.AwaitReady()
	unaware := leaving.Dial(t, wire.NewNodeID())

	stopped := make(chan error, 1)
	go func() { stopped <- leaving.Stop(t.Context()) }()
	testnode.Await(t, "the drain has begun", leaving.Node.Draining)
	a := leaving.MustSend(t, "fieldlog", "file", "entering")
	is.Equal(a.Verdict(), verdict.NotRun)
	is.Equal(a.Reason(), verdict.Draining)
	is.True(a.RetryAfter() > 0)

	testnode.Await(t, "no new work is taken", func() bool { return leaving.State().Serve.Draining })
	for i := range 20 {
		is.Equal(desk.MustSend(t, "fieldlog", "file", fmt.Sprint(i)).Verdict(), verdict.Ran)
		is.Equal(leaving.Backend.Runs(fmt.Sprint(i)), 0)
	}
	is.NoErr(unaware.Send(wire.KindCall, request(unaware, leaving, 1, "deaf")))
	var reply call.Reply
	is.NoErr(unaware.NextOf(wire.KindReply, &reply))
	is.Equal(reply.Verdict, verdict.NotRun)
	is.Equal(reply.Reason, verdict.Draining)
	is.Equal(leaving.Backend.Runs("deaf"), 0)

	close(release)
	a = <-answer
	is.Equal(a.Verdict(), verdict.Ran)
	is.Equal(string(a.Body), "held")
	is.NoErr(<-stopped)
}

// Guards against a draining node that mints keys: once the node is gone, the first request
// with such a key would be answered "may have run".
func TestDrainingNodeMintsNoKeys(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(cfg *node.Config) { cfg.DrainGrace = time.Minute })
	leaving := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	unaware := leaving.Dial(t, wire.NewNodeID())
	is.NoErr(unaware.Send(wire.KindMintKeyRequest, mintRequest{Seq: 1, Operation: "file"}))
	var before mintReply
	is.NoErr(unaware.NextOf(wire.KindMintKeyReply, &before))
	is.True(before.Key != "")

	leaving.Node.Drain()
	is.NoErr(unaware.Send(wire.KindMintKeyRequest, mintRequest{Seq: 2, Operation: "file"}))
	var after mintReply
	is.NoErr(unaware.NextOf(wire.KindMintKeyReply, &after))
	is.Equal(after.Key, "")
	is.Equal(after.Reason, verdict.Draining)
}

// Guards against a caller that gets no key because the node that was asked for it has just
// failed, or drains, while others could give one.
func TestKeyIsRequestedFromAnotherNode(t *testing.T) {
	for name, end := range map[string]func(i *testnode.Instance){
		"failed":  func(i *testnode.Instance) { i.Kill() },
		"drained": func(i *testnode.Instance) { i.Node.Drain() },
	} {
		t.Run(name, func(t *testing.T) {
			c := startCluster(t, func(cfg *node.Config) { cfg.DrainAfter = time.Minute })
			desk := c.Add("alertdesk", testnode.Echo)
			ending := c.Add("fieldlog", testnode.Echo)
			for range 3 {
				c.Add("fieldlog", testnode.Echo)
			}
			c.AwaitReady()
			end(ending)
			for range 16 {
				desk.MintKey(t, "fieldlog", "file") // fails the test without a key
			}
		})
	}
}

// Guards against "may have run" for calls on their way to a node that ends: after a planned
// stop it announces that it runs none of them, and otherwise it does not.
func TestOnlyAPlannedStopAnnouncesClosing(t *testing.T) {
	for _, planned := range []bool{true, false} {
		t.Run(fmt.Sprint(planned), func(t *testing.T) {
			is := is.New(t)
			c := startCluster(t, nil)
			running := make(chan struct{})
			ending := c.Add("fieldlog", func(ctx context.Context, w *testnode.Work) testnode.Answer {
				close(running)
				<-ctx.Done()
				return testnode.OK(w.Body)
			})
			c.AwaitReady()
			peer := ending.Dial(t, wire.NewNodeID())
			if planned {
				is.NoErr(ending.Stop(t.Context()))
			} else {
				is.NoErr(peer.Send(wire.KindCall, request(peer, ending, 1, "runs")))
				<-running
				ending.Kill()
			}
			err := peer.NextOf(wire.KindClosing, &transport.Closing{})
			is.Equal(err == nil, planned)
		})
	}
}
