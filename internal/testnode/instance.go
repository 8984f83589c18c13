package testnode

import (
	"context"
	"net"
	"net/http"
	"sync"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/local"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/ops"
)

// Instance is a node with its optional backend server.
type Instance struct {
	Node     *node.Node
	Counters *ops.Counters
	// Backend is nil for a node without one.
	Backend *Backend
	// Callers, Local and Peers are the listen addresses of the node: for
	// callers, for its backend server and for other nodes.
	Callers, Local, Peers string

	cluster *Cluster
	servers []*server
	stopped bool
}

// Add starts a node of the service, and a backend server that runs the script.
// A nil script starts the node alone.
func (c *Cluster) Add(service string, script Script) *Instance {
	c.tb.Helper()
	callers, local, peers := c.listen(), c.listen(), c.listen()
	cfg := c.nodeConfig(service)
	cfg.CallerAddr = callers.Addr().String()
	cfg.PeerAddr = peers.Addr().String()
	cfg.OpsAddr = cfg.CallerAddr
	for _, i := range c.instances {
		cfg.Seeds = append(cfg.Seeds, i.Peers)
	}
	i := &Instance{
		Counters: &ops.Counters{},
		Callers:  cfg.CallerAddr,
		Local:    local.Addr().String(),
		Peers:    cfg.PeerAddr,
		cluster:  c,
	}
	var err error
	if i.Node, err = node.New(cfg, c.Log, zerolog.Nop(), i.Counters); err != nil {
		c.tb.Fatal(err)
	}
	i.serve(cfg, callers, local, peers)
	i.Node.Start()
	c.tb.Cleanup(i.Kill)
	if script != nil {
		i.startBackend(script)
	}
	c.instances = append(c.instances, i)
	return i
}

func (c *Cluster) listen() net.Listener {
	c.tb.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		c.tb.Fatal(err)
	}
	return ln
}

func (i *Instance) serve(cfg node.Config, callers, localLn, peers net.Listener) {
	cfg.Entry.Draining = i.Node.Draining
	cfg.Entry.Repeatable = entry.RepeatableCalls(i.Node.Idempotent)
	i.servers = []*server{
		serve(entry.NewServer(cfg.Entry, entry.New(cfg.Entry, i.Node)), entry.Listener(callers)),
		serve(entry.NewServer(cfg.Entry, local.New(cfg.Entry, i.Node, i.Node)), entry.Listener(localLn)),
		serve(&http.Server{Handler: i.Node.Peers()}, peers),
	}
}

// httpServer is the part of http.Server and entry.Server that an instance uses.
type httpServer interface {
	Serve(net.Listener) error
	Shutdown(context.Context) error
	Close() error
}

// server is an HTTP server whose close waits for its goroutine.
type server struct {
	httpServer
	done      chan struct{}
	closeOnce sync.Once
}

func serve(srv httpServer, ln net.Listener) *server {
	s := &server{httpServer: srv, done: make(chan struct{})}
	go func() {
		defer close(s.done)
		_ = srv.Serve(ln) // returns when the server is closed
	}()
	return s
}

func (s *server) close() {
	s.closeOnce.Do(func() {
		s.Close()
		<-s.done
	})
}

// State returns the diagnostic dump of the node.
func (i *Instance) State() node.State { return i.Node.State().(node.State) }

// Kill stops the instance like a crash: its connections break without a notice
// to peers. It does nothing on a stopped instance.
func (i *Instance) Kill() {
	if i.stopped {
		return
	}
	i.stopped = true
	i.Node.Peers().Close()
	i.close()
}

// Stop drains the node and stops the instance. It returns an error if the
// drain does not finish before ctx ends.
func (i *Instance) Stop(ctx context.Context) error {
	i.Node.Drain()
	err := i.Node.Wait(ctx)
	if closeErr := i.servers[0].Shutdown(ctx); err == nil {
		err = closeErr
	}
	i.stopped = true
	i.close()
	return err
}

// close closes the sockets before the node: running requests would delay
// Node.Stop.
func (i *Instance) close() {
	if i.Backend != nil {
		i.Backend.srv.close()
	}
	for _, s := range i.servers {
		s.close()
	}
	i.Node.Stop()
}
