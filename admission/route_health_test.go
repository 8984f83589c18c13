package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// testRouteHealth is a RouteHealth with a simulated clock.
type testRouteHealth struct {
	*RouteHealth
	now time.Time
}

func newTestRouteHealth() *testRouteHealth {
	return &testRouteHealth{RouteHealth: NewRouteHealth(DefaultRouteHealthConfig(), 1), now: time.Unix(1000, 0)}
}

// complete completes requests of a route at fifty per second.
func (o *testRouteHealth) complete(route string, requests int, success bool) {
	for range requests {
		o.now = o.now.Add(20 * time.Millisecond)
		o.RecordOutcome(o.now, route, success)
	}
}

func (o *testRouteHealth) deferred(route string, remaining time.Duration) bool {
	_, yes := o.Defer(o.now, route, remaining)
	return yes
}

// Guards against trying new requests of a failing route. Callers with little time or
// without a deadline are tried, and other routes are not affected.
func TestRequestsAreDeferredWhileTheyFail(t *testing.T) {
	is := is.New(t)
	o := newTestRouteHealth()
	is.True(!o.deferred("r", 6*time.Second)) // no outcomes yet
	o.complete("r", 40, false)
	for range 100 {
		after, yes := o.Defer(o.now, "r", 6*time.Second)
		is.True(yes)
		is.True(after >= 1200*time.Millisecond && after <= 2*time.Second)
	}
	is.True(o.deferred("r", 4600*time.Millisecond))
	is.True(!o.deferred("r", 4400*time.Millisecond))
	is.True(!o.deferred("r", 0))
	is.True(!o.deferred("other", 6*time.Second))
}

// Guards against deferring requests after the failures have ended, or without recent
// outcomes.
func TestRouteHealthRecovers(t *testing.T) {
	is := is.New(t)
	o := newTestRouteHealth()
	o.complete("r", 40, false)
	is.True(o.deferred("r", 6*time.Second))
	o.complete("r", 25, true)
	is.True(!o.deferred("r", 6*time.Second))

	o.complete("r", 100, false)
	is.True(o.deferred("r", 6*time.Second))
	o.now = o.now.Add(5 * time.Second)
	is.True(!o.deferred("r", 6*time.Second))
}

// Guards against deferring requests of a route of which half succeed.
func TestHalfSuccessfulRouteIsNotDeferred(t *testing.T) {
	is := is.New(t)
	o := newTestRouteHealth()
	for range 50 {
		o.complete("r", 1, true)
		o.complete("r", 1, false)
		is.True(!o.deferred("r", 6*time.Second))
	}
}

// Guards against comparing the remaining deadline with that of earlier callers, which
// had longer deadlines.
func TestEarlierDeadlinesAreForgotten(t *testing.T) {
	is := is.New(t)
	o := newTestRouteHealth()
	o.deferred("r", time.Minute)
	o.now = o.now.Add(remainingTTL + time.Second)
	o.complete("r", 40, false)
	is.True(o.deferred("r", 6*time.Second))
}

// Guards against unbounded memory for routes; requests of untracked routes are tried.
func TestRouteHealthIsBounded(t *testing.T) {
	is := is.New(t)
	cfg := DefaultRouteHealthConfig()
	cfg.Routes = 1
	o := &testRouteHealth{RouteHealth: NewRouteHealth(cfg, 1), now: time.Unix(1000, 0)}
	o.complete("a", 40, false)
	o.complete("b", 40, false)
	is.True(o.deferred("a", 6*time.Second))
	is.True(!o.deferred("b", 6*time.Second))
	is.Equal(len(o.routes), 1)
	o.now = o.now.Add(remainingTTL + time.Second)
	o.complete("b", 40, false) // replaces a
	is.True(o.deferred("b", 6*time.Second))
}
