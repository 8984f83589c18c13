package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/call"
)

// NewsConfig of News. The zero value takes in and tells nothing.
type NewsConfig struct {
	// Interval is the time between two rounds of gossip. It is short against the
	// time in which a level settles, one second.
	Interval time.Duration
	// Words is the number of replies that a node must have had from a service's
	// own nodes in an interval to speak for the service: those of a few of its
	// nodes alone would stand for all.
	Words int
	// Fresh is how long news holds: several intervals, since a node may be missed
	// by a few rounds in a row.
	Fresh time.Duration
	// Linger is how long a level is told on after it fell to zero: the others
	// hear of that, too, before they fall back on older words.
	Linger time.Duration
	// Services bounds those that are known.
	Services int
}

// DefaultNewsConfig returns the settings of a node on the platform.
func DefaultNewsConfig() NewsConfig {
	return NewsConfig{
		Interval: 100 * time.Millisecond,
		Words:    8,
		Fresh:    700 * time.Millisecond,
		Linger:   2 * time.Second,
		Services: 256, // as many as LevelsConfig
	}
}

// News is the gossip of nodes about the levels of services, besides what comes with
// replies.
//
// The load that it answers: a service deep in the graph is short, and requests enter
// at hundreds of nodes. Each has a few replies a second, which passed through a
// chain of nodes with a few replies a second of their own; what they say of the deep
// service is a second old and differs from node to node. By then its queues hold
// several times what they should, and requests that were let in fail under way. Those
// that call the service itself hear of it a hundred times a second.
// They tell a few peers, who tell others, the latest word only: all of some hundred
// nodes have it within three intervals, of thousands within six, and a node sends as
// many messages at any size of the fleet.
//
// The time of a word is that of the nodes that heard the service itself. So no word
// becomes newer by going round. It is not safe for concurrent use.
type News struct {
	cfg      NewsConfig
	services map[string]*headline
}

// headline is the latest word about one service.
type headline struct {
	level uint16
	// at is when nodes that heard the service itself said so.
	at time.Time
	// above is when the level was last above zero.
	above time.Time
}

// NewNews returns News that knows nothing.
func NewNews(cfg NewsConfig) *News {
	return &News{cfg: cfg, services: make(map[string]*headline)}
}

// Level returns the latest word about a service, if it is fresh.
func (n *News) Level(now time.Time, service string) (uint16, bool) {
	h := n.services[service]
	if h == nil || now.Sub(h.at) > n.cfg.Fresh {
		return 0, false
	}
	return h.level, true
}

// Hear takes what another node tells.
func (n *News) Hear(now time.Time, told []call.LevelNews) {
	for _, t := range told {
		n.note(now, t.Service, t.Priority, now.Add(-time.Duration(t.AgeMillis)*time.Millisecond))
	}
}

// note takes a word of a time; an older one than is known changes nothing.
func (n *News) note(now time.Time, service string, level uint16, at time.Time) {
	if now.Sub(at) > n.cfg.Fresh {
		return
	}
	h := n.services[service]
	if h == nil {
		if len(n.services) >= n.cfg.Services {
			n.forget(now)
		}
		if len(n.services) >= n.cfg.Services {
			return
		}
		h = &headline{}
		n.services[service] = h
	}
	if !at.After(h.at) {
		return
	}
	h.level, h.at = level, at
	if level > 0 {
		h.above = now
	}
}

func (n *News) forget(now time.Time) {
	for service, h := range n.services {
		if now.Sub(h.at) > n.cfg.Fresh {
			delete(n.services, service)
		}
	}
}

// Tell returns what to tell other nodes now; nothing while all is well.
func (n *News) Tell(now time.Time) []call.LevelNews {
	var out []call.LevelNews
	for service, h := range n.services {
		age := now.Sub(h.at)
		if age > n.cfg.Fresh || now.Sub(h.above) > n.cfg.Linger {
			continue
		}
		out = append(out, call.LevelNews{Service: service, Priority: h.level, AgeMillis: uint16(min(age.Milliseconds(), math.MaxUint16))})
	}
	slices.SortFunc(out, func(a, b call.LevelNews) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
