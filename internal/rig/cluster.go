package rig

import (
	"context"
	"errors"
	"fmt"
	"path/filepath"
	"time"

	"github.com/cassialoom/cassialoom/membership"
)

// File names of the project's programs.
const (
	NodeProgram      = "cassialoomd"
	BackendProgram   = "standin-backend"
	LogProgram       = "standin-log"
	OperatorsProgram = "cassialoom"
)

const pollInterval = 50 * time.Millisecond

// seedNodes is the largest number of seed nodes in a node's arguments.
const seedNodes = 3

// Options are the settings of a cluster besides its shape.
type Options struct {
	// NodeArgs returns additional arguments for a service's nodes; it may be nil.
	NodeArgs func(ServiceShape) []string
	// Seed is the seed of the backend servers' service times.
	Seed uint64
	// Journals makes every backend server keep a journal.
	Journals bool
}

// Cluster is one user's system, running as processes on loopback.
type Cluster struct {
	Rig       *Rig
	Shape     Shape
	LogURL    string
	Log       *Process
	Instances []*Instance
	ports     *ports
	opts      Options
}

// StartCluster starts the log and all instances and waits until each node
// answers. Rig.Close stops the processes, also those of a failed start.
func (r *Rig) StartCluster(ctx context.Context, shape Shape, opts Options) (*Cluster, error) {
	c := &Cluster{Rig: r, Shape: shape, ports: newPorts(), opts: opts}
	if err := c.startLog(); err != nil {
		return nil, err
	}
	if err := c.layOutInstances(); err != nil {
		return nil, err
	}
	for n, i := range c.Instances {
		if err := c.startInstance(n, i); err != nil {
			return nil, err
		}
	}
	if err := c.Await(ctx, "/healthz", c.Instances); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startLog() error {
	addr, err := c.ports.addr()
	if err != nil {
		return err
	}
	c.LogURL = "http://" + addr
	c.Log, err = c.Rig.Start("log", LogProgram, "--listen", addr)
	return err
}

// layOutInstances creates the instances with their names and addresses and spreads each
// service over the data centres.
func (c *Cluster) layOutInstances() error {
	for _, s := range c.Shape.Services {
		for k := range s.Targets {
			i := &Instance{
				Name:       fmt.Sprintf("%s-%d", s.Name, k+1),
				Service:    s.Name,
				DataCentre: c.Shape.DataCentres[k%len(c.Shape.DataCentres)],
				Journal:    filepath.Join(c.Rig.Dir(), fmt.Sprintf("%s-%d.journal", s.Name, k+1)),
			}
			for _, addr := range []*string{&i.CallerAddr, &i.LocalAddr, &i.PeerAddr, &i.OpsAddr, &i.BackendAddr} {
				var err error
				if *addr, err = c.ports.addr(); err != nil {
					return err
				}
			}
			c.Instances = append(c.Instances, i)
		}
	}
	return nil
}

func (c *Cluster) startInstance(n int, i *Instance) error {
	var err error
	if i.Node, err = c.Rig.Start(i.Name+"-node", NodeProgram, c.nodeArgs(i)...); err != nil {
		return err
	}
	i.Backend, err = c.Rig.Start(i.Name+"-backend", BackendProgram, c.backendArgs(n, i)...)
	return err
}

func (c *Cluster) nodeArgs(i *Instance) []string {
	args := []string{
		"--service", i.Service,
		"--data-centre", i.DataCentre,
		"--region", c.Shape.Region,
		"--listen", i.CallerAddr,
		"--local-listen", i.LocalAddr,
		"--peer-listen", i.PeerAddr,
		"--ops-listen", i.OpsAddr,
		"--log-url", c.LogURL,
	}
	for _, seed := range c.Instances[:min(seedNodes, len(c.Instances))] {
		if seed != i {
			args = append(args, "--seed", seed.PeerAddr)
		}
	}
	if c.opts.NodeArgs == nil {
		return args
	}
	return append(args, c.opts.NodeArgs(c.service(i.Service))...)
}

func (c *Cluster) backendArgs(n int, i *Instance) []string {
	s := c.service(i.Service)
	args := []string{
		"--service", i.Service,
		"--listen", i.BackendAddr,
		"--node", i.LocalAddr,
		"--slots", fmt.Sprint(s.Slots),
		"--queue", fmt.Sprint(s.Queue),
		"--seed", fmt.Sprint(c.opts.Seed + uint64(n)),
	}
	if c.opts.Journals {
		args = append(args, "--journal", i.Journal)
	}
	if s.Time > 0 {
		args = append(args, "--time", s.Time.String())
	}
	if s.ColdFor > 0 {
		args = append(args, "--cold-for", s.ColdFor.String(), "--cold-factor", fmt.Sprint(s.ColdFactor))
	}
	for _, text := range s.Times {
		args = append(args, "--times", text)
	}
	for _, text := range s.Calls {
		args = append(args, "--calls", text)
	}
	return args
}

func (c *Cluster) service(name string) ServiceShape {
	for _, s := range c.Shape.Services {
		if s.Name == name {
			return s
		}
	}
	return ServiceShape{}
}

// Of returns the instances of a service.
func (c *Cluster) Of(service string) []*Instance {
	var list []*Instance
	for _, i := range c.Instances {
		if i.Service == service {
			list = append(list, i)
		}
	}
	return list
}

// CallerAddrs returns the addresses at which the nodes accept requests of callers.
func (c *Cluster) CallerAddrs() []string {
	var list []string
	for _, i := range c.Instances {
		list = append(list, i.CallerAddr)
	}
	return list
}

// Await waits until an operators' page of each instance's node answers with success.
func (c *Cluster) Await(ctx context.Context, path string, instances []*Instance) error {
	return c.await(ctx, instances, path, func(i *Instance) error {
		var page any
		return i.Get(ctx, path, &page)
	})
}

// AwaitView waits until the node of each instance lists as many alive and ready members
// as there are instances. A node that is ready itself may not know the others yet.
func (c *Cluster) AwaitView(ctx context.Context, instances []*Instance) error {
	return c.await(ctx, instances, "view", func(i *Instance) error {
		var members []member
		if err := i.Get(ctx, "/members", &members); err != nil {
			return err
		}
		known := 0
		for _, m := range members {
			if m.State == aliveState && m.Ready {
				known++
			}
		}
		if known < len(instances) {
			return fmt.Errorf("knows %d of %d ready members", known, len(instances))
		}
		return nil
	})
}

// member is the part of a node's member list that AwaitView reads.
type member struct {
	State string `json:"state"`
	Ready bool   `json:"ready"`
}

var aliveState = membership.Alive.String()

var errProcessEnded = errors.New("the node's process has ended")

// await repeats a check of each instance until it succeeds.
func (c *Cluster) await(ctx context.Context, instances []*Instance, what string, check func(*Instance) error) error {
	for _, i := range instances {
		if err := awaitOne(ctx, i, check); err != nil {
			return fmt.Errorf("%s: %s: %w (log: %s)", i.Name, what, err, i.Node.Log)
		}
	}
	return nil
}

func awaitOne(ctx context.Context, i *Instance, check func(*Instance) error) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()
	for {
		err := check(i)
		if err == nil {
			return nil
		}
		select {
		case <-ctx.Done():
			return errors.Join(ctx.Err(), err)
		case <-i.Node.Done():
			return errProcessEnded
		case <-ticker.C:
		}
	}
}

// RestartBackend starts the backend server of an instance again after its end.
func (c *Cluster) RestartBackend(i *Instance) error {
	p, err := c.Rig.Restart(i.Backend)
	if err != nil {
		return err
	}
	i.Backend = p
	return nil
}

// RestartNode starts the node of an instance again after its end.
func (c *Cluster) RestartNode(i *Instance) error {
	p, err := c.Rig.Restart(i.Node)
	if err != nil {
		return err
	}
	i.Node = p
	return nil
}

// Publish publishes a graph file to the log with the operators' command and returns the
// command's output.
func (c *Cluster) Publish(ctx context.Context, graphFile string) (string, error) {
	out, err := c.Rig.Output(ctx, OperatorsProgram, "publish", "--log-url", c.LogURL, graphFile)
	if err != nil {
		return out, fmt.Errorf("publish: %w: %s", err, out)
	}
	return out, nil
}

// LogOutage makes the log reject requests for a time.
func (c *Cluster) LogOutage(ctx context.Context, d time.Duration) error {
	return post(ctx, c.LogURL+"/control/outage?for="+d.String(), nil)
}
