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
	// memoryShare of the process's limit is where the collector begins to
	// work harder; the rest is for what it does not count.
	memoryShare = 0.6
	// bodyShare of the limit is the most that one body may take: it is held
	// whole, more than once while it is encoded.
	bodyShare = 1.0 / 64
	// waitMax is how long a queue beside a backend server is at most, in time at the
	// rate at which it serves: what a call of the shortest deadlines has. Levels keep
	// it far shorter.
	waitMax = 600 * time.Millisecond
	// waitShare of its spare time is what a call may wait.
	waitShare = 0.9
	// soonerShare of its spare time is how long a call lets those go first that
	// have less: a call that waits too long wastes what was done for its request.
	soonerShare = 0.25
	// waitMin is the number of calls that may wait before the rate at which
	// they are served is known.
	waitMin = 64
	// levelQueue times the square root of a backend server's slots is the number
	// of calls that should wait there: a fifth of the time that the deepest
	// calls have.
	levelQueue = 4
	// levelSettle is the number of intervals of 50 ms in which a level brings
	// the queue to its target. A request reaches the deepest service half a
	// second after its entry: a level that answers sooner swings, and slots
	// stand idle between the swings.
	levelSettle = 20
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
	// they cannot see, such as attempts counted in another window than theirs, and
	// what they cannot refuse: calls that a run makes which is itself a repeat. When a
	// service and the one above it turn away half of what they get, those are a
	// quarter of what is spent.
	budgetShare = 0.68
	// revokeShare of the time in which a key that was taken away must not be served any
	// more is the age of a configuration that is relied on.
	revokeShare = 0.9
	// applyShare of the time in which a version must be in force is the age up to which a
	// node keeps the proof that its routes are the newest.
	applyShare = 0.8
	// proofReads of the configuration are made by each prover in the age of a proof: it is
	// up to two of them old when its reader gets the next one, and takes another moment to
	// reach the other nodes.
	proofReads = 3.6
	// readShare of that age is how long a read of another reader waits: one that gets no
	// answer is given up before the version that it should bring is late.
	readShare = 0.75
)

// routeReads is how often the routes are read: often enough that their proof is young when
// it reaches the other nodes.
func routeReads(cfg node.Config) readers.RoutesConfig {
	reads := readers.DefaultRoutesConfig()
	if within := float64(cfg.ProvenWithin); within > 0 {
		reads.Wait = min(reads.Wait, time.Duration(within*readShare))
		reads.ProverWait = min(reads.ProverWait, time.Duration(within/proofReads))
	}
	return reads
}

// provenWithin is the age of a proof that all bounds allow: the one for any version, that of
// the time in which one must be in force, and that after which keys are refused. The last
// two are zero where the platform does not ask for them.
func provenWithin(most, apply, fresh time.Duration) time.Duration {
	if apply > 0 {
		most = time.Duration(float64(apply) * applyShare)
	}
	if fresh > 0 {
		most = min(most, fresh)
	}
	return most
}

func platformConfig(s platform.Settings, own settings.Platform, log zerolog.Logger) node.Config {
	cfg := node.DefaultConfig()
	cfg.Explain.Sink = logs.NewDecisions(logs.DefaultConfig(), log)
	cfg.Service = s.Service
	cfg.DataCentre = s.DataCentre
	cfg.Region = s.Region
	cfg.PeerAddr = advertised(s, own)
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
	cfg.Quota.Parts = s.Store.Parts
	cfg.Quota.Window = s.Bounds.QuotaWindow
	cfg.Quota.Overage = s.Bounds.QuotaOverage
	cfg.Quota.Slack = s.Bounds.QuotaSlack
	cfg.FreshWithin = time.Duration(float64(s.Bounds.Revoke) * revokeShare)
	cfg.ProvenWithin = provenWithin(cfg.ProvenWithin, s.Bounds.Apply, cfg.FreshWithin)
	body := min(int64(float64(s.Memory)*bodyShare), settings.MaxPayload)
	cfg.Entry.MaxBody = max(cfg.Entry.MaxBody, body)
	cfg.Backend.MaxAnswer = max(cfg.Backend.MaxAnswer, body)
	LoadPolicy(&cfg, s.Bounds)
	return cfg
}

// LoadPolicy sets what a node on the platform does about load: where it refuses,
// how calls wait, where they go and how often they are tried again.
func LoadPolicy(cfg *node.Config, b platform.Bounds) {
	cfg.Serve.TellOnly = true
	cfg.Serve.Queue.SoonerShare = soonerShare
	cfg.Serve.Gate.Queue = levelQueue
	cfg.Serve.Gate.Settle = levelSettle
	cfg.Serve.Queue.MaxWait = waitMax
	cfg.Serve.Queue.MinItems = waitMin
	cfg.Serve.Queue.WaitShare = waitShare
	cfg.Serve.Queue.OverloadAfter = time.Duration(math.MaxInt64)
	cfg.Dispatch.Reroutes = reroutes
	cfg.Dispatch.Reoffers = reoffers
	cfg.Dispatch.Hedge = true
	cfg.Dispatch.Outlook = admission.DefaultOutlookConfig()
	cfg.Dispatch.News = admission.DefaultNewsConfig()
	cfg.Dispatch.Balancer.SlowStart = slowStart
	cfg.Dispatch.Budget.Window = b.RetryWindow
	cfg.Dispatch.Budget.Ratio = b.RetryRatio * budgetShare
	cfg.Dispatch.Budget.Burst = max(1, b.RetrySlack*budgetShare/budgetNodes)
	cfg.Dispatch.Budget.Nodes = budgetNodes
}
