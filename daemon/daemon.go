// Package daemon runs a node as a process: it turns settings into a node and
// its servers, and ends them in the order of a planned stop.
package daemon

import (
	"context"
	"fmt"
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
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/settings"
)

// startTimeout bounds opening the listeners; nothing waits for the network.
const startTimeout = 10 * time.Second

// Run runs the node until SIGTERM or SIGINT, then stops it as planned. The
// error says what could not start, or what was cut off.
func Run(s settings.Settings) error {
	return runApp(fx.New(Module(s)), s.StopTimeout)
}

// runApp runs an application until SIGTERM or SIGINT; its planned stop may take
// stopTimeout.
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

// Module provides a node and everything around it.
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

func newLogger(s settings.Settings) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(s.LogLevel)
	if err != nil {
		return zerolog.Logger{}, fmt.Errorf("log level: %w", err)
	}
	return zerolog.New(os.Stderr).Level(level).With().Timestamp().Logger(), nil
}

func newLog(s settings.Settings) applog.Log { return applog.NewHTTP(s.LogURL, nil) }

func newCounters() *ops.Counters { return &ops.Counters{} }

// listeners are open before the node exists, so that it can tell others the
// ports that the system chose.
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

// servers are the node's HTTP servers with their listeners.
type servers struct {
	callers, local, peers, ops *http.Server
	on                         *listeners
	kept                       *entry.Connections // of callers
}

func newServers(cfg node.Config, n *node.Node, c *ops.Counters, on *listeners) *servers {
	opsConfig := ops.DefaultConfig()
	cfg.Entry.Draining = n.Draining
	return &servers{
		callers: entry.NewServer(cfg.Entry, entry.New(cfg.Entry, n)),
		local:   entry.NewServer(cfg.Entry, local.New(cfg.Entry, n, n)),
		peers:   &http.Server{Handler: n.Peers(), ReadHeaderTimeout: cfg.Transport.DialTimeout},
		ops:     ops.NewServer(opsConfig, ops.New(n, c)),
		on:      on,
		kept:    entry.Listener(on.callers),
	}
}

func (s *servers) serve(log zerolog.Logger) {
	for _, w := range []struct {
		srv *http.Server
		ln  net.Listener
	}{
		{s.callers, s.kept},
		{s.local, entry.Listener(s.on.local)},
		{s.peers, s.on.peers},
		{s.ops, s.on.ops},
	} {
		go serveUntilClosed(w.srv, w.ln, log)
	}
}

func run(lc fx.Lifecycle, s settings.Settings, cfg node.Config, n *node.Node, c *ops.Counters, on *listeners, log zerolog.Logger) {
	srv := newServers(cfg, n, c, on)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			n.Start()
			srv.serve(log)
			return nil
		},
		OnStop: func(ctx context.Context) error { return stop(ctx, n, srv) },
	})
}

// lastCall is how long callers get, once nothing is in flight, to use or give up
// the connections that they keep: a few times the pause between two requests of
// one that is at work.
const lastCall = 2 * time.Second

// stop is the planned stop: the others are told, what is in flight finishes,
// its answers go out, and only then does anything close.
func stop(ctx context.Context, n *node.Node, srv *servers) error {
	n.Drain()
	err := n.Wait(ctx)
	srv.kept.LastCall(ctx, lastCall)
	if closeErr := srv.callers.Shutdown(ctx); err == nil {
		err = closeErr
	}
	n.Stop()
	srv.local.Close()
	srv.peers.Close()
	srv.ops.Close()
	return err
}
