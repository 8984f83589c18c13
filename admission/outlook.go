package admission

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

// OutlookConfig of an Outlook. The zero value defers nothing.
type OutlookConfig struct {
	// Poor is the share of successes below which requests are deferred. With
	// one in four or less, a caller that can still come back does better than
	// one that is tried now.
	Poor float64
	// Memory is the half-life of what was seen: short against the troubles that
	// callers can wait out.
	Memory time.Duration
	// Samples is the number of ended requests, faded, that make an outlook.
	Samples float64
	// Early is the share of its time that a request must have left to be
	// deferred. A caller that waits for a third of what it has left is deferred
	// once with three quarters; deferred twice, one that comes back no more
	// than once would never be tried.
	Early float64
	// WaitMin and WaitMax bound the time to come back as shares of what is
	// left.
	WaitMin, WaitMax float64
	// Routes bounds the routes that are watched.
	Routes int
}

// DefaultOutlookConfig returns the settings of a node on the platform, whose
// callers wait for at most a third of what they have left.
func DefaultOutlookConfig() OutlookConfig {
	return OutlookConfig{
		Poor:    0.25,
		Memory:  time.Second,
		Samples: 4, // what six requests a second leave
		Early:   0.75,
		WaitMin: 0.2,
		WaitMax: 1.0 / 3,
		Routes:  4096, // as many as reach.Book knows
	}
}

// Outlook watches how the requests of each route end that were admitted here, and
// defers new ones while hardly any ends well: the caller is told that its request
// has not run and when to come back.
//
// The failure that it answers: a service deep in the graph turns away half of its
// calls, whatever the load. A request that needs eight of them fails after all the
// work above was done, and a caller whose request is not idempotent may not send
// it again. Deferred, it comes back to a service that may be well by then; when its
// time grows short it is tried in any case, which also shows when the trouble is
// over. It is not safe for concurrent use.
type Outlook struct {
	cfg    OutlookConfig
	rng    *rand.Rand
	routes map[string]*course
}

// course is how the requests of one route went lately.
type course struct {
	at          time.Time
	good, ended float64
	// patience is the longest time that callers of the route had lately.
	patience   time.Duration
	patienceAt time.Time
}

// patienceFor is how long the longest patience of a route's callers is remembered:
// many requests of a rare route.
const patienceFor = 10 * time.Second

// NewOutlook returns an Outlook that has seen nothing. The seed spreads the times to
// come back.
func NewOutlook(cfg OutlookConfig, seed uint64) *Outlook {
	return &Outlook{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 3)), routes: make(map[string]*course)}
}

// Ended notes how a request of the route ended that was tried.
func (o *Outlook) Ended(now time.Time, route string, good bool) {
	c := o.course(now, route)
	if c == nil {
		return
	}
	c.fade(now, o.cfg.Memory)
	c.ended++
	if good {
		c.good++
	}
}

// Defer reports whether a request of the route should come back later, and when.
// patience is the time that its caller has left, zero if it does not say: such a
// request is always tried.
func (o *Outlook) Defer(now time.Time, route string, patience time.Duration) (after time.Duration, yes bool) {
	c := o.course(now, route)
	if c == nil || patience <= 0 {
		return 0, false
	}
	c.expect(now, patience)
	c.fade(now, o.cfg.Memory)
	if c.ended < o.cfg.Samples || c.good >= o.cfg.Poor*c.ended {
		return 0, false
	}
	if float64(patience) < o.cfg.Early*float64(c.patience) {
		return 0, false
	}
	share := o.cfg.WaitMin + (o.cfg.WaitMax-o.cfg.WaitMin)*o.rng.Float64()
	return time.Duration(share * float64(patience)), true
}

// course finds what is known of a route; nil if it is not watched.
func (o *Outlook) course(now time.Time, route string) *course {
	if o.cfg.Poor == 0 {
		return nil
	}
	c, ok := o.routes[route]
	if ok {
		return c
	}
	if !o.room(now) {
		return nil
	}
	c = &course{at: now}
	o.routes[route] = c
	return c
}

// room makes place for another route, if need be by forgetting those that nothing
// was heard of.
func (o *Outlook) room(now time.Time) bool {
	if len(o.routes) < o.cfg.Routes {
		return true
	}
	maps.DeleteFunc(o.routes, func(_ string, c *course) bool { return now.Sub(c.at) > patienceFor })
	return len(o.routes) < o.cfg.Routes
}

// expect notes the patience of one caller.
func (c *course) expect(now time.Time, patience time.Duration) {
	if patience >= c.patience || now.Sub(c.patienceAt) > patienceFor {
		c.patience, c.patienceAt = patience, now
	}
}

func (c *course) fade(now time.Time, halfLife time.Duration) {
	passed := now.Sub(c.at)
	if passed <= 0 {
		return
	}
	c.at = now
	left := math.Exp2(-passed.Seconds() / halfLife.Seconds())
	c.good *= left
	c.ended *= left
}
