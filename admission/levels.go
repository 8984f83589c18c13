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

// learned is one node's word about one service.
type learned struct {
	node wire.NodeID
	// speaker is the service that the node belongs to.
	speaker string
	level   uint16
	at      time.Time
}

// service is what is known about one service.
type service struct {
	nodes    []learned
	recovery recovery
	// straight counts the words since the last Speak that came from the service's
	// own nodes; speaks says that there were enough before it for the node to
	// speak for the service.
	straight int
	speaks   bool
	// combined is the level until valid, unless a word changes.
	combined uint16
	valid    time.Time
}

// Levels holds the levels of other services as learned from replies. A node has
// two: one for the requests that enter at it, and one for the calls of its own
// backend server, which alone is reported upwards. In a common one the node
// would hear its own report again by way of the services above it. It is not
// safe for concurrent use.
type Levels struct {
	cfg      LevelsConfig
	rng      *rand.Rand
	news     *News
	services map[string]*service
	passOn   []string
	scratch  []uint16
}

// NewLevels returns Levels that admit everything. Where the news are fresh they go
// before words that came with replies. The seed spreads the times to come back.
func NewLevels(cfg LevelsConfig, news *News, seed uint64) *Levels {
	return &Levels{
		cfg:      cfg,
		news:     news,
		rng:      rand.New(rand.NewPCG(seed, 0)),
		services: make(map[string]*service),
	}
}

// PassOn sets the services whose levels Report passes on: those that the node's
// own service reaches, without any that reaches back to it. If levels were
// passed on in a circle, each node would take the echo of its own word for news
// and a level would never fall again.
func (l *Levels) PassOn(services []string) {
	l.passOn = slices.Clone(services)
}

// Learn notes the level of a service as told by one of its nodes.
func (l *Levels) Learn(now time.Time, name string, node wire.NodeID, level uint16) {
	l.learn(now, name, learned{node: node, speaker: name, level: level, at: now})
}

func (l *Levels) learn(now time.Time, name string, word learned) {
	s, ok := l.services[name]
	if !ok {
		if !l.room(now) {
			return
		}
		s = &service{}
		l.services[name] = s
	}
	s.learn(word, l.cfg.Nodes)
	if word.speaker == name {
		s.straight++
	}
	l.follow(now, name, s)
}

// Speak notes in the news what is known here of services whose own nodes were heard
// often since it was last called.
func (l *Levels) Speak(now time.Time) {
	for name, s := range l.services {
		s.speaks = s.straight >= l.news.cfg.Words
		s.straight = 0
		if s.speaks {
			l.news.note(now, name, l.level(now, s), now)
		}
	}
}

// room reports whether another service can be remembered. A peer could name any
// number of them; those not heard of any more make room.
func (l *Levels) room(now time.Time) bool {
	if len(l.services) < l.cfg.Services {
		return true
	}
	maps.DeleteFunc(l.services, func(_ string, s *service) bool {
		return !slices.ContainsFunc(s.nodes, func(n learned) bool {
			return now.Sub(n.at) < l.cfg.Fresh+l.cfg.Decay
		})
	})
	return len(l.services) < l.cfg.Services
}

// Heard notes all levels of one reply of a node of the given service. What the
// reply does not name is admitted: the node's own service, and the services
// that this or another node of that service has named before. Without the
// nodes that have nothing to say, one straggler would speak for all.
func (l *Levels) Heard(now time.Time, speaker string, node wire.NodeID, levels []call.Level) {
	word := learned{node: node, speaker: speaker, at: now}
	if speaker != "" && !names(levels, speaker) {
		l.learn(now, speaker, word)
	}
	for name, s := range l.services {
		if name != speaker && s.spokenBy(speaker) && !names(levels, name) {
			l.learn(now, name, word)
		}
	}
	for _, lv := range levels {
		word.level = lv.Priority
		l.learn(now, lv.Service, word)
	}
}

func names(levels []call.Level, name string) bool {
	return slices.ContainsFunc(levels, func(lv call.Level) bool { return lv.Service == name })
}

func (s *service) spokenBy(speaker string) bool {
	return slices.ContainsFunc(s.nodes, func(n learned) bool { return n.speaker == speaker })
}

func (s *service) learn(word learned, most int) {
	for i := range s.nodes {
		if s.nodes[i].node != word.node {
			continue
		}
		if s.nodes[i].level != word.level {
			s.valid = time.Time{}
		}
		s.nodes[i] = word
		return
	}
	s.valid = time.Time{}
	if len(s.nodes) < most {
		s.nodes = append(s.nodes, word)
		return
	}
	oldest := 0
	for i := range s.nodes {
		if s.nodes[i].at.Before(s.nodes[oldest].at) {
			oldest = i
		}
	}
	s.nodes[oldest] = word
}

// current is a node's level, which decays when it is not heard again: if
// nothing is admitted, no reply can say that the overload is over.
func (l *Levels) current(now time.Time, n learned) uint16 {
	stale := now.Sub(n.at) - l.cfg.Fresh
	if stale <= 0 {
		return n.level
	}
	if stale >= l.cfg.Decay {
		return 0
	}
	left := 1 - float64(stale)/float64(l.cfg.Decay)
	return uint16(float64(n.level) * left)
}

// level combines the nodes of a service. The result holds until a word changes
// or may have to decay: each call asks for the levels of all services that it
// reaches.
func (l *Levels) level(now time.Time, s *service) uint16 {
	if now.Before(s.valid) {
		return s.combined
	}
	s.valid = now.Add(l.cfg.Fresh)
	l.scratch = l.scratch[:0]
	for _, n := range s.nodes {
		stale := n.at.Add(l.cfg.Fresh)
		if now.Sub(stale) >= l.cfg.Decay {
			continue
		}
		if stale.Before(s.valid) {
			s.valid = stale
		}
		l.scratch = append(l.scratch, l.current(now, n))
	}
	s.combined = l.quantile()
	return s.combined
}

func (l *Levels) quantile() uint16 {
	if len(l.scratch) == 0 {
		return 0
	}
	slices.Sort(l.scratch)
	return l.scratch[int(l.cfg.Quantile*float64(len(l.scratch)-1))]
}

// follow is the level that counts: what was heard from the service's own nodes, else
// the news, else what replies passed on. It keeps count of how long that stays above
// zero.
func (l *Levels) follow(now time.Time, name string, s *service) uint16 {
	level := l.level(now, s)
	if told, ok := l.news.Level(now, name); ok && !s.speaks {
		level = told
	}
	s.recovery.follow(now, level > 0)
	return level
}

// Level is the present level of a service.
func (l *Levels) Level(now time.Time, name string) uint16 {
	s, ok := l.services[name]
	if !ok {
		if told, _ := l.news.Level(now, name); told == 0 || !l.room(now) {
			return 0
		}
		s = &service{}
		l.services[name] = s
	}
	return l.follow(now, name, s)
}

// Entry is the decision about one request that would enter.
type Entry struct {
	// BlockedBy names the service that does not admit the request, empty if all
	// do; RetryAfter is when to come back.
	BlockedBy  string
	RetryAfter time.Duration
	// Bars are the levels above zero that were applied.
	Bars []call.Level
}

// Admitted reports whether the request may be started.
func (e Entry) Admitted() bool { return e.BlockedBy == "" }

// Admit decides whether a request of a priority may be started that will reach the
// services. If it may not, the one with the highest level is named.
func (l *Levels) Admit(now time.Time, services []string, prio uint16) Entry {
	var entry Entry
	var blocked uint16
	for _, name := range services {
		level := l.Level(now, name)
		if level == 0 {
			continue
		}
		entry.Bars = append(entry.Bars, call.Level{Service: name, Priority: level})
		if level > prio && level > blocked {
			blocked, entry.BlockedBy = level, name
		}
	}
	if !entry.Admitted() {
		r := &l.services[entry.BlockedBy].recovery
		entry.RetryAfter = r.retryAfter(now, l.cfg.RetryMin, l.cfg.RetryMax, l.rng)
	}
	return entry
}

// Report lists the levels to pass on, the highest first if there are too many.
func (l *Levels) Report(now time.Time) []call.Level {
	var out []call.Level
	for _, name := range l.passOn {
		if level := l.Level(now, name); level > 0 {
			out = append(out, call.Level{Service: name, Priority: level})
		}
	}
	slices.SortFunc(out, func(a, b call.Level) int {
		return cmp.Or(cmp.Compare(b.Priority, a.Priority), cmp.Compare(a.Service, b.Service))
	})
	return out[:min(len(out), l.cfg.Report)]
}

// LevelState is one service in the state dump of Levels.
type LevelState struct {
	Service  string `json:"service"`
	Level    uint16 `json:"level"`
	Nodes    int    `json:"nodes"`
	Recovery string `json:"mean_recovery"`
}

// Dump returns the services with a history, by name.
func (l *Levels) Dump(now time.Time) []LevelState {
	var out []LevelState
	for name, s := range l.services {
		out = append(out, LevelState{
			Service:  name,
			Level:    l.follow(now, name, s),
			Nodes:    len(s.nodes),
			Recovery: s.recovery.mean.String(),
		})
	}
	slices.SortFunc(out, func(a, b LevelState) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

// LearnReply is Heard for a node whose service is not known.
func (l *Levels) LearnReply(now time.Time, node wire.NodeID, levels []call.Level) {
	l.Heard(now, "", node, levels)
}
