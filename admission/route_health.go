package admission

import (
	"maps"
	"math"
	"math/rand/v2"
	"time"
)

// RouteHealthConfig configures a RouteHealth. With the zero value, nothing is deferred.
type RouteHealthConfig struct {
	// MinSuccessRate is the success rate below which requests are deferred: a caller that can
	// still retry then does better to wait.
	MinSuccessRate float64
	// HalfLife is the half-life of recorded outcomes. It is shorter than the failures
	// that callers can wait out.
	HalfLife time.Duration
	// MinSamples is the least number of completed requests, decayed, on which a decision
	// is based.
	MinSamples float64
	// MinRemainingShare is the least remaining deadline for a request to be deferred, as a share of
	// the longest recent one of its route. It is high enough that a caller is deferred only once: after two
	// deferrals, a caller that retries only once would never be tried.
	MinRemainingShare float64
	// WaitMin and WaitMax bound the proposed Retry-After time as shares of the
	// remaining deadline.
	WaitMin, WaitMax float64
	// Routes bounds the number of routes that are tracked.
	Routes int
}

// DefaultRouteHealthConfig returns the settings of a node on the platform, whose callers
// wait for at most a third of their remaining deadline.
func DefaultRouteHealthConfig() RouteHealthConfig {
	return RouteHealthConfig{
		MinSuccessRate:    0.25,
		HalfLife:          time.Second,
		MinSamples:        4,
		MinRemainingShare: 0.75,
		WaitMin:           0.2,
		WaitMax:           1.0 / 3,
		Routes:            4096, // as many as reach.Tracker knows
	}
}

// RouteHealth tracks the route health: the recent success rate of the requests of each
// route that were admitted at this node. It defers new requests of a route while nearly
// all fail: the caller is told that its request has not run and when to retry.
//
// This handles failures of a service deep in the graph that don't depend on load. A
// request that needs several calls there fails after work was spent on it, and if it is
// not idempotent its caller may not send it again. A deferred request may be retried
// after the service has recovered. A request with little time remaining is tried in any
// case, which also detects the recovery. A RouteHealth is not safe for concurrent use.
type RouteHealth struct {
	cfg    RouteHealthConfig
	rng    *rand.Rand
	routes map[string]*routeOutcomes
}

// routeOutcomes holds the recent outcomes of the requests of one route.
type routeOutcomes struct {
	updatedAt             time.Time
	successful, completed float64
	// remaining is the longest remaining deadline of a recent request of the route,
	// received at remainingAt.
	remaining   time.Duration
	remainingAt time.Time
}

// remainingTTL is how long the longest remaining deadline of a route is remembered:
// long enough to see many requests of a rarely used route.
const remainingTTL = 10 * time.Second

// NewRouteHealth returns a RouteHealth without recorded outcomes. The seed randomizes
// Retry-After times.
func NewRouteHealth(cfg RouteHealthConfig, seed uint64) *RouteHealth {
	return &RouteHealth{cfg: cfg, rng: rand.New(rand.NewPCG(seed, 3)), routes: make(map[string]*routeOutcomes)}
}

// RecordOutcome records whether an admitted request of the route succeeded.
func (o *RouteHealth) RecordOutcome(now time.Time, route string, successful bool) {
	h := o.routeOutcomes(now, route)
	if h == nil {
		return
	}
	h.decay(now, o.cfg.HalfLife)
	h.completed++
	if successful {
		h.successful++
	}
}

// Defer reports whether the caller should retry a request of the route later, and after
// what time. remaining is the caller's remaining deadline, zero if it has none; such a
// request is always tried.
func (o *RouteHealth) Defer(now time.Time, route string, remaining time.Duration) (after time.Duration, deferred bool) {
	h := o.routeOutcomes(now, route)
	if h == nil || remaining <= 0 {
		return 0, false
	}
	h.recordRemaining(now, remaining)
	h.decay(now, o.cfg.HalfLife)
	if h.completed < o.cfg.MinSamples || h.successful >= o.cfg.MinSuccessRate*h.completed {
		return 0, false
	}
	if float64(remaining) < o.cfg.MinRemainingShare*float64(h.remaining) {
		return 0, false
	}
	share := o.cfg.WaitMin + (o.cfg.WaitMax-o.cfg.WaitMin)*o.rng.Float64()
	return time.Duration(share * float64(remaining)), true
}

// routeOutcomes returns what is recorded for a route, and nil if the route is not tracked.
func (o *RouteHealth) routeOutcomes(now time.Time, route string) *routeOutcomes {
	if o.cfg.MinSuccessRate == 0 {
		return nil
	}
	h, ok := o.routes[route]
	if ok {
		return h
	}
	if !o.hasCapacity(now) {
		return nil
	}
	h = &routeOutcomes{updatedAt: now}
	o.routes[route] = h
	return h
}

// hasCapacity reports whether another route can be tracked. If the bound is reached, it
// first removes routes without recent requests.
func (o *RouteHealth) hasCapacity(now time.Time) bool {
	if len(o.routes) < o.cfg.Routes {
		return true
	}
	maps.DeleteFunc(o.routes, func(_ string, h *routeOutcomes) bool { return now.Sub(h.updatedAt) > remainingTTL })
	return len(o.routes) < o.cfg.Routes
}

// recordRemaining records the remaining deadline of one request.
func (h *routeOutcomes) recordRemaining(now time.Time, remaining time.Duration) {
	if remaining >= h.remaining || now.Sub(h.remainingAt) > remainingTTL {
		h.remaining, h.remainingAt = remaining, now
	}
}

// decay reduces the weight of earlier outcomes by the time elapsed.
func (h *routeOutcomes) decay(now time.Time, halfLife time.Duration) {
	elapsed := now.Sub(h.updatedAt)
	if elapsed <= 0 {
		return
	}
	h.updatedAt = now
	factor := math.Exp2(-elapsed.Seconds() / halfLife.Seconds())
	h.successful *= factor
	h.completed *= factor
}
