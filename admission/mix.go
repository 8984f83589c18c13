package admission

import (
	"maps"
	"math"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
)

// MixConfig of a Mix. The zero value places all requests by their hash alone.
type MixConfig struct {
	// Most bounds the exponent by which a kind of request is favoured, and one
	// over it that by which another is held back. In the deepest shortage a kind
	// is served at least one over Most squared as often as any other of its
	// importance: 1.6 keeps that at 39%.
	Most float64
	// Weight of a new answer in what a kind is known to use.
	Weight float64
	// Samples is the number of answers that make the use of a kind known.
	Samples int
	// Memory is the half-life of the arrivals that weigh the kinds.
	Memory time.Duration
	// Forget is how long what was learned of a kind holds without an answer.
	Forget time.Duration
	// Routes bounds the kinds of requests that are known.
	Routes int
}

// DefaultMixConfig returns the settings of a node on the platform.
func DefaultMixConfig() MixConfig {
	return MixConfig{
		Most:    1.6,
		Weight:  1.0 / 32, // work of one kind varies by a factor of two and more
		Samples: 8,
		Memory:  2 * time.Second, // a few hundred requests at an entry node
		Forget:  30 * time.Second,
		Routes:  4096, // as many as reach.Book knows
	}
}

// Mix knows how much of each service the kinds of requests that enter here use,
// and gives requests that use little of a service that is short a better place
// within their importance.
//
// The load that it answers: long direct requests and short calls share a service
// that is short. Turned away alike, one long request takes the room of four others,
// and fewer callers are served than could be. It is not safe for concurrent use.
type Mix struct {
	cfg    MixConfig
	routes map[string]*kind
	// shares are the kinds that use each service.
	shares map[string][]*share
}

// kind is one kind of request.
type kind struct {
	importance importance.Importance
	arrivals   float64 // faded, as of at
	at         time.Time
	uses       []*share
}

// share is what one kind uses of one service.
type share struct {
	kind    *kind
	service string
	seconds float64 // slot time of one request
	samples int
	heard   time.Time
}

// NewMix returns a Mix that knows nothing.
func NewMix(cfg MixConfig) *Mix {
	return &Mix{cfg: cfg, routes: make(map[string]*kind), shares: make(map[string][]*share)}
}

// Arrived counts a request of a route that enters here.
func (m *Mix) Arrived(now time.Time, route string) {
	if k := m.routes[route]; k != nil {
		k.fade(now, m.cfg.Memory)
		k.arrivals++
	}
}

// Learn notes the slot time that a request of a route took which ended well.
func (m *Mix) Learn(now time.Time, route string, imp importance.Importance, uses []call.Use) {
	if m.cfg.Most == 0 {
		return
	}
	k := m.routes[route]
	if k == nil {
		if !m.room(now) {
			return
		}
		k = &kind{at: now}
		m.routes[route] = k
	}
	k.importance = imp
	for _, u := range uses {
		m.share(k, u.Service).learn(now, u.Seconds(), &m.cfg)
	}
}

// share returns what a kind uses of a service.
func (m *Mix) share(k *kind, service string) *share {
	for _, s := range k.uses {
		if s.service == service {
			return s
		}
	}
	s := &share{kind: k, service: service}
	k.uses = append(k.uses, s)
	m.shares[service] = append(m.shares[service], s)
	return s
}

func (s *share) learn(now time.Time, seconds float64, cfg *MixConfig) {
	s.samples++
	s.heard = now
	weight := max(cfg.Weight, 1/float64(s.samples))
	s.seconds += weight * (seconds - s.seconds)
}

// room makes place for another kind, if need be by forgetting those that nothing
// was heard of.
func (m *Mix) room(now time.Time) bool {
	if len(m.routes) < m.cfg.Routes {
		return true
	}
	maps.DeleteFunc(m.routes, func(_ string, k *kind) bool { return now.Sub(k.at) > m.cfg.Forget })
	for service, list := range m.shares {
		list = slices.DeleteFunc(list, func(s *share) bool { return now.Sub(s.kind.at) > m.cfg.Forget })
		if m.shares[service] = list; len(list) == 0 {
			delete(m.shares, service)
		}
	}
	return len(m.routes) < m.cfg.Routes
}

func (k *kind) fade(now time.Time, halfLife time.Duration) {
	if passed := now.Sub(k.at); passed > 0 {
		k.at = now
		k.arrivals *= math.Exp2(-passed.Seconds() / halfLife.Seconds())
	}
}

// Place returns the priority of a request of a route for the levels of a service:
// its own, moved within its importance by what the route uses there.
//
// Of a kind with the exponent g a level lets in the share 1 - x^g, with the same x
// for all kinds. The level that stands for x is the part of the service's slot time
// that is then turned away: so a level still turns away the part that it names, and
// the node that sets it need not know of the kinds.
func (m *Mix) Place(now time.Time, service, route string, priority uint16) uint16 {
	k := m.routes[route]
	if k == nil {
		return priority
	}
	own, mean := m.demand(now, k, service)
	if own == nil || mean == 0 {
		return priority
	}
	hash := (float64(priority&hashMask) + 0.5) / band
	logX := math.Log(hash) / m.exponent(own, mean)
	var sum, all float64
	for _, s := range m.shares[service] {
		if m.counts(now, s, k.importance) {
			weight := s.kind.arrivals * s.seconds
			sum += weight * math.Exp(logX*m.exponent(s, mean))
			all += weight
		}
	}
	if all == 0 {
		return priority
	}
	return priority&^hashMask | uint16(min(sum/all*band, hashMask))
}

// demand returns what a kind uses of a service, nil if that is not known, and the
// mean of all requests of its importance.
func (m *Mix) demand(now time.Time, k *kind, service string) (own *share, mean float64) {
	var used, requests float64
	for _, s := range m.shares[service] {
		if !m.counts(now, s, k.importance) {
			continue
		}
		s.kind.fade(now, m.cfg.Memory)
		used += s.kind.arrivals * s.seconds
		requests += s.kind.arrivals
		if s.kind == k {
			own = s
		}
	}
	if requests == 0 {
		return own, 0
	}
	return own, used / requests
}

// counts reports whether a share is known well enough.
func (m *Mix) counts(now time.Time, s *share, imp importance.Importance) bool {
	return s.kind.importance == imp && s.samples >= m.cfg.Samples && s.seconds > 0 && now.Sub(s.heard) <= m.cfg.Forget
}

// exponent favours a kind that uses less than the mean.
func (m *Mix) exponent(s *share, mean float64) float64 {
	return min(max(mean/s.seconds, 1/m.cfg.Most), m.cfg.Most)
}
