package node_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/internal/testnode"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/wire"
)

// levelsMessage is the level gossip message as a peer encodes it.
type levelsMessage struct {
	LevelGossip []call.LevelNews `cbor:"1,keyasint"`
}

// Guards against a node that does not forward level gossip about a service that it does not
// call, or forwards it with too small an age.
func TestLevelsArePassedOn(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(cfg *node.Config) { cfg.Dispatch.LevelGossip = admission.DefaultLevelGossipConfig() })
	n := c.Add("fieldlog", testnode.Echo)
	c.AwaitReady()
	from, to := n.Dial(t, wire.NewNodeID()), n.Dial(t, wire.NewNodeID())
	is.NoErr(from.Join("alertdesk"))
	is.NoErr(to.Join("alertdesk"))
	const age = 40
	is.NoErr(from.Send(wire.KindLevels, levelsMessage{LevelGossip: []call.LevelNews{{Service: "deep", Priority: 30000, AgeMillis: age}}}))
	var got levelsMessage
	is.NoErr(to.NextOf(wire.KindLevels, &got))
	is.Equal(len(got.LevelGossip), 1)
	is.Equal(got.LevelGossip[0].Service, "deep")
	is.Equal(got.LevelGossip[0].Priority, uint16(30000))
	is.True(got.LevelGossip[0].AgeMillis >= age)
}
