// Package daemon runs a node as a process: it creates the node and its servers from
// settings and stops them in order.
package daemon

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/local"
	"github.com/cassialoom/cassialoom/logs"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/settings"
)

// startTimeout limits the start, which opens listeners and doesn't wait for the
// network.
const startTimeout = 10 * time.Second

// Run runs a node until SIGTERM or SIGINT, then does a planned stop. It returns an
// error if the start fails, or if the stop doesn't finish within s.StopTimeout.
func Run(s settings.Settings) error {
	return runApp(fx.New(Module(s)), s.StopTimeout)
}

// runApp runs app until SIGTERM or SIGINT, then stops it within stopTimeout.
func runApp(app *fx.App, stopTimeout time.Duration) error {
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-app.Wait()
	ctx, cancel = context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	return app.Stop(ctx)
}

// Module provides a node, its servers, its log client and its logger.
func Module(s settings.Settings) fx.Option {
	return fx.Options(
		fx.Supply(s),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(
			newLogger,
			newLog,
			newCounters,
			listen,
			nodeConfig,
			node.New,
		),
		fx.Invoke(run),
	)
}

func newLogger(lc fx.Lifecycle, s settings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.Logger{}, fmt.Errorf("log level: %w", err)
	}
	return openLog(lc, os.Stderr).Level(level), nil
}

// openLog returns a logger that writes to out through a ring buffer and never blocks.
// The stop of the application writes the remaining lines.
func openLog(lc fx.Lifecycle, out io.Writer) zerolog.Logger {
	log, closer := logs.Open(logs.DefaultConfig(), out)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return closer.Close() }})
	return log
}

func newLog(s settings.Settings) applog.Log { return applog.NewHTTP(s.LogURL, nil) }

func newCounters() *ops.Counters { return &ops.Counters{} }

// listeners holds the node's listeners. They are opened before the node is created,
// since it publishes the ports that the system chose.
type listeners struct {
	callers, local, peers, ops net.Listener
}

func listen(s settings.Settings) (*listeners, error) {
	var l listeners
	return &l, openAll([]endpoint{
		{"--listen", s.Listen, &l.callers},
		{"--local-listen", s.LocalListen, &l.local},
		{"--peer-listen", s.PeerListen, &l.peers},
		{"--ops-listen", s.OpsListen, &l.ops},
	})
}

// servers holds the node's HTTP servers and their listeners.
type servers struct {
	callers, local *entry.Server
	peers, ops     *http.Server
	listening      *listeners
	callerConns    *entry.CountingListener
}

func newServers(cfg node.Config, n *node.Node, c *ops.Counters, listening *listeners) *servers {
	opsConfig := ops.DefaultConfig()
	cfg.Entry.Draining = n.Draining
	cfg.Entry.Repeatable = entry.RepeatableCalls(n.Idempotent)
	cfg.Entry.OnPipelined = func() { c.PipelinedConns.Add(1) }
	return &servers{
		callers:     entry.NewServer(cfg.Entry, entry.New(cfg.Entry, n)),
		local:       entry.NewServer(cfg.Entry, local.New(cfg.Entry, n, n)),
		peers:       &http.Server{Handler: n.Peers(), ReadHeaderTimeout: cfg.Transport.DialTimeout},
		ops:         ops.NewServer(opsConfig, ops.New(n, c)),
		listening:   listening,
		callerConns: entry.Listener(listening.callers),
	}
}

// serve starts to serve at all listeners and returns at once.
func (s *servers) serve(log zerolog.Logger) {
	for _, w := range []struct {
		srv httpServer
		ln  net.Listener
	}{
		{s.callers, s.callerConns},
		{s.local, entry.Listener(s.listening.local)},
		{s.peers, s.listening.peers},
		{s.ops, s.listening.ops},
	} {
		go serveUntilClosed(w.srv, w.ln, log)
	}
}

// run starts and stops the node and its servers with the application.
func run(lc fx.Lifecycle, s settings.Settings, cfg node.Config, n *node.Node, c *ops.Counters, listening *listeners, log zerolog.Logger) {
	srv := newServers(cfg, n, c, listening)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			n.Start()
			srv.serve(log)
			return nil
		},
		OnStop: func(ctx context.Context) error { return stop(ctx, n, srv) },
	})
}

// lastCallTimeout limits how long a planned stop waits for callers to give up their
// kept-alive connections once no request is in flight. Closing a connection earlier
// could lose a request that its caller is just sending.
const lastCallTimeout = 2 * time.Second

// stop does the planned stop: it tells the other nodes, waits until requests in
// flight have their answers, and then closes the servers. It returns an error if
// ctx ends before.
func stop(ctx context.Context, n *node.Node, srv *servers) error {
	n.Drain()
	err := n.Wait(ctx)
	srv.callerConns.DrainConnections(ctx, lastCallTimeout)
	if closeErr := srv.callers.Shutdown(ctx); err == nil {
		err = closeErr
	}
	n.Stop()
	srv.local.Close()
	srv.peers.Close()
	srv.ops.Close()
	return err
}
