package prove

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/rig"
)

// Options of a fleet.
type Options struct {
	// Graph is the graph text. The backend servers make the calls that it
	// declares, those of one operation at the same time.
	Graph string
	Shape rig.Shape
	// Bare names services whose backend servers the test plays itself.
	Bare []string
	// NodeArgs, BackendArgs and LogArgs are added to the programs' arguments.
	NodeArgs    []string
	BackendArgs []string
	LogArgs     []string
	// Unpublished leaves the publication to the test: the nodes start
	// without a configuration.
	Unpublished bool
}

// Fleet is a few nodes with their backend servers and the log, as processes,
// and what callers were told by them. Each instance has an IP number of its
// own on loopback, and a relay before its peer address.
type Fleet struct {
	*rig.Cluster
	Graph   *graph.Graph
	Network *Network
	Record  Record

	opts    Options
	subnet  string
	file    string // of the graph text
	callers *http.Client
	actions counter
}

// The ports at each instance's IP number. They are below the range from which
// systems take the ports of outgoing connections.
const (
	callerPort  = 7400
	localPort   = 7401
	peerPort    = 7402
	opsPort     = 7403
	backendPort = 8000
	// hiddenOffset is added to an instance's number for the IP number at
	// which its node listens behind the relay.
	hiddenOffset = 100
	logHost      = 250
)

const (
	startLimit = 30 * time.Second
	closeLimit = 15 * time.Second
	seedCount  = 3
)

// Start starts a fleet, publishes the graph text and waits until all nodes
// serve and know each other. Close must be called, also after an error.
func Start(ctx context.Context, bin string, opts Options) (*Fleet, error) {
	r, err := rig.New(bin)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Cluster: &rig.Cluster{Rig: r},
		Network: NewNetwork(),
		opts:    opts,
		// Two fleets at once on one machine get different numbers.
		subnet:  fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)),
		file:    filepath.Join(r.Dir(), "graph.hcl"),
		callers: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerConns}},
	}
	return f, f.start(ctx)
}

func (f *Fleet) start(ctx context.Context) error {
	g, problems := graph.Parse("graph.hcl", []byte(f.opts.Graph))
	if err := problems.Err(); err != nil {
		return err
	}
	shape, err := f.opts.Shape.WithGraph(g)
	if err != nil {
		return err
	}
	f.Graph, f.Shape = g, shape
	if err := os.WriteFile(f.file, []byte(f.opts.Graph), 0o644); err != nil {
		return err
	}
	if err := f.startLog(); err != nil {
		return err
	}
	for _, s := range shape.Services {
		for k := range s.Targets {
			if _, err := f.Add(s.Name, shape.DataCentres[k%len(shape.DataCentres)]); err != nil {
				return err
			}
		}
	}
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	if err := f.Await(ctx, "/healthz", f.Instances); err != nil || f.opts.Unpublished {
		return err
	}
	if out, err := f.Publish(ctx, f.file); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return f.AwaitServing(ctx)
}

// AwaitServing waits until all nodes serve and know each other.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	var all []*rig.Instance
	for _, i := range f.Instances {
		if i.Backend != nil {
			all = append(all, i)
		}
	}
	if err := f.Await(ctx, "/readyz", all); err != nil {
		return err
	}
	return f.AwaitView(ctx, all)
}

func (f *Fleet) startLog() error {
	addr := f.at(logHost, backendPort)
	f.LogURL = "http://" + addr
	var err error
	f.Log, err = f.Rig.Start("log", rig.LogProgram, append([]string{"--listen", addr}, f.opts.LogArgs...)...)
	return err
}

// at is an address at an instance's IP number.
func (f *Fleet) at(instance, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.subnet, instance, port)
}

// Add starts one more instance.
func (f *Fleet) Add(service, dataCentre string) (*rig.Instance, error) {
	n := len(f.Instances) + 1
	at := func(port int) string { return f.at(n, port) }
	i := &rig.Instance{
		Name:        fmt.Sprintf("%s-%d", service, n),
		Service:     service,
		DataCentre:  dataCentre,
		CallerAddr:  at(callerPort),
		LocalAddr:   at(localPort),
		PeerAddr:    at(peerPort),
		OpsAddr:     at(opsPort),
		BackendAddr: at(backendPort),
	}
	i.Journal = filepath.Join(f.Rig.Dir(), i.Name+".journal")
	hidden := f.at(hiddenOffset+n, peerPort)
	if err := f.Network.Relay(i.PeerAddr, hidden); err != nil {
		return nil, err
	}
	f.Instances = append(f.Instances, i)
	return i, f.startInstance(i, hidden, fmt.Sprintf("%s.%d", f.subnet, n))
}

func (f *Fleet) startInstance(i *rig.Instance, hidden, ip string) error {
	args := []string{
		"--service", i.Service, "--data-centre", i.DataCentre, "--region", f.Shape.Region,
		"--listen", i.CallerAddr, "--local-listen", i.LocalAddr, "--ops-listen", i.OpsAddr,
		"--peer-listen", hidden, "--advertise", ip, "--log-url", f.LogURL,
	}
	for n := 1; n <= min(seedCount, f.Shape.Instances()); n++ {
		if seed := f.at(n, peerPort); seed != i.PeerAddr {
			args = append(args, "--seed", seed)
		}
	}
	var err error
	if i.Node, err = f.Rig.Start(i.Name+"-node", rig.NodeProgram, append(args, f.opts.NodeArgs...)...); err != nil {
		return err
	}
	if f.bare(i.Service) {
		return nil
	}
	i.Backend, err = f.Rig.Start(i.Name+"-backend", rig.BackendProgram, f.backendArgs(i)...)
	return err
}

func (f *Fleet) bare(service string) bool {
	for _, name := range f.opts.Bare {
		if name == service {
			return true
		}
	}
	return false
}

func (f *Fleet) backendArgs(i *rig.Instance) []string {
	s := f.service(i.Service)
	args := []string{
		"--service", i.Service, "--listen", i.BackendAddr, "--node", i.LocalAddr,
		"--slots", fmt.Sprint(s.Slots), "--queue", fmt.Sprint(s.Queue),
		"--seed", fmt.Sprint(len(f.Instances)), "--journal", i.Journal,
	}
	if s.Time > 0 {
		args = append(args, "--time", s.Time.String())
	}
	for _, text := range s.Times {
		args = append(args, "--times", text)
	}
	for _, text := range s.Calls {
		args = append(args, "--calls", text)
	}
	return append(args, f.opts.BackendArgs...)
}

func (f *Fleet) service(name string) rig.ServiceShape {
	for _, s := range f.Shape.Services {
		if s.Name == name {
			return s
		}
	}
	return rig.ServiceShape{}
}

// PeerAddrs returns the addresses that nodes know each other by.
func (f *Fleet) PeerAddrs() []string {
	var list []string
	for _, i := range f.Instances {
		list = append(list, i.PeerAddr)
	}
	return list
}

// Close ends everything that was started. A frozen process is continued, so
// that it can stop.
func (f *Fleet) Close() error {
	for _, p := range f.Rig.Running() {
		if err := p.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	f.callers.CloseIdleConnections()
	err := f.Rig.Close(closeLimit)
	f.Network.Close()
	return err
}

// LogControl makes the log fail in one of its ways.
func (f *Fleet) LogControl(ctx context.Context, fault string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.LogURL+"/control/"+fault, nil)
	if err != nil {
		return err
	}
	res, err := f.callers.Do(req)
	if err != nil {
		return err
	}
	res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("log: %s: %s", fault, res.Status)
	}
	return nil
}
