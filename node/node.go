// Package node is the process that runs beside a backend server. It connects
// the packages that decide (serve, dispatch, membership, config and others) to
// sockets and clocks, and holds no policy itself.
//
// The deciding types are not safe for concurrent use. Each has one lock; the
// effects that it returns are carried out after the lock is released. No two of
// these locks are held at once, except that changes of the backend server's state
// are applied under a lock of their own.
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

// Config is the configuration of a Node and of the packages that it connects.
type Config struct {
	Service    string
	DataCentre string
	Region     string
	// PeerAddr, OpsAddr and CallerAddr are the addresses (HOST:PORT) at which
	// other nodes, operators and callers reach this node.
	PeerAddr   string
	OpsAddr    string
	CallerAddr string
	// Seeds are peer addresses to try in addition to those in the log.
	Seeds []string
	// DrainAfter is the time between the start of a planned stop, when the node
	// reports to its callers that it is not ready, and the notification of the
	// other nodes. The backend server stays in use until then, so that its
	// capacity is not lost while the callers move to other nodes.
	DrainAfter time.Duration
	// DrainGrace is how long a draining node still accepts work after it has
	// notified its peers, for those that have not received the message yet.
	DrainGrace time.Duration
	// CallerGrace is how long after the start of a planned stop the node still
	// accepts requests by host and path: their callers use no other node until
	// they see that this one is not ready. A later request might not finish
	// before the process ends.
	CallerGrace time.Duration
	// BackendSilence is the time without a heartbeat after which the backend
	// server counts as gone. It sends one every second.
	BackendSilence time.Duration
	// NoticeWait is the longest time for which a backend server that has become ready gets no
	// requests while its node asks others of its service for notices about requests that crash
	// backend servers. Zero means no wait.
	NoticeWait time.Duration
	// LateCallWait is how long a call that arrives late waits for its cancel
	// before it is accepted: several round trips inside a region, the time in
	// which a connection that resumes delivers its backlog.
	LateCallWait time.Duration
	// LogTimeout is the timeout of one operation of the log.
	LogTimeout time.Duration

	Transport   transport.Config
	Membership  membership.Config
	Distributor config.Config
	Serve       serve.Config
	Dispatch    dispatch.Config
	Backend     backend.Config
	Entry       entry.Config
	Explain     explain.Config
	// Directory is set if the addresses of peers come through AddSeeds. Otherwise
	// the node reads them from a stream of the log.
	Directory bool
	// Quota limits the requests of workspaces; without parts there is no limit.
	Quota quota.Config
	// MaxConfigAge is the greatest age of the configuration at which requests that need a
	// key are accepted: in an older one the key may have been revoked. Zero is no limit.
	MaxConfigAge time.Duration
	// MaxProofAge is the greatest age of a freshness proof, which shows that the
	// published routes are the newest. An older one is renewed by asking the peers or
	// else the store. Zero is no limit.
	MaxProofAge time.Duration
	// Clock measures leases and ages.
	Clock bootclock.Clock
	// DecodeRoutes decodes published routes. If it is set the node serves
	// them instead of a graph text.
	DecodeRoutes func(text []byte) (*routes.Table, error)
}

// isolationSettle covers two updates of the list of ready nodes and the way of a change to all of them.
const isolationSettle = 500 * time.Millisecond

// DefaultConfig returns the default settings of the daemon.
func DefaultConfig() Config {
	cfg := Config{
		DrainGrace:     time.Second,
		BackendSilence: 5 * time.Second,
		LateCallWait:   100 * time.Millisecond,
		LogTimeout:     3 * time.Second,
		Transport:      transport.DefaultConfig(),
		Membership:     membership.DefaultConfig(),
		Distributor:    config.DefaultConfig(),
		Serve:          serve.DefaultConfig(),
		Dispatch:       dispatch.DefaultConfig(),
		Backend:        backend.DefaultConfig(),
		Entry:          entry.DefaultConfig(),
		Explain:        explain.DefaultConfig(),
		Quota:          quota.DefaultConfig(),
		MaxProofAge:    1600 * time.Millisecond,
		Clock:          bootclock.Now,
	}
	cfg.Serve.IsolationSettle = isolationSettle
	return cfg
}

// Node connects one backend server to the other nodes. It is safe for
// concurrent use.
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
	outbox  *peerOutbox

	requestMu sync.Mutex
	requests  *retry.Requests

	// reportMu is held while a change of the backend server's state is applied, from the
	// report to its last effect. Otherwise the effects of two reports could take place in
	// another order than the changes, and a backend server that has been acknowledged to
	// be leaving could be set ready. It is taken before any other lock.
	reportMu sync.Mutex
	stateMu  sync.Mutex
	instance instance // the backend server's last reported state
	starts   starts

	levelLog     changeLog[uint16] // used by one loop alone
	rateLimitLog changeLog[int]    // number of changes; used by one loop alone
	noticeLog    noticeLog

	// levelsReceived wakes the loop that gossips admission levels.
	levelsReceived chan struct{}

	// listed is derived from the fleet's addresses when the node restarts at one of
	// them; nil otherwise.
	listed atomic.Pointer[addressOwners]

	informedMu       sync.Mutex
	informed         map[wire.NodeID]bool // nodes of the service that were informed
	noticesRequested atomic.Bool
	noticeWait       noticeWait // guarded by reportMu

	startedAt      time.Time
	inForce        atomic.Uint64 // version of the configuration in force
	draining       atomic.Bool
	drainBegan     atomic.Int64 // start of the planned stop in Unix nanoseconds, zero before it
	callerRequests atomic.Int64 // callers' requests in flight
	replying       atomic.Int64 // calls of serve that still carry out effects
	stop           context.CancelFunc
	ctx            context.Context
	wg             sync.WaitGroup
}

// New returns a Node with a new identity; Start starts it. It fails if the
// system provides no random bytes.
func New(cfg Config, stream applog.Log, log zerolog.Logger, counts *ops.Counters) (*Node, error) {
	id := wire.NewNodeID()
	var secret [once.SecretLen]byte
	if _, err := crand.Read(secret[:]); err != nil {
		return nil, fmt.Errorf("generate the secret for idempotency keys: %w", err)
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
		cfg.MaxProofAge = 0 // a graph text is distributed by package config, without proofs
	}
	n := &Node{
		cfg:       cfg,
		id:        id,
		log:       log.With().Str("node", id.Short()).Str("service", cfg.Service).Logger(),
		stream:    stream,
		counts:    counts,
		notes:     explain.New(cfg.Explain),
		members:   newRoster(membership.New(cfg.Membership, record(cfg, id), seed)),
		graph:     newGraphs(config.NewDistributor(cfg.Distributor, id, cfg.DataCentre, seed)),
		requests:  retry.NewRequests(cfg.Dispatch.Budget),
		routing:   newRouting(cfg.DecodeRoutes),
		quotas:    newQuotas(cfg.Quota, cfg.MaxConfigAge, cfg.MaxProofAge, cfg.Clock),
		startedAt: now,

		levelsReceived: make(chan struct{}, 1),
	}
	n.ctx, n.stop = context.WithCancel(context.Background())
	cfg.Backend.OnStray = n.recordStray
	cfg.Backend.HealthPath = n.healthPath
	n.backend = backend.New(cfg.Backend)
	n.server = newServer(serve.New(cfg.Serve, secret, now))
	n.dispatch = dispatch.New(cfg.Dispatch, linker{n}, n.members, n.notes)
	n.server.serve.SetDependencies(n.dispatch)
	n.peers = transport.New(cfg.Transport, (*peerHandler)(n))
	n.outbox = newPeerOutbox(n)
	n.members.addSeeds(cfg.Seeds)
	return n, nil
}

// record returns the membership record of this node.
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

// Peers returns the transport that accepts the connections of other nodes.
func (n *Node) Peers() *transport.Transport { return n.peers }

// Start starts the node's background loops; Stop ends them.
func (n *Node) Start() {
	n.background(n.runServerLoop)
	n.background(n.gossipLevels)
	n.background(n.quotaLoop)
	n.loop(memberTick, n.tickMembers)
	if !n.routing.enabled() {
		n.loop(bindingTick, n.tickBindings)
		n.loop(configTick, n.tickConfig)
	}
	n.loop(noticeTick, n.tickNotices)
	n.loop(backendTick, func(time.Time) { n.backend.CloseUnusable() })
	n.loop(retryUsageTick, func(time.Time) { n.logRetryUsage() })
	n.loop(dispatch.ProbeInterval, func(time.Time) { n.probeLostServices() })
	n.log.Info().Str("data_centre", n.cfg.DataCentre).Str("peer_addr", n.cfg.PeerAddr).Msg("started")
}

// loop calls f at the given interval until the node stops.
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

// Stop ends the node without waiting for requests in flight. For a planned stop
// call Drain and Wait first.
func (n *Node) Stop() {
	n.leave()
	n.stop()
	n.peers.Close()
	n.outbox.close()
	n.wg.Wait()
	n.backend.Close()
	n.log.Info().Msg("stopped")
}
