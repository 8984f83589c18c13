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

// levels is the message by which nodes tell each other levels, as a peer writes it.
type levels struct {
	News []call.LevelNews `cbor:"1,keyasint"`
}

// A deep service becomes short, and a peer tells a node of it that has nothing to do
// with that service. The node tells its other peers: the same level, and no younger
// word than it was told.
func TestLevelsArePassedOn(t *testing.T) {
	is := is.New(t)
	c := startCluster(t, func(cfg *node.Config) { cfg.Dispatch.News = admission.DefaultNewsConfig() })
	n := c.Add("fieldlog", testnode.Echo)
	c.AwaitWhole()
	from, to := n.Dial(t, wire.NewNodeID()), n.Dial(t, wire.NewNodeID())
	is.NoErr(from.Join("alertdesk"))
	is.NoErr(to.Join("alertdesk"))
	const age = 40
	is.NoErr(from.Send(wire.KindLevels, levels{News: []call.LevelNews{{Service: "deep", Priority: 30000, AgeMillis: age}}}))
	var told levels
	is.NoErr(to.NextOf(wire.KindLevels, &told))
	is.Equal(len(told.News), 1)
	is.Equal(told.News[0].Service, "deep")
	is.Equal(told.News[0].Priority, uint16(30000))
	is.True(told.News[0].AgeMillis >= age)
}
