package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"math"
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
)

// RunPlatform runs the node on the users' platform until SIGTERM or SIGINT.
// path is the platform's settings file.
func RunPlatform(path string) error {
	hup := catchHangups()
	s, err := platform.ReadSettings(path)
	if err != nil {
		return err
	}
	app := fx.New(PlatformModule(path, s, hup, os.Stdout))
	if err := app.Err(); err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	if err := app.Start(ctx); err != nil {
		return err
	}
	<-app.Wait()
	ctx, cancel = context.WithTimeout(context.Background(), time.Duration(float64(s.Bounds.Grace)*stopShare))
	defer cancel()
	return app.Stop(ctx)
}

// settingsPath is where the platform's settings file lies.
type settingsPath string

// PlatformModule provides a node with the platform's interfaces around it; its
// log goes to out.
func PlatformModule(path string, s platform.Settings, hup hangups, out io.Writer) fx.Option {
	return fx.Options(
		fx.Supply(s, settingsPath(path), hup, fx.Annotate(out, fx.As(new(io.Writer)))),
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

func newStore(s platform.Settings) *platform.Store { return platform.NewStore(s.Store.Addr) }

func newPlatformNode(cfg node.Config, s *platform.Store, log zerolog.Logger, c *ops.Counters) (*node.Node, error) {
	return node.New(cfg, s, log, c)
}

const (
	// memoryShare of the process's limit is where the collector begins to
	// work harder; the rest is for what it does not count.
	memoryShare = 0.6
	// bodyShare of the limit is the most that one request's body may take: it
	// is held whole, more than once while it is encoded.
	bodyShare = 1.0 / 64
	// waitMax is how long a call may wait beside the backend server. The
	// deepest calls have 700 ms, of which the work takes a tenth.
	waitMax = 600 * time.Millisecond
	// waitShare of its spare time is what a call may wait.
	waitShare = 0.9
	// waitMin is the number of calls that may wait before the rate at which
	// they are served is known.
	waitMin = 64
	// keptIdle is how long a caller's connection without a request is kept:
	// longer than the operators' limits ask for, since closing one that is
	// about to be used costs its caller a request.
	keptIdle = 5 * time.Minute
	// reroutes that cost nothing: enough to pass a node that is leaving and
	// one that is full.
	reroutes = 3
	// enterGrace is two questions whether the node is ready, a second apart,
	// and a margin: after two misses the clients are sent no more.
	enterGrace = 2200 * time.Millisecond
	// stopShare of the grace time is what a planned stop may use: after it the
	// process is ended by force.
	stopShare = 0.95
	// slowStart is the ramp of a node that starts: its backend server may have
	// run all the while, and one that is cold is slow for a few seconds.
	slowStart = 2 * time.Second
	// joinInterval and joinAddrs let a node that restarts with all others meet
	// them within half a second, of which one tick of the membership is 200 ms.
	joinInterval = 200 * time.Millisecond
	joinAddrs    = 4
	// reconnectInterval is how often a node that is gone is looked for at its
	// address: one that restarts while the store is away is found only so.
	reconnectInterval = 2 * time.Second
	// reoffers of a call that its backend server declined: one that declines
	// half of what it gets takes a call within six offers 63 times in 64.
	reoffers = 5
	// drainAfter leaves the peers a moment of enterGrace to hear that the
	// backend server is not to be used, drainGrace is that moment.
	drainAfter = 1900 * time.Millisecond
	drainGrace = 200 * time.Millisecond
	// budgetNodes is by how many nodes the slack for extra attempts is
	// divided: what all of them spend at once must stay within it.
	budgetNodes = 16
	// budgetShare of the bound is what the nodes spend; the rest covers what
	// they cannot see, such as attempts counted in another window than theirs.
	budgetShare = 0.8
)

func platformConfig(s platform.Settings, log zerolog.Logger) node.Config {
	cfg := node.DefaultConfig()
	cfg.Explain.Sink = logs.NewDecisions(logs.DefaultConfig(), log)
	cfg.Service = s.Service
	cfg.DataCentre = s.DataCentre
	cfg.Region = s.Region
	cfg.PeerAddr = s.Peers
	cfg.OpsAddr = s.Ops
	cfg.CallerAddr = s.Callers
	cfg.EnterGrace = enterGrace
	cfg.DrainAfter = drainAfter
	cfg.DrainGrace = drainGrace
	cfg.DecodeRoutes = platform.DecodeRoutes
	cfg.Directory = true
	cfg.Membership.JoinInterval = joinInterval
	cfg.Membership.JoinAddrs = joinAddrs
	cfg.Membership.ReconnectInterval = reconnectInterval
	cfg.Backend.Dialect = platform.Target{}
	cfg.Backend.IdleTimeout = time.Minute // the backend server states its own
	cfg.Entry.IdleTimeout = keptIdle
	cfg.Serve.TellOnly = true
	cfg.Serve.Queue.MaxWait = waitMax
	cfg.Serve.Queue.MinItems = waitMin
	cfg.Serve.Queue.WaitShare = waitShare
	cfg.Serve.Queue.OverloadAfter = time.Duration(math.MaxInt64)
	cfg.Dispatch.Reroutes = reroutes
	cfg.Dispatch.Reoffers = reoffers
	cfg.Dispatch.Hedge = true
	cfg.Dispatch.Balancer.SlowStart = slowStart
	cfg.Dispatch.Budget.Ratio = s.Bounds.RetryRatio * budgetShare
	cfg.Dispatch.Budget.Burst = max(1, s.Bounds.RetrySlack*budgetShare/budgetNodes)
	return cfg
}

// platformListeners are open before anything is served.
type platformListeners struct {
	callers, heartbeats, ready, peers, ops net.Listener
}

func listenPlatform(s platform.Settings) (*platformListeners, error) {
	var l platformListeners
	for _, w := range []struct {
		to   *net.Listener
		name string
		addr string
	}{
		{&l.callers, "callers", s.Callers},
		{&l.heartbeats, "heartbeats", s.Heartbeats},
		{&l.ready, "ready", s.Ready},
		{&l.peers, "peers", s.Peers},
		{&l.ops, "ops", s.Ops},
	} {
		ln, err := net.Listen("tcp", w.addr)
		if err != nil {
			return nil, fmt.Errorf("listen for %s: %w", w.name, err)
		}
		*w.to = ln
	}
	return &l, nil
}

func runPlatform(lc fx.Lifecycle, path settingsPath, hup hangups, s platform.Settings, cfg node.Config, n *node.Node, store *platform.Store,
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
	settings := newReloader(string(path), s, hup, reapply(s), log)
	lc.Append(fx.Hook{
		OnStart: func(context.Context) error {
			n.Start()
			go platform.Watch(watching, store, n, log)
			go platform.Announce(watching, store, s.Peers, n, log)
			go settings.run(watching)
			if !s.First {
				go findBackend(watching, s, n, log)
			}
			for srv, ln := range servers {
				go serveUntilClosed(srv, ln, log)
			}
			return nil
		},
		OnStop: func(ctx context.Context) error {
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

func serveUntilClosed(srv *http.Server, ln net.Listener, log zerolog.Logger) {
	if err := srv.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
		log.Error().Err(err).Str("addr", ln.Addr().String()).Msg("server ended")
	}
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

const (
	// findEvery is the pause between two looks whether the routes are known,
	// which name the path to ask.
	findEvery = 20 * time.Millisecond
	// findFor ends the search: by then a heartbeat has come.
	findFor = 2 * time.Second
)

// findBackend asks the backend server once, at the start of the node, whether it
// runs.
func findBackend(ctx context.Context, s platform.Settings, n *node.Node, log zerolog.Logger) {
	ctx, cancel := context.WithTimeout(ctx, findFor)
	defer cancel()
	for {
		if table := n.Routes(); table != nil && table.Health(s.Service) != "" {
			b, err := platform.AskHealth(ctx, s.Backend, table.Health(s.Service))
			if err != nil {
				log.Info().Err(err).Msg("backend server not found at the start")
				return
			}
			n.Found(time.Now(), b)
			return
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(findEvery):
		}
	}
}
