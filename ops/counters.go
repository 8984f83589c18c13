package ops

import (
	"expvar"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cassialoom/cassialoom/verdict"
)

// Counters are the counters of one node. They only grow. The zero value is ready
// to use and safe for concurrent use.
type Counters struct {
	// Requests counts the callers' requests; Ran, NotRun and MayHaveRun count
	// them by verdict.
	Requests, Ran, NotRun, MayHaveRun expvar.Int
	// LocalCalls counts calls of the node's own backend server.
	LocalCalls expvar.Int
	// Attempts counts attempts sent to backend servers, ExtraAttempts those
	// beyond the first of a call, and ExtraRefused the extra attempts that the
	// retry budget did not permit.
	Attempts, ExtraAttempts, ExtraRefused expvar.Int
	// Runs counts requests passed to the node's own backend server.
	Runs expvar.Int
	// BackendConnsBroken counts connections to the backend server that broke during
	// a request, BackendCrashes the ends of its process.
	BackendConnsBroken, BackendCrashes expvar.Int
	// BackendConnsOpened counts the connections opened to the backend server.
	BackendConnsOpened expvar.Int
	// PipelinedConns counts connections of callers that had several requests at once.
	PipelinedConns expvar.Int
	// MalformedNotices counts answers of the backend server in which its rate limit, its
	// leaving or its load can't be parsed.
	MalformedNotices expvar.Int
	// RateLimited counts attempts of other nodes and this one that were refused here because
	// of the backend server's rate limit. RateLimitedElsewhere counts attempts of this node
	// that another node refused for that reason.
	RateLimited, RateLimitedElsewhere expvar.Int
	// KeysMinted counts idempotency keys minted by this node.
	KeysMinted expvar.Int
	// LateReplies counts replies dropped because no attempt waited for them.
	LateReplies expvar.Int
	// LateCalls counts calls that arrived from other nodes long after they
	// were sent.
	LateCalls expvar.Int
	// PeerConnects counts connections made to other nodes, PeerLosses those
	// that broke.
	PeerConnects, PeerLosses expvar.Int
	// QuarantinedPeerConns counts connections quarantined because calls over them did not
	// arrive.
	QuarantinedPeerConns expvar.Int
	// BadMessages counts messages of peers that could not be decoded or
	// exceeded a limit.
	BadMessages expvar.Int
	// ControlBytesIn and ControlBytesOut count the bytes of all messages except
	// calls and their replies.
	ControlBytesIn, ControlBytesOut expvar.Int
	// PeerBytes counts the bytes of the bodies of messages from other nodes by
	// kind, with keys of their own for other data centres.
	PeerBytes expvar.Map
	// LogReads, LogAppends and LogFailures count operations of the platform's
	// log.
	LogReads, LogAppends, LogFailures expvar.Int
	// StoreCalls counts calls of the platform's store by cause.
	StoreCalls expvar.Map
	// ConfigChanges counts configurations put in force.
	ConfigChanges expvar.Int
	// RoutesRejected counts published routes that were not valid.
	RoutesRejected expvar.Int
	// QuotaRequests counts answered requests of other nodes for tokens or freshness
	// proofs.
	QuotaRequests expvar.Int
	// LateHeartbeats counts heartbeats of the backend server that arrived after newer
	// ones.
	LateHeartbeats expvar.Int
	// Hedges counts second attempts made while the first had no answer yet,
	// StrayAnswers counts answers of the backend server that belong to no request,
	// Contradictions those that show that a request ran which it had declined, InvalidAnswers
	// those that are not valid HTTP.
	Hedges, StrayAnswers, Contradictions, InvalidAnswers expvar.Int
	// TransparentRetries counts repeated attempts of calls that had not been sent because no
	// connection could be opened.
	TransparentRetries expvar.Int
	// DependencyLosses counts services and operations that could no longer be reached at any
	// node, DependencyRefusals requests refused for one, DependencyProbes those that were let
	// through to notice its return, DependencyGivenUp calls that did not wait for one, or no
	// longer, since enough runs waited.
	DependencyLosses, DependencyRefusals, DependencyProbes, DependencyGivenUp expvar.Int
	// Deferred counts requests whose callers were asked to retry later because
	// requests of the route fail.
	Deferred expvar.Int
	// Latencies holds the latencies of requests by route and hop.
	Latencies Latencies

	reasons    expvar.Map
	reasonKeys atomic.Int32
}

// maxReasons limits the number of reasons with a counter of their own: reasons
// also come from peers, and a faulty peer must not exhaust the memory.
const maxReasons = 64

// Reason counts the reason for which a request was refused or failed.
func (c *Counters) Reason(r verdict.Reason) {
	key := string(r)
	if c.reasons.Get(key) == nil && c.reasonKeys.Add(1) > maxReasons {
		key = "other"
	}
	c.reasons.Add(key, 1)
}

// Outcome counts a finished request of a caller by its verdict and reason.
func (c *Counters) Outcome(v verdict.Verdict, r verdict.Reason) {
	c.Requests.Add(1)
	switch v {
	case verdict.Ran:
		c.Ran.Add(1)
	case verdict.NotRun:
		c.NotRun.Add(1)
	default:
		c.MayHaveRun.Add(1)
	}
	if r != verdict.None {
		c.Reason(r)
	}
}

// namedVar is a counter, or a map of counters, with its metric name.
type namedVar struct {
	name  string
	value expvar.Var
	// label is the metric label that holds the keys of a map.
	label string
}

// list returns all counters in the order of the output.
func (c *Counters) list() []namedVar {
	return []namedVar{
		{name: "requests", value: &c.Requests},
		{name: "ran", value: &c.Ran},
		{name: "not_run", value: &c.NotRun},
		{name: "may_have_run", value: &c.MayHaveRun},
		{name: "reasons", value: &c.reasons, label: "reason"},
		{name: "local_calls", value: &c.LocalCalls},
		{name: "attempts", value: &c.Attempts},
		{name: "extra_attempts", value: &c.ExtraAttempts},
		{name: "extra_refused", value: &c.ExtraRefused},
		{name: "runs", value: &c.Runs},
		{name: "backend_broken", value: &c.BackendConnsBroken},
		{name: "backend_connections", value: &c.BackendConnsOpened},
		{name: "backend_crashes", value: &c.BackendCrashes},
		{name: "pipelined_connections", value: &c.PipelinedConns},
		{name: "backend_malformed_notices", value: &c.MalformedNotices},
		{name: "rate_limited", value: &c.RateLimited},
		{name: "rate_limited_elsewhere", value: &c.RateLimitedElsewhere},
		{name: "keys_minted", value: &c.KeysMinted},
		{name: "quota_asks", value: &c.QuotaRequests},
		{name: "late_replies", value: &c.LateReplies},
		{name: "late_calls", value: &c.LateCalls},
		{name: "peer_connects", value: &c.PeerConnects},
		{name: "peer_losses", value: &c.PeerLosses},
		{name: "peer_stalls", value: &c.QuarantinedPeerConns},
		{name: "bad_messages", value: &c.BadMessages},
		{name: "control_bytes_in", value: &c.ControlBytesIn},
		{name: "control_bytes_out", value: &c.ControlBytesOut},
		{name: "peer_bytes_in", value: &c.PeerBytes, label: "message"},
		{name: "log_reads", value: &c.LogReads},
		{name: "log_appends", value: &c.LogAppends},
		{name: "log_failures", value: &c.LogFailures},
		{name: "store_calls", value: &c.StoreCalls, label: "cause"},
		{name: "config_changes", value: &c.ConfigChanges},
		{name: "routes_refused", value: &c.RoutesRejected},
		{name: "late_beats", value: &c.LateHeartbeats},
		{name: "hedges", value: &c.Hedges},
		{name: "transparent_retries", value: &c.TransparentRetries},
		{name: "dependency_losses", value: &c.DependencyLosses},
		{name: "dependency_refusals", value: &c.DependencyRefusals},
		{name: "dependency_probes", value: &c.DependencyProbes},
		{name: "dependency_given_up", value: &c.DependencyGivenUp},
		{name: "deferred", value: &c.Deferred},
		{name: "strays", value: &c.StrayAnswers},
		{name: "contradictions", value: &c.Contradictions},
		{name: "backend_invalid_answers", value: &c.InvalidAnswers},
	}
}

// String implements expvar.Var. It returns the counters as a JSON object.
func (c *Counters) String() string {
	var b strings.Builder
	b.WriteByte('{')
	for i, v := range c.list() {
		if i > 0 {
			b.WriteByte(',')
		}
		b.WriteString(strconv.Quote(v.name))
		b.WriteByte(':')
		b.WriteString(v.value.String())
	}
	b.WriteByte('}')
	return b.String()
}
