package admission

import (
	"strconv"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/wire"
)

func node(i int) wire.NodeID { return wire.NodeID{byte(i)} }

// Guards against admission that depends on the order of arrival: at any time the
// admitted priorities must be exactly the upper end of those offered.
func TestLevelsAdmitInOrderOfPriority(t *testing.T) {
	services := []string{"a", "b", "c"}
	proptest.Check(t, func(r *rapid.T) {
		l := NewLevels(DefaultLevelsConfig(), NewLevelGossip(LevelGossipConfig{}), 1)
		now := start
		for range rapid.IntRange(1, 40).Draw(r, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 400).Draw(r, "ms")) * time.Millisecond)
			name := rapid.SampledFrom(services).Draw(r, "service")
			level := rapid.Uint16().Draw(r, "level")
			l.RecordLevel(now, name, node(rapid.IntRange(1, 4).Draw(r, "node")), level)

			reach := services[:rapid.IntRange(1, len(services)).Draw(r, "reach")]
			offered := rapid.SliceOfN(rapid.Uint16(), 1, 20).Draw(r, "priorities")
			least, most := uint16(1<<16-1), -1
			for _, p := range offered {
				entry := l.Admit(now, reach, p)
				ok, after := entry.Admitted(), entry.RetryAfter
				if ok {
					least = min(least, p)
					continue
				}
				most = max(most, int(p))
				if after <= 0 {
					r.Fatalf("refused without a Retry-After time")
				}
			}
			if int(least) < most {
				r.Fatalf("admitted %d and refused %d at one time", least, most)
			}
		}
	})
}

// Guards against a service that is closed by one slow node of five, and against a level
// that stays in force without further reports.
func TestOneSlowNodeDoesNotCloseService(t *testing.T) {
	is := is.New(t)
	cfg := DefaultLevelsConfig()
	l := NewLevels(cfg, NewLevelGossip(LevelGossipConfig{}), 1)
	low := Priority(importance.Low, "r1")
	closed := []call.Level{{Service: "plumecast", Priority: 60000}}
	l.RecordReply(start, "plumecast", node(0), closed)
	for i := range 5 {
		l.RecordReply(start, "plumecast", node(i), nil)
	}
	l.RecordReply(start, "plumecast", node(0), closed)
	ok := l.Admit(start, []string{"plumecast"}, low).Admitted()
	is.True(ok)

	for i := range 5 {
		l.RecordReply(start, "plumecast", node(i), closed)
	}
	entry := l.Admit(start, []string{"plumecast"}, low)
	blockedBy, after := entry.BlockedBy, entry.RetryAfter
	ok = entry.Admitted()
	is.True(!ok)
	is.Equal(blockedBy, "plumecast")
	is.True(after >= cfg.RetryMin/2)

	later := start.Add(cfg.TTL + cfg.Decay/2)
	is.True(l.Level(later, "plumecast") < 31000) // half way down
	ok = l.Admit(start.Add(cfg.TTL+cfg.Decay), []string{"plumecast"}, low).Admitted()
	is.True(ok)
}

// Guards against refusals for a service that has recovered: a reply that no longer
// names it resets its level, and only services below are forwarded.
func TestRecoveredServiceIsAdmitted(t *testing.T) {
	is := is.New(t)
	l := NewLevels(DefaultLevelsConfig(), NewLevelGossip(LevelGossipConfig{}), 1)
	l.SetForwarded([]string{"fieldlog", "stationlog"})
	l.RecordReply(start, "plumecast", node(1), []call.Level{{Service: "stationlog", Priority: 50}, {Service: "alertdesk", Priority: 70}})
	is.Equal(l.Report(start), []call.Level{{Service: "stationlog", Priority: 50}})
	is.Equal(l.Level(start, "alertdesk"), uint16(70))
	l.RecordReply(start, "plumecast", node(1), []call.Level{{Service: "fieldlog", Priority: 9}})
	is.Equal(l.Report(start), []call.Level{{Service: "fieldlog", Priority: 9}})
	is.Equal(l.Level(start, "alertdesk"), uint16(0))
}

// Guards against unbounded memory for replaced instances and invented service names,
// and against such names blocking a real service.
func TestLevelsStayBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultLevelsConfig()
	l := NewLevels(cfg, NewLevelGossip(LevelGossipConfig{}), 1)
	for i := range 200 {
		l.RecordLevel(start.Add(time.Duration(i)*time.Millisecond), "dossier-svc", node(i), 10)
	}
	is.Equal(l.Dump(start)[0].Nodes, cfg.Nodes)
	for i := range 1000 {
		l.RecordLevel(start, strconv.Itoa(i), node(1), 10)
	}
	is.Equal(len(l.Dump(start)), cfg.Services)
	later := start.Add(cfg.TTL + cfg.Decay)
	l.RecordLevel(later, "history-svc", node(1), 10)
	is.Equal(l.Level(later, "history-svc"), uint16(10))
}

// Guards against requests that are refused because some backend servers of a service name a
// rate limit, while others have room. If all are limited, their level counts.
func TestRateLimitedNodesCountOnlyIfAllAre(t *testing.T) {
	is := is.New(t)
	l := NewLevels(DefaultLevelsConfig(), NewLevelGossip(DefaultLevelGossipConfig()), 1)
	now := time.Unix(1000, 0)
	closed := []call.Level{{Service: "s", Priority: 30000}}
	l.RecordRateLimitedReply(now, "s", wire.NodeID{1}, closed)
	l.RecordRateLimitedReply(now, "s", wire.NodeID{2}, closed)
	is.Equal(l.Level(now, "s"), uint16(30000))
	l.RecordReply(now, "s", wire.NodeID{3}, nil)
	is.Equal(l.Level(now, "s"), uint16(0))
	l.RecordRateLimitedReply(now, "s", wire.NodeID{3}, closed)
	is.Equal(l.Level(now, "s"), uint16(30000))
}
