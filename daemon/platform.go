package daemon

import (
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"os"
	"reflect"
	"runtime/debug"
	"time"

	"github.com/rs/zerolog"
	"go.uber.org/fx"
	"go.uber.org/fx/fxevent"

	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/logs"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/settings"
)

// RunPlatform runs the node on the users' platform until SIGTERM or SIGINT.
// path is the platform's settings file, own are the settings that it does not hold.
func RunPlatform(path string, own settings.Platform) error {
	hup := catchHangups()
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	app := fx.New(PlatformModule(path, s, own, hup, os.Stdout))
	return runApp(app, time.Duration(float64(s.Bounds.Grace)*stopShare))
}

// settingsPath is where the platform's settings file lies.
type settingsPath string

// PlatformModule provides a node with the platform's interfaces around it; its
// log goes to out.
func PlatformModule(path string, s platform.Settings, own settings.Platform, hup hangups, out io.Writer) fx.Option {
	return fx.Options(
		fx.Supply(s, own, settingsPath(path), hup, fx.Annotate(out, fx.As(new(io.Writer)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(newPlatformLogger, newStore, newCounters, listenPlatform, platformConfig, newPlatformNode),
		fx.Invoke(runPlatform),
	)
}

// newPlatformLogger writes to out through a ring that never holds up
// whoever writes; what waits in it is written before the process ends.
func newPlatformLogger(lc fx.Lifecycle, s platform.Settings, out io.Writer) zerolog.Logger {
	log, end := logs.Open(logs.DefaultConfig(), out)
	lc.Append(fx.Hook{OnStop: func(context.Context) error { return end.Close() }})
	return log.With().Str("machine", s.Node).Logger()
}

// advertised is the address by which other nodes reach this one.
func advertised(s platform.Settings, own settings.Platform) string {
	return cmp.Or(own.PeerAdvertise, s.Peers)
}

func newStore(s platform.Settings, c *ops.Counters) *platform.Store {
	return platform.NewStore(s.Store.Addr, func(cause platform.Cause) { c.StoreCalls.Add(string(cause), 1) })
}

func newPlatformNode(cfg node.Config, s *platform.Store, log zerolog.Logger, c *ops.Counters) (*node.Node, error) {
	return node.New(cfg, s, log, c)
}

// platformListeners are open before anything is served.
type platformListeners struct {
	callers, heartbeats, ready, peers, ops net.Listener
}

func listenPlatform(s platform.Settings) (*platformListeners, error) {
	var l platformListeners
	return &l, openAll([]endpoint{
		{"callers", s.Callers, &l.callers},
		{"heartbeats", s.Heartbeats, &l.heartbeats},
		{"ready", s.Ready, &l.ready},
		{"peers", s.Peers, &l.peers},
		{"ops", s.Ops, &l.ops},
	})
}

func runPlatform(lc fx.Lifecycle, path settingsPath, hup hangups, s platform.Settings, own settings.Platform, cfg node.Config, n *node.Node, store *platform.Store,
	c *ops.Counters, on *platformListeners, log zerolog.Logger) {
	debug.SetMemoryLimit(int64(float64(s.Memory) * memoryShare))
	cfg.Entry.Draining = n.Draining
	callers := entry.NewServer(cfg.Entry, platform.NewCallers(cfg.Entry, n))
	servers := map[*http.Server]net.Listener{
		callers: entry.Listener(on.callers),
		{Handler: platform.NewHeartbeats(s.Service, s.Backend, n), ReadHeaderTimeout: cfg.Entry.HeaderTimeout}:                  on.heartbeats,
		{Handler: platform.NewReady(func() bool { ok, _ := n.Ready(); return ok }), ReadHeaderTimeout: cfg.Entry.HeaderTimeout}: on.ready,
		{Handler: n.Peers(), ReadHeaderTimeout: cfg.Transport.DialTimeout}:                                                      on.peers,
		ops.NewServer(ops.DefaultConfig(), ops.New(n, c)):                                                                       on.ops,
	}
	watching, stopWatching := context.WithCancel(context.Background())
	reloads := newReloader(string(path), s, hup, reapply(s), log)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			n.Start()
			go platform.Watch(watching, store, n, routeReads(cfg), log)
			if cfg.Quota.Parts > 0 {
				go platform.Lease(watching, store, n, cfg.Quota, log)
			}
			go platform.Announce(watching, store, platform.Place{Addr: advertised(s, own), DataCentre: s.DataCentre}, n, log)
			go reloads.run(watching)
			if !s.First {
				go findBackend(watching, s, n, log)
			}
			for srv, ln := range servers {
				go serveUntilClosed(srv, ln, log)
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			ended := reportStop(time.Duration(float64(s.Bounds.Grace)*reportShare), n, log)
			defer ended()
			n.Drain()
			err := n.Wait(ctx)
			if closeErr := callers.Shutdown(ctx); err == nil {
				err = closeErr
			}
			stopWatching()
			n.Stop()
			for srv := range servers {
				srv.Close()
			}
			store.Close()
			return err
		},
	})
}

// reapply returns what a reload changes in a running node. Nothing of the
// platform's settings can change while the process holds its addresses and its
// place, but for the bounds, which the next start takes.
func reapply(started platform.Settings) func(platform.Settings) []string {
	return func(next platform.Settings) []string {
		next.Seeds = started.Seeds // read at a start alone
		if reflect.DeepEqual(next, started) {
			return nil
		}
		return []string{"addresses, place, limits and bounds"}
	}
}
