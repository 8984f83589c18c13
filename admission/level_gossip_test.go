package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// fleet is a number of nodes that gossip in simulated time. The first sources of them
// observe the service directly.
type fleet struct {
	rng     *rand.Rand
	now     time.Time
	nodes   []*LevelGossip
	sources int
	// published counts the messages sent.
	published int
}

func newFleet(nodes, sources int) *fleet {
	f := &fleet{rng: rand.New(rand.NewPCG(1, 2)), now: start, sources: sources}
	for range nodes {
		f.nodes = append(f.nodes, NewLevelGossip(DefaultLevelGossipConfig()))
	}
	return f
}

// round runs one gossip interval, in which the sources observe the given level.
func (f *fleet) round(level uint16) {
	const fanOut = 3
	f.now = f.now.Add(DefaultLevelGossipConfig().Interval)
	for _, n := range f.nodes[:f.sources] {
		n.record(f.now, "deep", level, f.now)
	}
	for _, n := range f.nodes {
		published := n.Outgoing(f.now)
		if len(published) == 0 {
			continue
		}
		for range fanOut {
			f.published++
			f.nodes[f.rng.IntN(len(f.nodes))].Receive(f.now, published)
		}
	}
}

func (f *fleet) countInformed(level uint16) (n int) {
	for _, node := range f.nodes {
		if known, ok := node.Level(f.now, "deep"); ok && known == level {
			n++
		}
	}
	return n
}

// Guards against gossip that leaves nodes uninformed about a deep service after a few
// rounds, or that sends messages without overload.
func TestGossipReachesEveryNode(t *testing.T) {
	is := is.New(t)
	for nodes, rounds := range map[int]int{60: 3, 194: 3, 3500: 6} {
		f := newFleet(nodes, 20)
		for range 10 {
			f.round(0)
		}
		is.Equal(f.published, 0)
		for range rounds {
			f.round(30000)
		}
		t.Log(nodes, rounds, f.countInformed(30000))
		is.True(f.countInformed(30000) > nodes*95/100)
		for range 40 {
			f.round(0)
		}
		f.published = 0
		f.round(0)
		is.Equal(f.published, 0)
	}
}

// Guards against gossip that renews itself: without nodes that observe the service, its
// level expires.
func TestGossipExpiresWithoutSources(t *testing.T) {
	is := is.New(t)
	f := newFleet(194, 20)
	for range 10 {
		f.round(30000)
	}
	is.True(f.countInformed(30000) > 185)
	f.sources = 0
	for range DefaultLevelGossipConfig().TTL/DefaultLevelGossipConfig().Interval + 1 {
		f.round(0)
	}
	is.Equal(f.countInformed(30000), 0)
}

// Guards against levels that arrive late replacing newer ones, levels that are too old,
// and unbounded memory for services.
func TestLateGossipDoesNotReplaceNewer(t *testing.T) {
	is := is.New(t)
	n := NewLevelGossip(DefaultLevelGossipConfig())
	receive := func(level, age uint16) {
		n.Receive(start, []call.LevelNews{{Service: "deep", Priority: level, AgeMillis: age}})
	}
	level := func() uint16 { l, _ := n.Level(start, "deep"); return l }
	receive(10, 5000)
	is.Equal(level(), uint16(0))
	receive(10, 300)
	receive(20, 100)
	receive(30, 200)
	is.Equal(level(), uint16(20))
	for i := range 1000 {
		n.Receive(start, []call.LevelNews{{Service: string(rune('a' + i)), Priority: 1}})
	}
	is.Equal(len(n.services), DefaultLevelGossipConfig().Services)
	is.Equal(level(), uint16(20))
}

// Guards against old forwarded levels taking precedence over gossip, and gossip over
// frequent replies of the service's own nodes.
func TestGossipTakesPrecedenceOverForwardedLevels(t *testing.T) {
	is := is.New(t)
	gossip := NewLevelGossip(DefaultLevelGossipConfig())
	entry := NewLevels(DefaultLevelsConfig(), gossip, 1)
	now := start
	entry.RecordReply(now, "top", wire.NodeID{1}, []call.Level{{Service: "deep", Priority: 1000}})
	is.Equal(entry.Level(now, "deep"), uint16(1000))
	now = now.Add(100 * time.Millisecond)
	gossip.Receive(now, []call.LevelNews{{Service: "deep", Priority: 30000, AgeMillis: 50}})
	is.Equal(entry.Level(now, "deep"), uint16(30000))
	is.Equal(entry.Level(now, "other"), uint16(0))
	fresh := NewLevels(DefaultLevelsConfig(), gossip, 1)
	is.Equal(fresh.Level(now, "deep"), uint16(30000)) // without any reply

	for i := range DefaultLevelGossipConfig().MinDirectReplies {
		entry.RecordReply(now, "deep", wire.NodeID{byte(i)}, []call.Level{{Service: "deep", Priority: 20000}})
	}
	entry.PublishGossip(now)
	is.Equal(entry.Level(now, "deep"), uint16(20000))
	now = now.Add(100 * time.Millisecond)
	entry.PublishGossip(now) // without replies since the last call
	received, ok := gossip.Level(now, "deep")
	is.True(ok)
	is.Equal(received, uint16(20000))
}
