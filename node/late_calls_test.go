package node_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Guards against a late call that takes a slot although its cancel is right behind it: after a
// network partition a connection delivers its backlog at once.
func TestLateCallWaitsForItsCancel(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(cfg *node.Config) { cfg.LateCallWait = 2 * time.Second })
	n := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	p := n.Dial(t, wire.NewNodeID())
	const clock, held = 100_000, 2_000 // milliseconds
	send := func(seq uint64, body string, sent uint32) {
		req := request(p, n, seq, body)
		req.RequestID = body
		req.SentMillis = sent
		is.NoErr(p.Send(wire.KindCall, req))
	}
	var reply call.Reply
	send(1, "on time", clock)
	is.NoErr(p.NextOf(wire.KindReply, &reply))
	is.Equal(reply.Verdict, verdict.Ran)

	send(2, "left", clock-held)
	is.NoErr(p.Sync()) // the backlog arrives in several reads
	is.NoErr(p.Send(wire.KindCancel, call.Cancel{From: p.ID, Seq: 2, To: n.Node.ID()}))
	send(3, "waits", clock-held)

	is.NoErr(p.NextOf(wire.KindReply, &reply))
	is.Equal(reply.Seq, uint64(3))
	is.Equal(reply.Verdict, verdict.Ran)
	is.Equal(n.Backend.Runs("left"), 0)
	is.Equal(n.Backend.Runs("waits"), 1)
}
