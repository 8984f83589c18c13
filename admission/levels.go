package admission

import (
	"cmp"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// nodeReport is the latest level of a service that one node reported.
type nodeReport struct {
	node wire.NodeID
	// reporter is the service that the node belongs to.
	reporter   string
	level      uint16
	receivedAt time.Time
	// rateLimited is set if the backend server of the node names a rate limit.
	rateLimited bool
}

// serviceLevels holds the reported levels of one service.
type serviceLevels struct {
	reports  []nodeReport
	recovery recovery
	// directReports counts the reports of the service's own nodes since the last PublishGossip.
	// reliable is set if there were enough of them before the last PublishGossip for this node
	// to publish the level as gossip.
	directReports int
	reliable      bool
	// combined is the cached level of all nodes. It holds until validUntil, unless a
	// report changes a level.
	combined   uint16
	validUntil time.Time
}

// Levels holds the levels of other services, as reported by replies and gossip. A node
// has two: one for the requests that enter at it, and one for the calls of its own
// backend server. Only the latter is reported to callers' nodes; with a shared one, the
// node would receive its own reports again through the services above it. Levels is not
// safe for concurrent use.
type Levels struct {
	cfg       LevelsConfig
	rng       *rand.Rand
	gossip    *LevelGossip
	services  map[string]*serviceLevels
	forwarded []string
	scratch   []uint16
}

// NewLevels returns Levels that admit everything. Fresh gossip takes precedence over
// levels that replies forwarded. The seed randomizes Retry-After times.
func NewLevels(cfg LevelsConfig, gossip *LevelGossip, seed uint64) *Levels {
	return &Levels{
		cfg:      cfg,
		gossip:   gossip,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		services: make(map[string]*serviceLevels),
	}
}

// SetForwarded sets the services whose levels Report forwards: those that the node's own
// service reaches, without any that reaches back to it. If levels were forwarded in a
// cycle, nodes would keep renewing their own old reports and a level would never fall.
func (l *Levels) SetForwarded(services []string) {
	l.forwarded = slices.Clone(services)
}

// Forwards reports whether Report forwards the levels of a service.
func (l *Levels) Forwards(service string) bool { return slices.Contains(l.forwarded, service) }

// RecordLevel records the level of a service as reported by one of its nodes.
func (l *Levels) RecordLevel(now time.Time, name string, node wire.NodeID, level uint16) {
	l.record(now, name, nodeReport{node: node, reporter: name, level: level, receivedAt: now})
}

func (l *Levels) record(now time.Time, name string, report nodeReport) {
	s, ok := l.services[name]
	if !ok {
		if !l.hasCapacity(now) {
			return
		}
		s = &serviceLevels{}
		l.services[name] = s
	}
	s.record(report, l.cfg.Nodes)
	if report.reporter == name {
		s.directReports++
	}
	l.update(now, name, s)
}

// PublishGossip publishes as gossip the levels of the services whose own nodes reported often
// since the last call.
func (l *Levels) PublishGossip(now time.Time) {
	for name, s := range l.services {
		s.reliable = s.directReports >= l.gossip.cfg.MinDirectReplies
		s.directReports = 0
		if s.reliable {
			l.gossip.record(now, name, l.level(now, s), now)
		}
	}
}

// hasCapacity reports whether another service can be remembered. It first removes
// services without a recent report if the bound is reached, since a faulty peer could
// name any number of services.
func (l *Levels) hasCapacity(now time.Time) bool {
	if len(l.services) < l.cfg.Services {
		return true
	}
	maps.DeleteFunc(l.services, func(_ string, s *serviceLevels) bool {
		return !slices.ContainsFunc(s.reports, func(n nodeReport) bool { return l.counts(now, n) })
	})
	return len(l.services) < l.cfg.Services
}

// RecordReply records all levels of one reply from a node of the service reporter. A level of
// zero is recorded for what the reply doesn't name: the reporter itself, and the
// services that any of its nodes has named before. Without these zeros, a single
// overloaded node would determine the level of its service.
func (l *Levels) RecordReply(now time.Time, reporter string, node wire.NodeID, levels []call.Level) {
	l.recordReply(now, reporter, node, levels, false)
}

// RecordRateLimitedReply is RecordReply for a node whose backend server names a rate limit.
func (l *Levels) RecordRateLimitedReply(now time.Time, reporter string, node wire.NodeID, levels []call.Level) {
	l.recordReply(now, reporter, node, levels, true)
}

func (l *Levels) recordReply(now time.Time, reporter string, node wire.NodeID, levels []call.Level, rateLimited bool) {
	report := nodeReport{node: node, reporter: reporter, receivedAt: now, rateLimited: rateLimited}
	if reporter != "" && !contains(levels, reporter) {
		l.record(now, reporter, report)
	}
	for name, s := range l.services {
		if name != reporter && s.reportedBy(reporter) && !contains(levels, name) {
			l.record(now, name, nodeReport{node: node, reporter: reporter, receivedAt: now})
		}
	}
	for _, lv := range levels {
		report.level = lv.Priority
		report.rateLimited = rateLimited && lv.Service == reporter
		l.record(now, lv.Service, report)
	}
}

// contains reports whether levels has an entry for the named service.
func contains(levels []call.Level, name string) bool {
	return slices.ContainsFunc(levels, func(lv call.Level) bool { return lv.Service == name })
}

// reportedBy reports whether a node of the given service has reported on s.
func (s *serviceLevels) reportedBy(reporter string) bool {
	return slices.ContainsFunc(s.reports, func(n nodeReport) bool { return n.reporter == reporter })
}

// record stores the report of a node. With maxNodes nodes known, it replaces the oldest
// report.
func (s *serviceLevels) record(report nodeReport, maxNodes int) {
	for i := range s.reports {
		if s.reports[i].node != report.node {
			continue
		}
		if s.reports[i].level != report.level || s.reports[i].rateLimited != report.rateLimited {
			s.validUntil = time.Time{}
		}
		s.reports[i] = report
		return
	}
	s.validUntil = time.Time{}
	if len(s.reports) < maxNodes {
		s.reports = append(s.reports, report)
		return
	}
	oldest := 0
	for i := range s.reports {
		if s.reports[i].receivedAt.Before(s.reports[oldest].receivedAt) {
			oldest = i
		}
	}
	s.reports[oldest] = report
}

// decayedLevel returns a node's level, which decays without new reports: while nothing
// is admitted, no reply can report the end of the overload.
func (l *Levels) decayedLevel(now time.Time, n nodeReport) uint16 {
	decaying := now.Sub(n.receivedAt) - l.cfg.TTL
	if decaying <= 0 {
		return n.level
	}
	if decaying >= l.cfg.Decay {
		return 0
	}
	remaining := 1 - float64(decaying)/float64(l.cfg.Decay)
	return uint16(float64(n.level) * remaining)
}

// counts reports whether a report is recent enough to count.
func (l *Levels) counts(now time.Time, n nodeReport) bool {
	return now.Sub(n.receivedAt) < l.cfg.TTL+l.cfg.Decay
}

// level combines the levels of a service's nodes. Those with a rate-limited backend server
// count only if all are limited: their calls move to the others. The result is cached until
// a report changes it or a report begins to decay, as each call asks for the levels of all
// services that it reaches.
func (l *Levels) level(now time.Time, s *serviceLevels) uint16 {
	if now.Before(s.validUntil) {
		return s.combined
	}
	s.validUntil = now.Add(l.cfg.TTL)
	l.scratch = l.scratch[:0]
	unlimited := slices.ContainsFunc(s.reports, func(n nodeReport) bool { return !n.rateLimited && l.counts(now, n) })
	for _, n := range s.reports {
		if !l.counts(now, n) || unlimited && n.rateLimited {
			continue
		}
		decayStart := n.receivedAt.Add(l.cfg.TTL)
		if decayStart.Before(s.validUntil) {
			s.validUntil = decayStart
		}
		l.scratch = append(l.scratch, l.decayedLevel(now, n))
	}
	s.combined = l.quantile()
	return s.combined
}

// quantile returns the configured quantile of the levels in scratch.
func (l *Levels) quantile() uint16 {
	if len(l.scratch) == 0 {
		return 0
	}
	slices.Sort(l.scratch)
	return l.scratch[int(l.cfg.Quantile*float64(len(l.scratch)-1))]
}

// update returns the level in force: from frequent reports of the service's own nodes
// if there are any, else from gossip, else from forwarded reports. It also records how
// long the level stays above zero.
func (l *Levels) update(now time.Time, name string, s *serviceLevels) uint16 {
	level := l.level(now, s)
	if gossiped, ok := l.gossip.Level(now, name); ok && !s.reliable {
		level = gossiped
	}
	s.recovery.update(now, level > 0)
	return level
}

// Level returns the level in force of a service.
func (l *Levels) Level(now time.Time, name string) uint16 {
	s, ok := l.services[name]
	if !ok {
		if gossiped, _ := l.gossip.Level(now, name); gossiped == 0 || !l.hasCapacity(now) {
			return 0
		}
		s = &serviceLevels{}
		l.services[name] = s
	}
	return l.update(now, name, s)
}

// EntryDecision is the decision whether to admit a new request.
type EntryDecision struct {
	// BlockedBy names the service that does not admit the request, and is empty if all
	// do. RetryAfter is the time after which the caller should retry.
	BlockedBy  string
	RetryAfter time.Duration
	// AdmittedLevels are the levels above zero that were applied.
	AdmittedLevels []call.Level
}

// Admitted reports whether the request may start.
func (e EntryDecision) Admitted() bool { return e.BlockedBy == "" }

// Admit decides whether a request of a priority may start that will reach the services.
// If not, EntryDecision names the blocking service with the highest level.
func (l *Levels) Admit(now time.Time, services []string, prio uint16) EntryDecision {
	var entry EntryDecision
	var blockingLevel uint16
	for _, name := range services {
		level := l.Level(now, name)
		if level == 0 {
			continue
		}
		entry.AdmittedLevels = append(entry.AdmittedLevels, call.Level{Service: name, Priority: level})
		if level > prio && level > blockingLevel {
			blockingLevel, entry.BlockedBy = level, name
		}
	}
	if !entry.Admitted() {
		r := &l.services[entry.BlockedBy].recovery
		entry.RetryAfter = r.retryAfter(now, l.cfg.RetryMin, l.cfg.RetryMax, l.rng)
	}
	return entry
}

// Report returns the levels to forward, highest first, at most LevelsConfig.Report.
func (l *Levels) Report(now time.Time) []call.Level {
	var out []call.Level
	for _, name := range l.forwarded {
		if level := l.Level(now, name); level > 0 {
			out = append(out, call.Level{Service: name, Priority: level})
		}
	}
	slices.SortFunc(out, func(a, b call.Level) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Service, b.Service))
	})
	return out[:min(len(out), l.cfg.Report)]
}

// LevelState is the diagnostic state of one service.
type LevelState struct {
	Service  string `json:"service"`
	Level    uint16 `json:"level"`
	Nodes    int    `json:"nodes"`
	Recovery string `json:"mean_recovery"`
}

// Dump returns the state of all known services for diagnostics, ordered by name.
func (l *Levels) Dump(now time.Time) []LevelState {
	var out []LevelState
	for name, s := range l.services {
		out = append(out, LevelState{
			Service:  name,
			Level:    l.update(now, name, s),
			Nodes:    len(s.reports),
			Recovery: s.recovery.mean.String(),
		})
	}
	slices.SortFunc(out, func(a, b LevelState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// RecordReplyOfUnknownService is RecordReply for a node whose service is not known.
func (l *Levels) RecordReplyOfUnknownService(now time.Time, node wire.NodeID, levels []call.Level) {
	l.RecordReply(now, "", node, levels)
}
