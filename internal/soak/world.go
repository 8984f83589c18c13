// Package soak runs nodes as separate processes on a stand-in platform, breaks
// things around them at random from a seed, and checks the promises from what
// clients and backend servers see.
package soak

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/platform/standin"
	"github.com/cassialoom/cassialoom/settings"
)

// Config of a run.
type Config struct {
	Seed uint64
	// Faults is how long things are broken; after it the system has recoverIn
	// to serve again.
	Faults time.Duration
	// Kinds is how many of the kinds of faults are drawn, zero for all. New
	// kinds come at the end of the list: a kept seed names how many there were,
	// and so plays the same timeline for good.
	Kinds int
	// Only names the faults that are drawn, none for all.
	Only []string
	// Bin is the folder with cassialoomd.
	Bin string
	// Machines are dealt to the services in turn; at least one each.
	Machines int
	// Clients is the number of clients on each machine.
	Clients int
	// Net tells runs on one machine apart: the second number of their loopback
	// addresses, 1 to 254.
	Net int
	// Say gets a line for each event; it must not be nil.
	Say func(format string, args ...any)
}

// The services: each request of the first calls the second.
const (
	host       = "soak.example"
	topService = "top"
	endService = "end"
)

const (
	slots = 16
	work  = 10 * time.Millisecond
	beat  = 500 * time.Millisecond
	// stopLimit is the platform's grace time.
	stopLimit = 6 * time.Second
)

// box is one machine: its node, its backend server and the links to it.
type box struct {
	standin.Machine
	settings string
	node     *rig.Process
	target   *standin.Target
	toStore  *proxy
	// toBackend is nil on every second pair of machines: there the node sees
	// a backend server's crash itself, without a link that takes connections.
	toBackend *proxy
	// fromPeers carries the connections that other nodes open to this one.
	fromPeers *proxy
	starts    int
}

// world is all that a run started.
type world struct {
	cfg     Config
	rig     *rig.Rig
	store   *standin.Store
	journal *standin.RunLog
	record  record
	boxes   []*box

	mu   sync.Mutex
	last published
	// taken is when the key of each version was first taken away, by the next one.
	taken map[uint64]time.Time
	// broken are violations that were seen while it ran.
	broken []Broken
}

func newWorld(cfg Config) (*world, error) {
	r, err := rig.New(cfg.Bin)
	if err != nil {
		return nil, err
	}
	store, err := standin.StartStore(fmt.Sprintf("127.%d.0.250:8309", cfg.Net))
	if err != nil {
		return nil, errors.Join(err, r.RemoveLogs())
	}
	w := &world{cfg: cfg, rig: r, store: store, journal: standin.NewRunLog(), taken: make(map[uint64]time.Time)}
	if err := w.publish(); err != nil {
		return w, err
	}
	for i := range cfg.Machines {
		if err := w.addBox(i); err != nil {
			return w, err
		}
	}
	return w, nil
}

// close ends all that the run started, and nothing else.
func (w *world) close() error {
	for _, b := range w.boxes {
		if b.node != nil {
			_ = b.node.Signal(syscall.SIGCONT) // it may have ended
		}
	}
	err := w.rig.Close(stopLimit)
	for _, b := range w.boxes {
		b.target.Crash()
		b.toStore.close()
		b.fromPeers.close()
		if b.toBackend != nil {
			b.toBackend.close()
		}
	}
	w.store.Close()
	return err
}

func (w *world) addBox(i int) error {
	b := &box{Machine: standin.Machine{
		Name: fmt.Sprintf("m%d", i), IP: fmt.Sprintf("127.%d.0.%d", w.cfg.Net, i+1), Service: []string{topService, endService}[i%2],
	}}
	var err error
	if b.toStore, err = startProxy(w.store.Addr()); err != nil {
		return err
	}
	if b.fromPeers, err = startProxy(b.Peers()); err != nil {
		return err
	}
	backend := b.Backend()
	if i%4 >= 2 {
		if b.toBackend, err = startProxy(backend); err != nil {
			return err
		}
		backend = b.toBackend.addr()
	}
	if b.settings, err = b.WriteSettings(w.rig.Dir(), b.toStore.addr(), backend, true); err != nil {
		return err
	}
	if err := w.startTarget(b); err != nil {
		return err
	}
	w.boxes = append(w.boxes, b)
	return w.startNode(b)
}

func (w *world) startTarget(b *box) error {
	b.starts++
	cfg := standin.TargetConfig{Service: b.Service, Addr: b.Backend(), HeartbeatsAddr: b.Heartbeats(), CallsAddr: b.Callers(),
		Slots: slots, MeanRunTime: work, HeartbeatInterval: beat, Seed: w.cfg.Seed + uint64(b.starts)}
	if b.toBackend != nil {
		cfg.ID = "i-" + b.Name // on every second pair of machines starts share an id
	}
	if b.Service == topService {
		cfg.CallHost, cfg.CallPath = host, "/end/c"
	}
	t, err := standin.StartTarget(cfg, w.journal)
	if err == nil {
		b.target = t
	}
	return err
}

func (w *world) startNode(b *box) error {
	p, err := w.rig.StartWith(b.Name, "cassialoomd", []string{
		settings.PlatformFileEnv + "=" + b.settings, "CASSIALOOM_PEER_ADVERTISE=" + b.fromPeers.addr(),
	})
	if err == nil {
		b.node = p
	}
	return err
}

// keep starts a node again whose process ended by itself, after a short delay,
// as the platform does.
func (w *world) keep(b *box) error {
	if b.node.Running() {
		return nil
	}
	time.Sleep(restartDelay)
	return w.startNode(b)
}

// restartDelay is the platform's short delay before a process is started again.
const restartDelay = 200 * time.Millisecond

// restart waits for the end of a node's process and starts it again.
func (w *world) restart(ctx context.Context, b *box) error {
	select {
	case <-b.node.Done():
	case <-time.After(stopLimit):
		w.noteBroken(Broken{Promise: "a planned stop ends within its grace time", What: b.Name})
		if err := b.node.Kill(); err != nil {
			return err
		}
	case <-ctx.Done():
		return nil
	}
	return w.startNode(b)
}
