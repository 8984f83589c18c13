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

// Options configures a fleet.
type Options struct {
	// Graph is the graph text. The backend servers make the calls that it
	// declares; those of one operation run concurrently.
	Graph string
	Shape rig.Shape
	// InProcess names the services whose backend servers run in the test process.
	InProcess []string
	// NodeArgs, BackendArgs and LogArgs are added to the programs' arguments.
	NodeArgs    []string
	BackendArgs []string
	LogArgs     []string
	// Unpublished starts the nodes without a configuration; the test
	// publishes it.
	Unpublished bool
}

// Fleet is a set of processes, nodes with their backend servers and the log,
// with the history of all invocations. Each instance has its own IP address on
// loopback and a relay in front of its peer address.
type Fleet struct {
	*rig.Cluster
	Graph   *graph.Graph
	Network *Network
	History History

	opts      Options
	subnet    string
	graphFile string // path of the graph text
	client    *http.Client
	actions   actionCounter
}

// The ports at the IP address of each instance. They are below the range of
// ephemeral ports.
const (
	callerPort  = 7400
	localPort   = 7401
	peerPort    = 7402
	opsPort     = 7403
	backendPort = 8000
	// nodeHostOffset is added to the host number of an instance to get the one
	// at which its node listens behind the relay.
	nodeHostOffset = 100
	logHost        = 250
)

const (
	startTimeout = 30 * time.Second
	closeTimeout = 15 * time.Second
	seedCount    = 3
)

// Start starts a fleet, publishes the graph text and waits until all nodes are
// ready and see each other. The caller must call Close, also after an error.
func Start(ctx context.Context, bin string, opts Options) (*Fleet, error) {
	r, err := rig.New(bin)
	if err != nil {
		return nil, err
	}
	f := &Fleet{
		Cluster: &rig.Cluster{Rig: r},
		Network: NewNetwork(),
		opts:    opts,
		// Random, so that fleets of parallel test runs don't collide.
		subnet:    fmt.Sprintf("127.%d.%d", 1+rand.IntN(250), rand.IntN(250)),
		graphFile: filepath.Join(r.Dir(), "graph.hcl"),
		client:    &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: maxIdleConns}},
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
	if err := os.WriteFile(f.graphFile, []byte(f.opts.Graph), 0o644); err != nil {
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
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	if err := f.Await(ctx, "/healthz", f.Instances); err != nil || f.opts.Unpublished {
		return err
	}
	if out, err := f.Publish(ctx, f.graphFile); err != nil {
		return fmt.Errorf("%w: %s", err, out)
	}
	return f.AwaitServing(ctx)
}

// AwaitServing waits until all nodes are ready and see each other.
func (f *Fleet) AwaitServing(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
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
	addr := f.addrOf(logHost, backendPort)
	f.LogURL = "http://" + addr
	var err error
	f.Log, err = f.Rig.Start("log", rig.LogProgram, append([]string{"--listen", addr}, f.opts.LogArgs...)...)
	return err
}

// addrOf returns the address of a port at the IP address of an instance.
func (f *Fleet) addrOf(instance, port int) string {
	return fmt.Sprintf("%s.%d:%d", f.subnet, instance, port)
}

// Add starts another instance and returns it.
func (f *Fleet) Add(service, dataCentre string) (*rig.Instance, error) {
	n := len(f.Instances) + 1
	addrOf := func(port int) string { return f.addrOf(n, port) }
	i := &rig.Instance{
		Name:        fmt.Sprintf("%s-%d", service, n),
		Service:     service,
		DataCentre:  dataCentre,
		CallerAddr:  addrOf(callerPort),
		LocalAddr:   addrOf(localPort),
		PeerAddr:    addrOf(peerPort),
		OpsAddr:     addrOf(opsPort),
		BackendAddr: addrOf(backendPort),
	}
	i.Journal = filepath.Join(f.Rig.Dir(), i.Name+".journal")
	nodeAddr := f.addrOf(nodeHostOffset+n, peerPort)
	if err := f.Network.Relay(i.PeerAddr, nodeAddr); err != nil {
		return nil, err
	}
	f.Instances = append(f.Instances, i)
	return i, f.startInstance(i, nodeAddr, fmt.Sprintf("%s.%d", f.subnet, n))
}

func (f *Fleet) startInstance(i *rig.Instance, nodeAddr, ip string) error {
	args := []string{
		"--service", i.Service, "--data-centre", i.DataCentre, "--region", f.Shape.Region,
		"--listen", i.CallerAddr, "--local-listen", i.LocalAddr, "--ops-listen", i.OpsAddr,
		"--peer-listen", nodeAddr, "--advertise", ip, "--log-url", f.LogURL,
	}
	for n := 1; n <= min(seedCount, f.Shape.Instances()); n++ {
		if seed := f.addrOf(n, peerPort); seed != i.PeerAddr {
			args = append(args, "--seed", seed)
		}
	}
	var err error
	if i.Node, err = f.Rig.Start(i.Name+"-node", rig.NodeProgram, append(args, f.opts.NodeArgs...)...); err != nil {
		return err
	}
	if f.isInProcess(i.Service) {
		return nil
	}
	i.Backend, err = f.Rig.Start(i.Name+"-backend", rig.BackendProgram, f.backendArgs(i)...)
	return err
}

func (f *Fleet) isInProcess(service string) bool {
	for _, name := range f.opts.InProcess {
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

// PeerAddrs returns the peer addresses of all nodes, which are those of the
// relays.
func (f *Fleet) PeerAddrs() []string {
	var list []string
	for _, i := range f.Instances {
		list = append(list, i.PeerAddr)
	}
	return list
}

// Close stops all processes. It resumes frozen ones first, because they cannot
// handle the stop signal.
func (f *Fleet) Close() error {
	for _, p := range f.Rig.Running() {
		if err := p.Signal(syscall.SIGCONT); err != nil {
			return err
		}
	}
	f.client.CloseIdleConnections()
	err := f.Rig.Close(closeTimeout)
	f.Network.Close()
	return err
}

// LogControl sends a fault, such as "outage?for=1s", to the control endpoint of
// the log.
func (f *Fleet) LogControl(ctx context.Context, fault string) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, f.LogURL+"/control/"+fault, nil)
	if err != nil {
		return err
	}
	res, err := f.client.Do(req)
	if err != nil {
		return err
	}
	res.Body.Close()
	if res.StatusCode/100 != 2 {
		return fmt.Errorf("log: %s: %s", fault, res.Status)
	}
	return nil
}
