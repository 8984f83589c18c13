// Package soak runs nodes as separate processes on a stand-in platform, injects
// random faults from a seed, and checks the promises against what clients received
// and what backend servers ran.
package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/platform/standin"
	"github.com/cassialoom/cassialoom/settings"
)

// Config of a run.
type Config struct {
	Seed uint64
	// Faults is the time in which faults start. Afterwards the nodes must serve again
	// within recoveryTimeout.
	Faults time.Duration
	// Kinds limits the draw to the first kinds of faults in the list; zero means all.
	// New kinds are appended, so a regression seed with its number of kinds keeps
	// its timeline.
	Kinds int
	// Only lists the names of the faults to draw from. If it isn't empty, Kinds is ignored.
	Only []string
	// Bin is the folder with cassialoomd.
	Bin string
	// Machines is the number of machines. They belong to the two services in turn, so
	// there must be at least two.
	Machines int
	// Clients is the number of clients on each machine.
	Clients int
	// Net is the second number of the run's loopback addresses, 1 to 254. Runs at the
	// same time on one computer need different ones.
	Net int
	// Say is called with a line for each event; it must not be nil.
	Say func(format string, args ...any)
}

// The host of all routes and the two services. Each request to topService calls
// endService.
const (
	routeHost  = "soak.example"
	topService = "top"
	endService = "end"
)

const (
	slots             = 16
	serviceTime       = 10 * time.Millisecond
	heartbeatInterval = 500 * time.Millisecond
	// stopTimeout is the platform's grace time for a planned stop.
	stopTimeout = 6 * time.Second
)

// host is one machine with its node, its backend server and its links.
type host struct {
	standin.Machine
	settings string
	node     *rig.Process
	target   *standin.Target
	toStore  *proxy
	// toBackend is nil on every second pair of machines. Without the proxy, which
	// accepts connections in any case, the node sees a backend server's crash itself.
	toBackend *proxy
	// fromPeers carries the connections that other nodes open to this one.
	fromPeers *proxy
	// incarnations is the number of starts of the backend server.
	incarnations int
	// mu is held while a fault is injected here or the backend server is started again.
	mu sync.Mutex
}

// env is the test environment: everything that a run started and observed.
type env struct {
	cfg     Config
	rig     *rig.Rig
	store   *standin.Store
	journal *standin.RunLog
	record  record
	hosts   []*host
	awaits  atomic.Uint64 // calls of awaitRand
	// crashing is the number of requests so far that crash backend servers.
	crashing   atomic.Uint64
	crashingMu sync.Mutex
	// sending are the senders of their copies.
	sending sync.WaitGroup

	mu          sync.Mutex
	lastVersion publishedVersion
	// revoked maps a version to the time at which the next version revoked its key.
	revoked map[uint64]time.Time
	// excuses are the faults that excuse machines from the limits of backend servers.
	excuses []excuse
	// violations are those found during the run.
	violations []Broken
}

func newEnv(cfg Config) (*env, error) {
	r, err := rig.New(cfg.Bin)
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore(fmt.Sprintf("127.%d.0.250:8309", cfg.Net))
	if err != nil {
		return nil, errors.Join(err, r.RemoveLogs())
	}
	e := &env{cfg: cfg, rig: r, store: store, journal: standin.NewRunLog(), revoked: make(map[uint64]time.Time)}
	if err := e.publish(); err != nil {
		return e, err
	}
	for i := range cfg.Machines {
		if err := e.addHost(i); err != nil {
			return e, err
		}
	}
	return e, nil
}

// close stops the processes, servers and proxies of the run. It returns an error if a
// node didn't stop in time.
func (e *env) close() error {
	for _, h := range e.hosts {
		if h.node != nil {
			_ = h.node.Signal(syscall.SIGCONT) // resume it if it is paused; it may have ended
		}
	}
	err := e.rig.Close(stopTimeout)
	for _, h := range e.hosts {
		h.target.Crash()
		h.toStore.close()
		h.fromPeers.close()
		if h.toBackend != nil {
			h.toBackend.close()
		}
	}
	e.store.Close()
	return err
}

func (e *env) addHost(i int) error {
	h := &host{Machine: standin.Machine{
		Name: fmt.Sprintf("m%d", i), IP: fmt.Sprintf("127.%d.0.%d", e.cfg.Net, i+1), Service: []string{topService, endService}[i%2],
	}}
	var err error
	if h.toStore, err = startProxy(e.store.Addr()); err != nil {
		return err
	}
	if h.fromPeers, err = startProxy(h.Peers()); err != nil {
		return err
	}
	backend := h.Backend()
	if i%4 >= 2 {
		if h.toBackend, err = startProxy(backend); err != nil {
			return err
		}
		backend = h.toBackend.addr()
	}
	if h.settings, err = h.WriteSettings(e.rig.Dir(), h.toStore.addr(), backend, true); err != nil {
		return err
	}
	if err := e.startTarget(h); err != nil {
		return err
	}
	e.hosts = append(e.hosts, h)
	return e.startNode(h)
}

func (e *env) startTarget(h *host) error {
	h.incarnations++
	cfg := standin.TargetConfig{Service: h.Service, Machine: h.Name, Addr: h.Backend(), HeartbeatsAddr: h.Heartbeats(), CallsAddr: h.Callers(),
		Slots: slots, MeanRunTime: serviceTime, HeartbeatInterval: heartbeatInterval, Crash: crashPlan(e.cfg.Seed), Seed: e.cfg.Seed + uint64(h.incarnations)}
	if h.toBackend != nil {
		cfg.ID = "i-" + h.Name // the incarnations on this machine share an ID
	}
	if h.Service == topService {
		cfg.CallHost, cfg.CallPath, cfg.CallService = routeHost, "/end/c", endService
	}
	t, err := standin.StartTarget(cfg, e.journal)
	if err == nil {
		h.target = t
	}
	return err
}

func (e *env) startNode(h *host) error {
	p, err := e.rig.StartWith(h.Name, "cassialoomd", []string{
		settings.PlatformFileEnv + "=" + h.settings, "CASSIALOOM_PEER_ADVERTISE=" + h.fromPeers.addr(),
	})
	if err == nil {
		h.node = p
	}
	return err
}

// restartIfEnded starts a node again if its process has ended, as the platform does.
func (e *env) restartIfEnded(h *host) error {
	if h.node.Running() {
		return nil
	}
	time.Sleep(restartDelay)
	return e.startNode(h)
}

// restartDelay is the platform's delay before it restarts a process.
const restartDelay = 200 * time.Millisecond

// restart waits for the end of a node's process and starts it again. A node that exceeds
// the grace time is a violation and is killed.
func (e *env) restart(ctx context.Context, h *host) error {
	select {
	case <-h.node.Done():
	case <-time.After(stopTimeout):
		e.addViolation(Broken{Promise: "a planned stop ends within its grace time", What: h.Name})
		if err := h.node.Kill(); err != nil {
			return err
		}
	case <-ctx.Done():
		return nil
	}
	return e.startNode(h)
}
