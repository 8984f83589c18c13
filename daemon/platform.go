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
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/settings"
)

// RunPlatform runs the node on the users' platform until SIGTERM or SIGINT.
// path is the path of the platform's settings file, nodeSettings holds the settings
// that are not in that file. It returns an error if the start or the planned stop fails.
func RunPlatform(path string, nodeSettings settings.Platform) error {
	hup := notifyHangups()
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	app := fx.New(PlatformModule(path, s, nodeSettings, hup, os.Stdout))
	return runApp(app, time.Duration(float64(s.Bounds.StopGrace)*stopShare))
}

// settingsPath is the path of the platform's settings file.
type settingsPath string

// PlatformModule provides a node with the servers and clients of the platform's
// interfaces. It writes the log to out.
func PlatformModule(path string, s platform.Settings, nodeSettings settings.Platform, hup hangups, out io.Writer) fx.Option {
	return fx.Options(
		fx.Supply(s, nodeSettings, settingsPath(path), hup, fx.Annotate(out, fx.As(new(io.Writer)))),
		fx.WithLogger(func() fxevent.Logger { return fxevent.NopLogger }),
		fx.Provide(newPlatformLogger, newStore, newCounters, listenPlatform, platformConfig, newPlatformNode),
		fx.Invoke(runPlatform),
	)
}

func newPlatformLogger(lc fx.Lifecycle, s platform.Settings, out io.Writer) zerolog.Logger {
	return openLog(lc, out).With().Str("machine", s.Node).Logger()
}

// advertised returns the address by which other nodes reach this one.
func advertised(s platform.Settings, nodeSettings settings.Platform) string {
	return cmp.Or(nodeSettings.PeerAdvertise, s.PeersAddr)
}

func newStore(s platform.Settings, c *ops.Counters) *platform.Store {
	return platform.NewStore(s.Store.Addr, func(cause platform.CallPurpose) { c.StoreCalls.Add(string(cause), 1) })
}

func newPlatformNode(cfg node.Config, s *platform.Store, log zerolog.Logger, c *ops.Counters) (*node.Node, error) {
	return node.New(cfg, s, log, c)
}

// platformListeners holds the node's listeners on the platform.
type platformListeners struct {
	callers, heartbeats, ready, peers, ops net.Listener
}

func listenPlatform(s platform.Settings) (*platformListeners, error) {
	var l platformListeners
	return &l, openAll([]endpoint{
		{"callers", s.CallersAddr, &l.callers},
		{"heartbeats", s.HeartbeatsAddr, &l.heartbeats},
		{"ready", s.ReadyAddr, &l.ready},
		{"peers", s.PeersAddr, &l.peers},
		{"ops", s.Ops, &l.ops},
	})
}

// runPlatform starts and stops the node, its servers and its loops with the
// application.
func runPlatform(lc fx.Lifecycle, path settingsPath, hup hangups, s platform.Settings, nodeSettings settings.Platform, cfg node.Config, n *node.Node, store *platform.Store,
	c *ops.Counters, listening *platformListeners, log zerolog.Logger) {
	debug.SetMemoryLimit(int64(float64(s.MemoryLimit) * memoryShare))
	cfg.Entry.Draining = n.Draining
	cfg.Entry.Repeatable = platform.Repeatable(n)
	cfg.Entry.OnPipelined = func() { c.PipelinedConns.Add(1) }
	callers := entry.NewServer(cfg.Entry, platform.NewCallers(cfg.Entry, n))
	servers := map[httpServer]net.Listener{
		callers: entry.Listener(listening.callers),
		&http.Server{Handler: platform.NewHeartbeatHandler(s.Service, s.BackendAddr, n), ReadHeaderTimeout: cfg.Entry.HeaderTimeout}:               listening.heartbeats,
		&http.Server{Handler: platform.NewReadyHandler(func() bool { ok, _ := n.Ready(); return ok }), ReadHeaderTimeout: cfg.Entry.HeaderTimeout}: listening.ready,
		&http.Server{Handler: n.Peers(), ReadHeaderTimeout: cfg.Transport.DialTimeout}:                                                             listening.peers,
		ops.NewServer(ops.DefaultConfig(), ops.New(n, c)):                                                                                          listening.ops,
	}
	loopCtx, stopLoops := context.WithCancel(context.Background())
	reload := newReloader(string(path), s, hup, restartRequired(s), log)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			n.Start()
			go platform.WatchRoutes(loopCtx, store, n, routeReads(cfg), log)
			if cfg.Quota.Parts > 0 {
				go platform.RenewLeases(loopCtx, store, n, cfg.Quota, log)
			}
			go platform.MaintainMembership(loopCtx, store, platform.NodeAddress{Addr: advertised(s, nodeSettings), DataCentre: s.DataCentre}, n, log)
			go reload.run(loopCtx)
			if !s.First {
				go probeBackend(loopCtx, s, n, log)
			}
			for srv, ln := range servers {
				go serveUntilClosed(srv, ln, log)
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
			cancelReport := reportLateStop(time.Duration(float64(s.Bounds.StopGrace)*reportShare), n, log)
			defer cancelReport()
			n.Drain()
			err := n.Wait(ctx)
			if closeErr := callers.Shutdown(ctx); err == nil {
				err = closeErr
			}
			stopLoops()
			n.Stop()
			for srv := range servers {
				srv.Close()
			}
			store.Close()
			return err
		},
	})
}

// restartRequired returns a function that lists the changed settings that need a
// restart. A running node applies none of the platform's settings, and the seeds
// matter only at a start.
func restartRequired(started platform.Settings) func(platform.Settings) []string {
	return func(next platform.Settings) []string {
		next.Seeds = started.Seeds
		if reflect.DeepEqual(next, started) {
			return nil
		}
		return []string{"addresses, place, limits and bounds"}
	}
}
