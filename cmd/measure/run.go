package main

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/internal/rig/load"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
)

// The phases of a run. The warm-up covers cold starts, the baseline phase gives
// the figures before the trigger, and recoveryTime exceeds the target for
// recovery.
const (
	warmUpTime   = coldStartTime + time.Second
	baselineTime = 4 * time.Second
	triggerTime  = 6 * time.Second
	recoveryTime = 8 * time.Second

	// baseLoad is the load outside the trigger, as a multiple of the saturation
	// rate.
	baseLoad = 0.7
	// maxStall is the longest stall of the machine in a valid run.
	maxStall     = 100 * time.Millisecond
	stopTimeout  = 10 * time.Second
	startTimeout = 60 * time.Second
	// superviseInterval is the time between restarts of crashed backend servers.
	superviseInterval = 200 * time.Millisecond
)

// system is a running system under load.
type system struct {
	user    *user
	cluster *rig.Cluster
	// mu keeps the supervisor from acting while a trigger changes the processes.
	mu sync.Mutex
}

// outcome is the result of one run.
type outcome struct {
	run     *load.Run
	figures load.Figures
	stall   time.Duration
}

func runOnce(ctx context.Context, opts options, u *user, s scenario, policy string, seed uint64) (out outcome, err error) {
	bin := opts.Bin
	if policy == policyEarlier {
		bin = opts.Earlier
	}
	r, err := rig.New(bin)
	if err != nil {
		return outcome{}, err
	}
	defer func() {
		err = errors.Join(err, r.Close(stopTimeout))
		if err != nil {
			err = fmt.Errorf("%w (logs: %s)", err, r.Dir())
			return
		}
		err = r.RemoveLogs()
	}()
	sys, err := startSystem(ctx, r, u, policy, seed)
	if err != nil {
		return outcome{}, err
	}
	return sys.runLoad(ctx, s, seed)
}

func startSystem(ctx context.Context, r *rig.Rig, u *user, policy string, seed uint64) (*system, error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	cluster, err := r.StartCluster(ctx, u.shape, rig.Options{
		Seed:     seed,
		NodeArgs: func(s rig.ServiceShape) []string { return nodeArgs(s, policy) },
	})
	if err != nil {
		return nil, err
	}
	if _, err := cluster.Publish(ctx, u.graphFile); err != nil {
		return nil, err
	}
	if err := cluster.Await(ctx, "/readyz", cluster.Instances); err != nil {
		return nil, err
	}
	return &system{user: u, cluster: cluster}, cluster.AwaitView(ctx, cluster.Instances)
}

// nodeArgs returns the arguments for the policy. The fixed limit is the number of
// slots, the best value for that policy.
func nodeArgs(s rig.ServiceShape, policy string) []string {
	switch policy {
	case policyNone:
		return []string{"--policy", "none"}
	case policyFixed:
		return []string{"--policy", "fixed", "--initial-limit", fmt.Sprint(s.Slots)}
	default:
		return nil
	}
}

// runLoad puts the system under load, with the trigger active during its phase.
func (s *system) runLoad(ctx context.Context, sc scenario, seed uint64) (outcome, error) {
	callers, hard := sc.callers()
	arrivals := load.Schedule(s.phases(sc), s.user.mix, len(s.cluster.Instances), hard, seed)
	offered := load.Rates(arrivals, len(s.user.mix), warmUpTime+baselineTime, warmUpTime+baselineTime+triggerTime)
	if sc.poison {
		arrivals = load.Merge(arrivals, s.user.poisonArrivals())
	}
	g := &load.Generator{Nodes: s.cluster.CallerAddrs(), Mix: s.user.mix, Callers: callers}
	stalls := rig.WatchStalls()
	defer stalls.Stop()
	start := time.Now()
	triggerFrom := start.Add(warmUpTime + baselineTime)
	run := &load.Run{
		Mix:     s.user.mix,
		Before:  load.Span{From: start.Add(warmUpTime), To: triggerFrom},
		Trigger: load.Span{From: triggerFrom, To: triggerFrom.Add(triggerTime)},
		End:     triggerFrom.Add(triggerTime + recoveryTime),
		Best:    s.user.model(sc).Best(offered),
	}
	supervised, stop := context.WithCancel(ctx)
	var supervisor sync.WaitGroup
	supervisor.Go(func() { s.supervise(supervised, sc) })
	triggered := make(chan error, 1)
	go func() { triggered <- s.trigger(ctx, sc, run.Trigger) }()
	run.Results = g.Run(ctx, start, arrivals)
	err := <-triggered
	stop()
	supervisor.Wait()
	if err = errors.Join(err, ctx.Err()); err != nil {
		return outcome{}, err
	}
	out := outcome{run: run, stall: stalls.Longest()}
	if run.Executions, err = s.executions(ctx); err != nil {
		return outcome{}, err
	}
	out.figures = run.Figures()
	return out, nil
}

func (s scenario) load() float64 {
	if s.surge > 0 {
		return s.surge
	}
	return baseLoad
}

func (s *system) phases(sc scenario) []load.Phase {
	return []load.Phase{
		{Length: warmUpTime + baselineTime, Rate: s.user.saturationRate * baseLoad},
		{Length: triggerTime, Rate: s.user.saturationRate * sc.load()},
		{Length: recoveryTime, Rate: s.user.saturationRate * baseLoad},
	}
}

func (s *system) trigger(ctx context.Context, sc scenario, span load.Span) error {
	for _, step := range []struct {
		at time.Time
		do func(context.Context, *system) error
	}{{span.From, sc.begin}, {span.To, sc.end}} {
		select {
		case <-time.After(time.Until(step.at)):
		case <-ctx.Done():
			return ctx.Err()
		}
		if step.do == nil {
			continue
		}
		if err := s.withLock(ctx, step.do); err != nil {
			return err
		}
	}
	return nil
}

func (s *system) withLock(ctx context.Context, do func(context.Context, *system) error) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	return do(ctx, s)
}

// supervise restarts crashed backend servers, as the platform does.
func (s *system) supervise(ctx context.Context, sc scenario) {
	if !sc.poison {
		return
	}
	ticker := time.NewTicker(superviseInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			s.restartCrashedBackends()
		}
	}
}

func (s *system) restartCrashedBackends() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, i := range s.cluster.Instances {
		if i.Backend.Running() {
			continue
		}
		if err := s.cluster.RestartBackend(i); err != nil {
			fmt.Println("restart of", i.Name, "failed:", err)
		}
	}
}

// executions collects the execution logs of all running backend servers. Those of
// killed processes are lost, so the share of wasted work covers only the others.
func (s *system) executions(ctx context.Context) ([]backend.Execution, error) {
	var all []backend.Execution
	for _, i := range s.cluster.Instances {
		if !i.Backend.Running() {
			continue
		}
		list, err := i.Executions(ctx)
		if err != nil {
			return nil, err
		}
		all = append(all, list...)
	}
	return all, nil
}
