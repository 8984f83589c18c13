package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"time"

	"github.com/cassialoom/cassialoom/caller"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/ops"
)

const (
	serviceTime    = 5 * time.Millisecond
	callerCount    = 12
	versionTimeout = 10 * time.Second
	versionPoll    = 50 * time.Millisecond
	stopTimeout    = 15 * time.Second
	demoSeed       = 20261202
)

// demo is the state of one run.
type demo struct {
	opts    options
	rig     *rig.Rig
	graph   *graph.Graph
	cluster *rig.Cluster
	callers []*client
	records []*record
	start   time.Time
	// stopped lists the instances that the demo drained or killed.
	stopped []*rig.Instance
}

// client is a caller with its name in the printed tables.
type client struct {
	*caller.Client
	name string
}

func newDemo(opts options) (*demo, error) {
	src, err := os.ReadFile(opts.Graph)
	if err != nil {
		return nil, fmt.Errorf("setting --graph: %w", err)
	}
	g, problems := graph.Parse(opts.Graph, src)
	if err := problems.Err(); err != nil {
		return nil, err
	}
	r, err := rig.New(opts.Bin)
	if err != nil {
		return nil, err
	}
	return &demo{opts: opts, rig: r, graph: g, start: time.Now()}, nil
}

// runSteps runs the steps in order and returns the first error.
func (d *demo) runSteps(ctx context.Context) error {
	steps := []struct {
		title string
		run   func(context.Context) error
	}{
		{"start the log and every instance", d.startAll},
		{"publish the graph text", d.publish},
		{"send a request of every operation", d.sendEveryOperation},
		{"drain a node under traffic", d.drainNode},
		{"kill a backend server under traffic", d.killBackend},
		{"compare what callers heard with what ran", d.checkHistory},
	}
	for n, step := range steps {
		fmt.Printf("\n%d. %s (%.1f s)\n", n+1, step.title, time.Since(d.start).Seconds())
		if err := step.run(ctx); err != nil {
			return fmt.Errorf("%s: %w", step.title, err)
		}
	}
	return nil
}

func (d *demo) startAll(ctx context.Context) error {
	shape, err := rig.Savukartta().WithGraph(d.graph)
	if err != nil {
		return err
	}
	for i := range shape.Services {
		shape.Services[i].Time = serviceTime
	}
	d.cluster, err = d.rig.StartCluster(ctx, shape, rig.Options{Seed: demoSeed, Journals: true})
	if err != nil {
		return err
	}
	d.addCallers()
	fmt.Printf("   %d instances in %d data centres: %d processes and the log\n",
		len(d.cluster.Instances), len(shape.DataCentres), 2*len(d.cluster.Instances))
	return nil
}

// addCallers gives each caller three nodes, so that one of them can stop.
func (d *demo) addCallers() {
	all := d.cluster.Instances
	for k := range callerCount {
		first, second, third := all[k%len(all)], all[(k+5)%len(all)], all[(k+10)%len(all)]
		cfg := caller.DefaultConfig()
		cfg.Nodes = []string{first.CallerAddr, second.CallerAddr, third.CallerAddr}
		cfg.Seed = uint64(k) + 1
		c, err := caller.New(cfg)
		if err != nil {
			panic(err) // unreachable: the settings are constant
		}
		d.callers = append(d.callers, &client{Client: c, name: fmt.Sprintf("caller %2d", k+1)})
	}
}

// publish publishes the graph text and waits until it is in force at every node.
func (d *demo) publish(ctx context.Context) error {
	out, err := d.cluster.Publish(ctx, d.opts.Graph)
	if err != nil {
		return err
	}
	fmt.Print(indent(out))
	accepted := time.Now()
	version, err := d.awaitCommonVersion(ctx)
	if err != nil {
		return err
	}
	fmt.Printf("   version %d in force at all %d nodes after %.2f s\n",
		version, len(d.cluster.Instances), time.Since(accepted).Seconds())
	if err := d.cluster.Await(ctx, "/readyz", d.cluster.Instances); err != nil {
		return err
	}
	return d.cluster.AwaitView(ctx, d.cluster.Instances)
}

func (d *demo) awaitCommonVersion(ctx context.Context) (uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, versionTimeout)
	defer cancel()
	for {
		version, err := d.commonVersion(ctx)
		if err == nil {
			return version, nil
		}
		select {
		case <-ctx.Done():
			return 0, fmt.Errorf("no common version at all nodes after %v: %w", versionTimeout, err)
		case <-time.After(versionPoll):
		}
	}
}

var errNoVersion = errors.New("no configuration in force")

// commonVersion returns the configuration version of all nodes. It returns an
// error if a node has none or the versions differ.
func (d *demo) commonVersion(ctx context.Context) (uint64, error) {
	var first uint64
	for n, i := range d.cluster.Instances {
		var v ops.Version
		if err := i.Get(ctx, "/version", &v); err != nil {
			return 0, err
		}
		if v.Version == 0 {
			return 0, fmt.Errorf("%s: %w", i.Name, errNoVersion)
		}
		if n == 0 {
			first = v.Version
		}
		if v.Version != first {
			return 0, fmt.Errorf("%s has version %d, %s has %d", d.cluster.Instances[0].Name, first, i.Name, v.Version)
		}
	}
	return first, nil
}

// stopProcesses stops all processes gracefully. It returns an error for each
// that fails to stop by itself or still runs.
func (d *demo) stopProcesses() error {
	fmt.Printf("\nstop all processes (%.1f s)\n", time.Since(d.start).Seconds())
	for _, c := range d.callers {
		c.Close()
	}
	err := d.plannedStop()
	err = errors.Join(err, d.rig.Close(stopTimeout))
	for _, p := range d.rig.Running() {
		err = errors.Join(err, fmt.Errorf("%s is still running as process %d", p.Name, p.PID()))
	}
	fmt.Printf("   all processes stopped (%.1f s)\n", time.Since(d.start).Seconds())
	return err
}

// plannedStop stops the backend servers, then the nodes, and requires that each
// exits with status 0.
func (d *demo) plannedStop() error {
	if d.cluster == nil {
		return nil
	}
	backends := make([]*rig.Process, 0, len(d.cluster.Instances))
	nodes := make([]*rig.Process, 0, len(d.cluster.Instances))
	for _, i := range d.cluster.Instances {
		if i.Backend != nil && i.Backend.Running() {
			backends = append(backends, i.Backend)
		}
		if i.Node != nil && i.Node.Running() {
			nodes = append(nodes, i.Node)
		}
	}
	return errors.Join(stopAll(backends), stopAll(nodes))
}

func stopAll(procs []*rig.Process) error {
	results := make(chan error, len(procs))
	for _, p := range procs {
		go func() { results <- stopOne(p) }()
	}
	var err error
	for range procs {
		err = errors.Join(err, <-results)
	}
	return err
}

func stopOne(p *rig.Process) error {
	if err := p.Stop(stopTimeout); err != nil {
		return err
	}
	if status := p.ExitStatus(); status != 0 {
		return fmt.Errorf("%s ended with status %d after a planned stop (log: %s)", p.Name, status, p.Log)
	}
	return nil
}
