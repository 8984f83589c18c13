package admission

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// crowd is a fleet whose nodes tell each other levels, in modelled time. The first
// sources of them hear the service itself.
type crowd struct {
	rng     *rand.Rand
	now     time.Time
	nodes   []*News
	sources int
	told    int
}

func newCrowd(nodes, sources int) *crowd {
	c := &crowd{rng: rand.New(rand.NewPCG(1, 2)), now: start, sources: sources}
	for range nodes {
		c.nodes = append(c.nodes, NewNews(DefaultNewsConfig()))
	}
	return c
}

// round is one interval; each node tells three others.
func (c *crowd) round(level uint16) {
	const fanOut = 3
	c.now = c.now.Add(DefaultNewsConfig().Interval)
	for _, n := range c.nodes[:c.sources] {
		n.note(c.now, "deep", level, c.now)
	}
	for _, n := range c.nodes {
		told := n.Tell(c.now)
		if len(told) == 0 {
			continue
		}
		for range fanOut {
			c.told++
			c.nodes[c.rng.IntN(len(c.nodes))].Hear(c.now, told)
		}
	}
}

func (c *crowd) know(level uint16) (n int) {
	for _, node := range c.nodes {
		if known, ok := node.Level(c.now, "deep"); ok && known == level {
			n++
		}
	}
	return n
}

// A deep service becomes short. Twenty nodes call it; the requests enter at all 194,
// few of which have a reply from there in a second. They know its level after three
// rounds, of 3,500 nodes after six, and nobody tells anything before or long after.
func TestNewsReachesEveryNode(t *testing.T) {
	is := is.New(t)
	for nodes, rounds := range map[int]int{60: 3, 194: 3, 3500: 6} {
		c := newCrowd(nodes, 20)
		for range 10 {
			c.round(0)
		}
		is.Equal(c.told, 0)
		for range rounds {
			c.round(30000)
		}
		t.Log(nodes, rounds, c.know(30000))
		is.True(c.know(30000) > nodes*95/100)
		for range 40 {
			c.round(0)
		}
		c.told = 0
		c.round(0)
		is.Equal(c.told, 0)
	}
}

// The nodes that hear the service are gone. What the others go on telling each other
// must not keep its level in force: no word becomes newer by going round.
func TestNewsFadesWithoutSources(t *testing.T) {
	is := is.New(t)
	c := newCrowd(194, 20)
	for range 10 {
		c.round(30000)
	}
	is.True(c.know(30000) > 185)
	c.sources = 0
	for range DefaultNewsConfig().Fresh/DefaultNewsConfig().Interval + 1 {
		c.round(0)
	}
	is.Equal(c.know(30000), 0)
}

// A word that comes late, after a newer one, changes nothing; neither does one that
// is too old, nor one about more services than a node remembers.
func TestNewsTakesTheLatestWord(t *testing.T) {
	is := is.New(t)
	n := NewNews(DefaultNewsConfig())
	hear := func(level, age uint16) {
		n.Hear(start, []call.LevelNews{{Service: "deep", Priority: level, AgeMillis: age}})
	}
	level := func() uint16 { l, _ := n.Level(start, "deep"); return l }
	hear(10, 5000)
	is.Equal(level(), uint16(0))
	hear(10, 300)
	hear(20, 100)
	hear(30, 200)
	is.Equal(level(), uint16(20))
	for i := range 1000 {
		n.Hear(start, []call.LevelNews{{Service: string(rune('a' + i)), Priority: 1}})
	}
	is.Equal(len(n.services), DefaultNewsConfig().Services)
	is.Equal(level(), uint16(20))
}

// A node at which requests enter has a reply in a second, which passed on what was
// true a second ago. The news counts; a node that calls the service itself trusts
// what it hears there.
func TestNewsGoesBeforeWordsPassedOn(t *testing.T) {
	is := is.New(t)
	news := NewNews(DefaultNewsConfig())
	entry := NewLevels(DefaultLevelsConfig(), news, 1)
	now := start
	entry.Heard(now, "top", wire.NodeID{1}, []call.Level{{Service: "deep", Priority: 1000}})
	is.Equal(entry.Level(now, "deep"), uint16(1000))
	now = now.Add(100 * time.Millisecond)
	news.Hear(now, []call.LevelNews{{Service: "deep", Priority: 30000, AgeMillis: 50}})
	is.Equal(entry.Level(now, "deep"), uint16(30000))
	is.Equal(entry.Level(now, "other"), uint16(0))
	fresh := NewLevels(DefaultLevelsConfig(), news, 1)
	is.Equal(fresh.Level(now, "deep"), uint16(30000)) // also before any reply

	for i := range DefaultNewsConfig().Words {
		entry.Heard(now, "deep", wire.NodeID{byte(i)}, []call.Level{{Service: "deep", Priority: 20000}})
	}
	entry.Speak(now)
	is.Equal(entry.Level(now, "deep"), uint16(20000))
	now = now.Add(100 * time.Millisecond)
	entry.Speak(now) // it heard nothing meanwhile
	told, ok := news.Level(now, "deep")
	is.True(ok)
	is.Equal(told, uint16(20000))
}
