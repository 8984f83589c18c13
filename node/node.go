// Package node is the process beside a backend server: it joins the duties,
// which decide, to the sockets and clocks, which do. It holds no policy of its
// own.
//
// Each plain type is called under the one lock that belongs to it, and what it
// wants done is done after the lock is released. No two of these locks are
// ever held at once.
package node

import (
	"context"
	crand "crypto/rand"
	"encoding/binary"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/backend"
	"github.com/cassialoom/cassialoom/bootclock"
	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/entry"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/quota"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/routes"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/transport"
	"github.com/cassialoom/cassialoom/wire"
)

// Config of a Node. The slices' own configurations come with the reasons for
// their defaults.
type Config struct {
	Service    string
	DataCentre string
	Region     string
	// PeerAddr, OpsAddr and CallerAddr are where others reach this node.
	PeerAddr   string
	OpsAddr    string
	CallerAddr string
	// Seeds are peer addresses to try besides those in the log.
	Seeds []string
	// DrainAfter is how long a node that is stopped as planned goes on as
	// before, but for telling its callers that it is not ready. Its backend
	// server stays in use meanwhile: while the callers are led away nothing is
	// gained by losing its capacity, too.
	DrainAfter time.Duration
	// DrainGrace is how long a leaving node still takes work from peers
	// that have not heard of it; the users allow a few seconds.
	DrainGrace time.Duration
	// EnterGrace is how long a leaving node still takes requests that come by
	// host and path: their callers have no other node until they hear that
	// this one is not ready. What comes later could not be finished in time.
	EnterGrace time.Duration
	// BackendSilence is how long a backend server may go without announcing
	// itself before it counts as gone. It announces every second.
	BackendSilence time.Duration
	// LateCallWait is how long a call that a connection held up waits for its
	// cancel before it goes on: several round trips inside a region, in which a
	// connection that begins anew hands over its backlog.
	LateCallWait time.Duration
	// LogTimeout bounds one operation of the log.
	LogTimeout time.Duration

	Transport  transport.Config
	Membership membership.Config
	Spread     config.Config
	Serve      serve.Config
	Dispatch   dispatch.Config
	Backend    backend.Config
	Entry      entry.Config
	Explain    explain.Config
	// Directory says that others tell the node where its peers may be (Meet),
	// in place of a stream of the log.
	Directory bool
	// Quota bounds the requests of workspaces; without parts none are bounded.
	Quota quota.Config
	// FreshWithin is the age of the configuration beyond which requests that need a key
	// are refused, since the key may have been taken away; zero for any age.
	FreshWithin time.Duration
	// ProvenWithin is the age up to which a node keeps a proof that its published routes
	// are the newest: by asking its peers, or else the store. Zero for any age.
	ProvenWithin time.Duration
	// Clock judges leases and ages.
	Clock bootclock.Clock
	// DecodeRoutes reads published routes. If it is set the node serves
	// those instead of a graph text.
	DecodeRoutes func(text []byte) (*routes.Table, error)
}

// DefaultConfig returns the settings that the daemon starts from.
func DefaultConfig() Config {
	return Config{
		DrainGrace:     time.Second,
		BackendSilence: 5 * time.Second,
		LateCallWait:   100 * time.Millisecond,
		LogTimeout:     3 * time.Second,
		Transport:      transport.DefaultConfig(),
		Membership:     membership.DefaultConfig(),
		Spread:         config.DefaultConfig(),
		Serve:          serve.DefaultConfig(),
		Dispatch:       dispatch.DefaultConfig(),
		Backend:        backend.DefaultConfig(),
		Entry:          entry.DefaultConfig(),
		Explain:        explain.DefaultConfig(),
		Quota:          quota.DefaultConfig(),
		ProvenWithin:   1600 * time.Millisecond,
		Clock:          bootclock.Now,
	}
}

// Node is safe for concurrent use.
type Node struct {
	cfg    Config
	id     wire.NodeID
	log    zerolog.Logger
	stream applog.Log
	counts *ops.Counters
	notes  *explain.Recorder

	peers    *transport.Transport
	dispatch *dispatch.Dispatcher
	backend  *backend.Client

	members *roster
	graph   *graphs
	routing *routing
	quotas  *quotas
	server  *server
	posts   *postman

	requestMu sync.Mutex
	requests  *retry.Requests

	stateMu  sync.Mutex
	instance instance // what the backend server last said of itself
	starts   starts

	pressure pressure // used by one loop alone

	// levelsHeard wakes the loop that passes levels on.
	levelsHeard chan struct{}

	// listed is what the addresses of the fleet say to a node that restarted; nil if it
	// did not find its own among them.
	listed atomic.Pointer[addressOwners]

	started  time.Time
	inForce  atomic.Uint64 // version of the configuration
	draining atomic.Bool
	leaving  atomic.Int64 // when the planned stop began, in Unix nanoseconds
	entered  atomic.Int64 // callers' requests under way
	replying atomic.Int64 // effects of the callee's decisions being carried out
	stop     context.CancelFunc
	ctx      context.Context
	wg       sync.WaitGroup
}

// New returns a Node with an identity of its own. Start sets it going.
func New(cfg Config, stream applog.Log, log zerolog.Logger, counts *ops.Counters) (*Node, error) {
	id := wire.NewNodeID()
	var secret [once.SecretLen]byte
	if _, err := crand.Read(secret[:]); err != nil {
		return nil, fmt.Errorf("draw the secret of the keys: %w", err)
	}
	seed := binary.LittleEndian.Uint64(id[:8])
	now := time.Now()

	cfg.Transport.ID = id
	cfg.Transport.Addr = cfg.PeerAddr
	cfg.Transport.DataCentre = cfg.DataCentre
	cfg.Serve.Self = id
	cfg.Serve.Service = cfg.Service
	cfg.Serve.Seed = seed
	cfg.Dispatch.Self = id
	cfg.Dispatch.DataCentre = cfg.DataCentre
	cfg.Dispatch.Seed = seed

	if cfg.DecodeRoutes == nil {
		cfg.ProvenWithin = 0 // a graph text is spread by other means
	}
	n := &Node{
		cfg:      cfg,
		id:       id,
		log:      log.With().Str("node", id.Short()).Str("service", cfg.Service).Logger(),
		stream:   stream,
		counts:   counts,
		notes:    explain.New(cfg.Explain),
		backend:  backend.New(cfg.Backend),
		members:  newRoster(membership.New(cfg.Membership, record(cfg, id), seed)),
		graph:    newGraphs(config.NewSpread(cfg.Spread, id, cfg.DataCentre, seed)),
		requests: retry.NewRequests(cfg.Dispatch.Budget),
		routing:  newRouting(cfg.DecodeRoutes),
		quotas:   newQuotas(cfg.Quota, cfg.FreshWithin, cfg.ProvenWithin, cfg.Clock),
		started:  now,

		levelsHeard: make(chan struct{}, 1),
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	n.server = newServer(serve.New(cfg.Serve, secret, now))
	n.dispatch = dispatch.New(cfg.Dispatch, linker{n}, n.members, n.notes)
	n.peers = transport.New(cfg.Transport, (*peerHandler)(n))
	n.posts = newPostman(n)
	n.members.addSeeds(cfg.Seeds)
	return n, nil
}

func record(cfg Config, id wire.NodeID) membership.Record {
	return membership.Record{
		ID:         id,
		Service:    cfg.Service,
		DataCentre: cfg.DataCentre,
		Region:     cfg.Region,
		PeerAddr:   cfg.PeerAddr,
		OpsAddr:    cfg.OpsAddr,
		CallerAddr: cfg.CallerAddr,
	}
}

// ID returns the identity of this incarnation.
func (n *Node) ID() wire.NodeID { return n.id }

// Peers takes the connections of other nodes.
func (n *Node) Peers() *transport.Transport { return n.peers }

// Start begins the node's own work; Stop ends it.
func (n *Node) Start() {
	n.background(n.watchServer)
	n.background(n.gossipLevels)
	n.background(n.quotaLoop)
	n.loop(memberTick, n.tickMembers)
	if !n.routing.enabled() {
		n.loop(bindingTick, n.tickBindings)
		n.loop(configTick, n.tickConfig)
	}
	n.loop(noticeTick, n.tickNotices)
	n.log.Info().Str("data_centre", n.cfg.DataCentre).Str("peer_addr", n.cfg.PeerAddr).Msg("started")
}

// loop calls f every so often until the node stops.
func (n *Node) loop(every time.Duration, f func(now time.Time)) {
	n.wg.Add(1)
	go func() {
		defer n.wg.Done()
		ticker := time.NewTicker(every)
		defer ticker.Stop()
		for {
			select {
			case <-n.ctx.Done():
				return
			case <-ticker.C:
				f(time.Now())
			}
		}
	}()
}

// Stop ends the node at once; Drain and Wait come before a planned stop.
func (n *Node) Stop() {
	n.leave()
	n.stop()
	n.peers.Close()
	n.posts.close()
	n.wg.Wait()
	n.backend.Close()
	n.log.Info().Msg("stopped")
}
