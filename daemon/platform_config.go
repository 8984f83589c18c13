package daemon

import (
	"math"
	"time"

	"github.com/rs/zerolog"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/logs"
	"github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/readers"
	"github.com/cassialoom/cassialoom/settings"
)

const (
	// memoryShare is the share of the process's memory limit that becomes the
	// soft limit of the Go runtime. The rest is for memory that the runtime
	// doesn't count.
	memoryShare = 0.6
	// bodyShare is the maximum size of a body as a share of the memory limit. A
	// body is held in memory, in several copies while it is encoded.
	bodyShare = 1.0 / 64
	// largeAnswersShare is the memory for large answers that are being read, as a share of the
	// memory limit.
	largeAnswersShare = 1.0 / 8
	// waitMax limits the queue of a backend server, in time at its service rate,
	// to the time that calls with the shortest deadlines have. Admission levels
	// usually keep the queue far shorter.
	waitMax = 600 * time.Millisecond
	// waitShare is the share of its spare time that a call may wait. Spare time
	// is the remaining deadline minus the usual service time.
	waitShare = 0.9
	// soonerShare is the share of its spare time for which a call yields to calls
	// with less spare time. It is limited because a call that expires wastes the
	// work done for its request.
	soonerShare = 0.25
	// waitMin is the minimum queue limit in calls, used until the service rate
	// is known.
	waitMin = 64
	// levelQueue times the square root of a backend server's slots is the target
	// queue length of the admission level.
	levelQueue = 4
	// levelSettle is the number of control intervals in which an admission level
	// brings the queue to its target. It exceeds the delay between the entry of a
	// request and its calls of the deepest service: a faster control loop
	// oscillates and leaves slots idle.
	levelSettle = 20
	// keptIdle is the idle timeout of callers' connections. It is long because
	// closing a connection that is about to be used loses a request.
	keptIdle = 5 * time.Minute
	// reroutes limits the free reroutes of a call, enough to pass a draining node
	// and a full one.
	reroutes = 3
	// enterGrace is the time for which a draining node still admits requests. It
	// covers the two failed readiness checks, a second apart, after which the
	// platform sends no more requests.
	enterGrace = 2200 * time.Millisecond
	// stopShare is the share of the grace time that a planned stop may use. After
	// the grace time the platform kills the process.
	stopShare = 0.95
	// slowStart is the time over which the share of calls of a started node grows,
	// since its backend server may be cold.
	slowStart = 2 * time.Second
	// joinInterval is the interval of attempts to reach a first peer and joinAddrs
	// the number of addresses tried each time. Nodes that all restart at the same
	// time find each other quickly.
	joinInterval = 200 * time.Millisecond
	joinAddrs    = 4
	// reconnectInterval is the interval of attempts to reach a lost node at its
	// last address. Without them a node that restarts while the store is
	// unavailable is not found.
	reconnectInterval = 2 * time.Second
	// reoffers limits how often a call that backend servers declined is offered
	// again to one of them.
	reoffers = 5
	// drainAfter is the time from the start of a drain until peers are told, and
	// drainGrace the time for which their calls are still accepted after that.
	// Together they stay within enterGrace.
	drainAfter = 1900 * time.Millisecond
	drainGrace = 200 * time.Millisecond
	// noticeWait is several times what a node that starts needs to reach another of its service.
	noticeWait = 300 * time.Millisecond
	// budgetNodes is the number of nodes that share the allowed burst of extra
	// attempts.
	budgetNodes = 16
	// budgetShare is the share of the retry limit that the nodes use. The rest
	// covers attempts that the platform counts in a different window, and calls
	// that move between nodes, each of which has a window of its own.
	budgetShare = 0.9
	// revokeShare is the maximum age of a configuration that authorizes keys, as a
	// share of the time within which a revoked key must be rejected.
	revokeShare = 0.9
	// applyShare is the maximum age of the freshness proof of a node's routes, as a
	// share of the time within which a published version must be in force.
	applyShare = 0.8
	// proofReads is the number of reads of the configuration by each prover within
	// the maximum age of a proof. A proof may be two read intervals old before the
	// next one, and needs time to reach the other nodes.
	proofReads = 3.6
	// readShare is the timeout of a read of a reader that isn't a prover, as a share
	// of that maximum age, so that a read without an answer doesn't delay a version.
	readShare = 0.75
)

// routeReads returns the timing of reads of the routes. It is frequent enough that
// freshness proofs don't expire before they reach the other nodes.
func routeReads(cfg node.Config) readers.RoutesConfig {
	reads := readers.DefaultRoutesConfig()
	if within := float64(cfg.MaxProofAge); within > 0 {
		reads.Wait = min(reads.Wait, time.Duration(within*readShare))
		reads.ProverWait = min(reads.ProverWait, time.Duration(within/proofReads))
	}
	return reads
}

// provenWithin returns the maximum age of a freshness proof: maxAge, or applyShare of
// apply if apply is set, and no more than fresh if that is set. apply is the time
// within which a version must be in force, fresh the age from which keys are
// rejected. Zero means that the platform has no such limit.
func provenWithin(maxAge, apply, fresh time.Duration) time.Duration {
	if apply > 0 {
		maxAge = time.Duration(float64(apply) * applyShare)
	}
	if fresh > 0 {
		maxAge = min(maxAge, fresh)
	}
	return maxAge
}

// platformConfig returns the configuration of a node on the platform.
func platformConfig(s platform.Settings, nodeSettings settings.Platform, log zerolog.Logger) node.Config {
	cfg := node.DefaultConfig()
	cfg.Explain.Sink = logs.NewDecisionLogger(logs.DefaultConfig(), log)
	cfg.Service = s.Service
	cfg.DataCentre = s.DataCentre
	cfg.Region = s.Region
	cfg.PeerAddr = advertised(s, nodeSettings)
	cfg.OpsAddr = s.Ops
	cfg.CallerAddr = s.CallersAddr
	cfg.CallerGrace = enterGrace
	cfg.DrainAfter = drainAfter
	cfg.DrainGrace = drainGrace
	cfg.NoticeWait = noticeWait
	cfg.DecodeRoutes = platform.DecodeRoutes
	cfg.Directory = true
	cfg.Membership.JoinInterval = joinInterval
	cfg.Membership.JoinAddrs = joinAddrs
	cfg.Membership.ReconnectInterval = reconnectInterval
	cfg.Backend.Dialect = platform.Target{}
	cfg.Backend.IdleTimeout = time.Minute // the backend server has a timeout of its own
	cfg.Entry.IdleTimeout = keptIdle
	cfg.Quota.Parts = s.Store.Parts
	cfg.Quota.Window = s.Bounds.QuotaWindow
	cfg.Quota.Overage = s.Bounds.QuotaOverage
	cfg.Quota.Slack = s.Bounds.QuotaSlack
	cfg.MaxConfigAge = time.Duration(float64(s.Bounds.RevokeTime) * revokeShare)
	cfg.MaxProofAge = provenWithin(cfg.MaxProofAge, s.Bounds.ApplyTime, cfg.MaxConfigAge)
	body := min(int64(float64(s.MemoryLimit)*bodyShare), settings.MaxPayload)
	cfg.Entry.MaxBody = max(cfg.Entry.MaxBody, body)
	cfg.Backend.MaxAnswer = max(cfg.Backend.MaxAnswer, body)
	cfg.Backend.MaxLargeAnswers = max(int64(float64(s.MemoryLimit)*largeAnswersShare), cfg.Backend.MaxAnswer)
	SetOverloadControl(&cfg, s.Bounds)
	return cfg
}

// SetOverloadControl sets the overload control of a node on the platform: admission, queueing,
// load balancing and the retry budget.
func SetOverloadControl(cfg *node.Config, b platform.Bounds) {
	cfg.Serve.PublishLevelOnly = true
	cfg.Serve.Queue.YieldShare = soonerShare
	cfg.Serve.Gate.Queue = levelQueue
	cfg.Serve.Gate.SettleIntervals = levelSettle
	cfg.Serve.Queue.MaxWait = waitMax
	cfg.Serve.Queue.MinItems = waitMin
	cfg.Serve.Queue.WaitShare = waitShare
	cfg.Serve.Queue.OverloadAfter = time.Duration(math.MaxInt64)
	cfg.Dispatch.MaxReroutes = reroutes
	cfg.Dispatch.MaxReoffers = reoffers
	cfg.Dispatch.Hedge = true
	cfg.Dispatch.RouteHealth = admission.DefaultRouteHealthConfig()
	cfg.Dispatch.LevelGossip = admission.DefaultLevelGossipConfig()
	cfg.Dispatch.Balancer.SlowStart = slowStart
	cfg.Dispatch.Budget.Window = b.RetryWindow
	cfg.Dispatch.Budget.Ratio = b.RetryRatio * budgetShare
	cfg.Dispatch.Budget.Burst = max(1, b.RetrySlack*budgetShare/budgetNodes)
	cfg.Dispatch.Budget.FullBurstNodes = budgetNodes
}
