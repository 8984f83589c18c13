package admission

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/call"
)

// LevelGossipConfig configures LevelGossip. With the zero value, LevelGossip neither
// accepts nor publishes anything.
type LevelGossipConfig struct {
	// Interval is the time between two rounds of gossip. It is shorter than the time in
	// which a level settles.
	Interval time.Duration
	// MinDirectReplies is the number of replies that a node must have received from a service's
	// own nodes in one interval to publish the level of the service. Fewer replies may
	// come from a few nodes that don't represent the service.
	MinDirectReplies int
	// TTL is how long a level is valid: several intervals, since random gossip may
	// miss a node for some rounds in a row.
	TTL time.Duration
	// ZeroTTL is how long a level is published after it fell to zero, so that other
	// nodes receive the zero before they fall back to older reports.
	ZeroTTL time.Duration
	// Services bounds the number of services remembered.
	Services int
}

// DefaultLevelGossipConfig returns the settings of a node on the platform.
func DefaultLevelGossipConfig() LevelGossipConfig {
	return LevelGossipConfig{
		Interval:         100 * time.Millisecond,
		MinDirectReplies: 8,
		TTL:              700 * time.Millisecond,
		ZeroTTL:          2 * time.Second,
		Services:         256, // as many as LevelsConfig
	}
}

// LevelGossip spreads the levels of services from node to node by gossip, in addition to the
// levels that replies carry.
//
// It handles overload deep in the graph when requests enter at hundreds of nodes. An
// entry node receives few replies, each forwarded through several nodes, so what it
// knows of the deep service is late and differs from node to node; it would admit
// requests that fail at the deep service after work was spent on them. The nodes that
// call the deep service directly receive its level often. They publish it to a few
// peers, which publish the latest level further. The rounds needed grow with the
// logarithm of the number of nodes, and the messages sent by each node do not grow.
//
// Each level carries the time at which it was observed at the service itself, so
// forwarding does not make it newer. LevelGossip is not safe for concurrent use.
type LevelGossip struct {
	cfg      LevelGossipConfig
	services map[string]*gossipEntry
}

// gossipEntry is the latest level of one service.
type gossipEntry struct {
	level uint16
	// observedAt is when a node that calls the service directly observed the level.
	observedAt time.Time
	// lastNonZero is when a level above zero was last received.
	lastNonZero time.Time
}

// NewLevelGossip returns an empty LevelGossip.
func NewLevelGossip(cfg LevelGossipConfig) *LevelGossip {
	return &LevelGossip{cfg: cfg, services: make(map[string]*gossipEntry)}
}

// Level returns the latest level of a service, and false if none is fresh.
func (n *LevelGossip) Level(now time.Time, service string) (uint16, bool) {
	e := n.services[service]
	if e == nil || now.Sub(e.observedAt) > n.cfg.TTL {
		return 0, false
	}
	return e.level, true
}

// Receive records the levels that another node published.
func (n *LevelGossip) Receive(now time.Time, levels []call.LevelNews) {
	for _, t := range levels {
		n.record(now, t.Service, t.Priority, now.Add(-time.Duration(t.AgeMillis)*time.Millisecond))
	}
}

// record stores a level observed at a time, unless it is too old or a newer one is
// known.
func (n *LevelGossip) record(now time.Time, service string, level uint16, observedAt time.Time) {
	if now.Sub(observedAt) > n.cfg.TTL {
		return
	}
	e := n.services[service]
	if e == nil {
		if len(n.services) >= n.cfg.Services {
			n.removeExpired(now)
		}
		if len(n.services) >= n.cfg.Services {
			return
		}
		e = &gossipEntry{}
		n.services[service] = e
	}
	if !observedAt.After(e.observedAt) {
		return
	}
	e.level, e.observedAt = level, observedAt
	if level > 0 {
		e.lastNonZero = now
	}
}

// removeExpired removes services whose level is no longer fresh.
func (n *LevelGossip) removeExpired(now time.Time) {
	for service, e := range n.services {
		if now.Sub(e.observedAt) > n.cfg.TTL {
			delete(n.services, service)
		}
	}
}

// Outgoing returns the levels to publish to other nodes, ordered by service. It is empty
// while no service is or recently was overloaded.
func (n *LevelGossip) Outgoing(now time.Time) []call.LevelNews {
	var out []call.LevelNews
	for service, e := range n.services {
		age := now.Sub(e.observedAt)
		if age > n.cfg.TTL || now.Sub(e.lastNonZero) > n.cfg.ZeroTTL {
			continue
		}
		out = append(out, call.LevelNews{Service: service, Priority: e.level, AgeMillis: uint16(min(age.Milliseconds(), math.MaxUint16))})
	}
	slices.SortFunc(out, func(a, b call.LevelNews) int { return cmp.Compare(a.Service, b.Service) })
	return out
}
