package main

import (
	"context"
	"errors"
	"fmt"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/internal/rig/load"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
)

// scenario is a trigger that is active for a while. The zero value has no
// trigger.
type scenario struct {
	name  string
	title string
	// surge is the load during the trigger, as a multiple of the saturation rate;
	// 0 is the base load.
	surge float64
	// begin and end switch other triggers on and off; nil does nothing.
	begin func(context.Context, *system) error
	end   func(context.Context, *system) error
	// capacity is the share of a service's slots that remains during the trigger;
	// slowdown is the factor of its service times. nil means 1.
	capacity func(*user, rig.ServiceShape) float64
	slowdown func(u *user, service string) float64
	// retryStorm makes all callers resend often and without regard to Retry-After.
	retryStorm bool
	// poison has one caller repeat a request that crashes the backend servers of
	// the deep service while the trigger is active.
	poison bool
}

func (s scenario) capacityOf(u *user, service rig.ServiceShape) float64 {
	if s.capacity == nil {
		return 1
	}
	return s.capacity(u, service)
}

func (s scenario) slowdownOf(u *user, service string) float64 {
	if s.slowdown == nil {
		return 1
	}
	return s.slowdown(u, service)
}

const (
	stragglerFactor = 20.0
	allSlowFactor   = 3.0
	stormSurge      = 1.5
	lostDataCentres = 2
)

var scenarios = []scenario{
	{name: "calm", title: "0.7x load, no trigger"},
	{name: "surge-1.5", title: "1.5x load", surge: 1.5},
	{name: "surge-3", title: "3x load", surge: 3},
	{name: "surge-10", title: "10x load", surge: 10},
	{
		name: "straggler-deep", title: "one backend server of the deep service 20x slower",
		begin: slowOne(deepService, stragglerFactor), end: slowOne(deepService, 1), capacity: capacityWithStraggler(deepService),
	},
	{
		name: "straggler-wide", title: "one of five backend servers 20x slower",
		begin: slowOne(wideService, stragglerFactor), end: slowOne(wideService, 1), capacity: capacityWithStraggler(wideService),
	},
	{
		name: "deep-slow", title: "all backend servers of the deep service 3x slower",
		begin: slowDeep(allSlowFactor), end: slowDeep(1), slowdown: deepSlowdown(allSlowFactor),
	},
	{
		name: "centres-lost", title: "two of three data centres lost, then back",
		begin: killDataCentres, end: restartDataCentres, capacity: remainingCapacity,
	},
	{
		name: "restart", title: "every backend server of the deep service stopped as planned and started, cold",
		begin: restartDeep, capacity: coldStartCapacity(backend.DefaultConfig().DrainQuiet),
	},
	{
		name: "crash-all", title: "every backend server of the deep service killed and started, cold",
		begin: crashDeep, capacity: coldStartCapacity(0),
	},
	{
		name: "load-zero", title: "1.5x load, load endpoints stuck at zero", surge: 1.5,
		begin: setLoadMode(backend.LoadStuckZero), end: setLoadMode(backend.LoadTrue),
	},
	{
		name: "load-full", title: "1.5x load, load endpoints stuck at full", surge: 1.5,
		begin: setLoadMode(backend.LoadStuckFull), end: setLoadMode(backend.LoadTrue),
	},
	{name: "retry-storm", title: "1.5x load, all callers resend hard, 10 attempts", surge: stormSurge, retryStorm: true},
	{name: "poison", title: "a request that crashes the deep service, sent every 0.5 s", poison: true, end: awaitSupervisor},
	{name: "calm-log-out", title: "0.7x load, log outage", begin: logOutage},
	{name: "surge-3-log-out", title: "3x load, log outage", surge: 3, begin: logOutage},
	{name: "surge-10-log-out", title: "10x load, log outage", surge: 10, begin: logOutage},
	{
		name: "surge-straggler", title: "3x load and one backend server of the deep service 20x slower", surge: 3,
		begin: slowOne(deepService, stragglerFactor), end: slowOne(deepService, 1), capacity: capacityWithStraggler(deepService),
	},
}

func findScenario(name string) (scenario, bool) {
	for _, s := range scenarios {
		if s.name == name {
			return s, true
		}
	}
	return scenario{}, false
}

func selectScenarios(names []string) []scenario {
	if len(names) == 0 {
		return scenarios
	}
	var list []scenario
	for _, name := range names {
		s, _ := findScenario(name)
		list = append(list, s)
	}
	return list
}

func printScenarios() {
	for _, s := range scenarios {
		fmt.Printf("%-18s %s\n", s.name, s.title)
	}
}

func deepService(u *user) string { return u.deep }

func wideService(u *user) string { return u.wide }

func slowOne(service func(*user) string, factor float64) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		return s.cluster.Of(service(s.user))[0].Control(ctx, backend.Control{SlowFactor: new(factor)})
	}
}

// capacityWithStraggler counts the slots of one backend server at the reduced
// rate of the straggler.
func capacityWithStraggler(service func(*user) string) func(*user, rig.ServiceShape) float64 {
	return func(u *user, shape rig.ServiceShape) float64 {
		if shape.Name != service(u) {
			return 1
		}
		targets := float64(shape.Targets)
		return (targets - 1 + 1/stragglerFactor) / targets
	}
}

func slowDeep(factor float64) func(context.Context, *system) error {
	return controlDeep(backend.Control{SlowFactor: new(factor)})
}

func controlDeep(c backend.Control) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		for _, i := range s.cluster.Of(s.user.deep) {
			if err := i.Control(ctx, c); err != nil {
				return err
			}
		}
		return nil
	}
}

func deepSlowdown(factor float64) func(*user, string) float64 {
	return func(u *user, service string) float64 {
		if service == u.deep {
			return factor
		}
		return 1
	}
}

func setLoadMode(mode backend.LoadMode) func(context.Context, *system) error {
	return func(ctx context.Context, s *system) error {
		for _, i := range s.cluster.Instances {
			if err := i.Control(ctx, backend.Control{Load: new(mode)}); err != nil {
				return err
			}
		}
		return nil
	}
}

func logOutage(ctx context.Context, s *system) error {
	return s.cluster.LogOutage(ctx, triggerTime)
}

// killDataCentres kills the nodes and backend servers of all data centres but one.
func killDataCentres(_ context.Context, s *system) error {
	for _, i := range s.lostInstances() {
		if err := i.Backend.Kill(); err != nil {
			return err
		}
		if err := i.Node.Kill(); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) lostInstances() []*rig.Instance {
	kept := s.user.shape.DataCentres[lostDataCentres:]
	var list []*rig.Instance
	for _, i := range s.cluster.Instances {
		if i.DataCentre != kept[0] {
			list = append(list, i)
		}
	}
	return list
}

func restartDataCentres(_ context.Context, s *system) error {
	for _, i := range s.lostInstances() {
		if err := s.cluster.RestartNode(i); err != nil {
			return err
		}
		if err := s.cluster.RestartBackend(i); err != nil {
			return err
		}
	}
	return nil
}

func remainingCapacity(u *user, shape rig.ServiceShape) float64 {
	left := 0
	for k := range shape.Targets {
		if k%len(u.shape.DataCentres) == lostDataCentres {
			left++
		}
	}
	return float64(left) / float64(shape.Targets)
}

// restartDeep stops all backend servers of the deep service gracefully and at
// once. Each starts again, cold, as soon as it has stopped.
func restartDeep(_ context.Context, s *system) error {
	return s.restartAllDeep(func(p *rig.Process) error { return p.Stop(stopTimeout) })
}

// crashDeep kills all backend servers of the deep service and starts them again.
func crashDeep(_ context.Context, s *system) error {
	return s.restartAllDeep((*rig.Process).Kill)
}

func (s *system) restartAllDeep(end func(*rig.Process) error) error {
	instances := s.cluster.Of(s.user.deep)
	errs := make([]error, len(instances))
	var all sync.WaitGroup
	for n, i := range instances {
		all.Go(func() {
			if errs[n] = end(i.Backend); errs[n] == nil {
				errs[n] = s.cluster.RestartBackend(i)
			}
		})
	}
	all.Wait()
	return errors.Join(errs...)
}

// coldStartCapacity returns the mean capacity of the deep service over the
// trigger: zero during downtime, then cold starts, in which service times fall
// linearly from coldStartFactor to 1.
func coldStartCapacity(away time.Duration) func(*user, rig.ServiceShape) float64 {
	return func(u *user, shape rig.ServiceShape) float64 {
		if shape.Name != u.deep {
			return 1
		}
		cold := math.Log(coldStartFactor) / (coldStartFactor - 1) * coldStartTime.Seconds()
		warm := (triggerTime - away - coldStartTime).Seconds()
		return (cold + warm) / triggerTime.Seconds()
	}
}

// awaitSupervisor waits until the supervisor can have restarted crashed backend
// servers.
func awaitSupervisor(ctx context.Context, _ *system) error {
	select {
	case <-ctx.Done():
	case <-time.After(superviseInterval):
	}
	return nil
}

// poisonInterval is the time between two sendings of the poison request.
const poisonInterval = 500 * time.Millisecond

// poisonArrivals returns the arrivals of requests that crash the deep service.
func (u *user) poisonArrivals() []load.Arrival {
	var list []load.Arrival
	for at := warmUpTime + baselineTime; at < warmUpTime+baselineTime+triggerTime; at += poisonInterval {
		list = append(list, load.Arrival{
			At:    at,
			Class: u.deepClass(),
			Node:  len(list) % u.shape.Instances(),
			Hard:  true,
			ID:    fmt.Sprintf("poison-%d", len(list)+1),
			Body:  "crash:" + u.deep,
		})
	}
	return list
}

// deepClass returns the first class whose requests reach the deep service.
func (u *user) deepClass() int {
	return slices.IndexFunc(u.mix, func(c load.Class) bool { return slices.Contains(c.Reach, u.deep) })
}

// callers returns the settings of the callers and the share of them that resends
// hard: at once and without regard to Retry-After.
func (s scenario) callers() (load.Callers, float64) {
	c := load.DefaultCallers()
	if !s.retryStorm {
		return c, hardShare
	}
	c.HardAttempts = stormAttempts
	c.HardPause = stormPause
	return c, 1
}

const (
	// hardShare is the share of callers that resend hard; see load.Arrival.
	hardShare     = 0.5
	stormAttempts = 10
	stormPause    = 5 * time.Millisecond
)
