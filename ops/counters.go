package ops

import (
	"expvar"
	"strconv"
	"strings"
	"sync/atomic"

	"github.com/cassialoom/cassialoom/verdict"
)

// Counters of one node. The zero value is ready; all are safe for concurrent
// use and only grow, but for the gauges.
type Counters struct {
	// Requests came from callers; each ends with one of the verdicts.
	Requests, Ran, NotRun, MayHaveRun expvar.Int
	// LocalCalls came from the node's own backend server.
	LocalCalls expvar.Int
	// Attempts were sent to backend servers; ExtraAttempts are those beyond
	// the first of a call, ExtraRefused those that a bound forbade.
	Attempts, ExtraAttempts, ExtraRefused expvar.Int
	// Runs were handed to the node's own backend server.
	Runs expvar.Int
	// BackendBroken counts connections that broke in flight, BackendCrashes
	// the ends of the process.
	BackendBroken, BackendCrashes expvar.Int
	// KeysMinted by this node.
	KeysMinted expvar.Int
	// Late replies matched no waiting attempt and were dropped.
	LateReplies expvar.Int
	// LateCalls came from other nodes long after they were sent.
	LateCalls expvar.Int
	// PeerConnects and PeerLosses of connections to other nodes.
	PeerConnects, PeerLosses expvar.Int
	// PeerStalls are connections set aside because calls did not come through.
	PeerStalls expvar.Int
	// BadMessages from peers could not be decoded or broke a limit.
	BadMessages expvar.Int
	// ControlBytesIn and ControlBytesOut are all messages but calls and
	// their replies.
	ControlBytesIn, ControlBytesOut expvar.Int
	// PeerBytes are the bodies of messages from other nodes, by kind; those from
	// another data centre are counted apart.
	PeerBytes expvar.Map
	// LogReads, LogAppends and LogFailures of the platform's log.
	LogReads, LogAppends, LogFailures expvar.Int
	// StoreCalls to the platform's store, by cause.
	StoreCalls expvar.Map
	// ConfigChanges put in force.
	ConfigChanges expvar.Int
	// RoutesRefused counts published routes that could not be taken.
	RoutesRefused expvar.Int
	// QuotaAsks are questions of other nodes for tokens or proofs that were answered.
	QuotaAsks expvar.Int
	// LateBeats counts heartbeats of the backend server that came after newer
	// ones.
	LateBeats expvar.Int
	// Hedges counts second attempts beside a first one that stayed silent,
	// Strays answers of the backend server that came to no request of theirs.
	Hedges, Strays expvar.Int
	// Deferred counts callers' requests that were asked to come back since
	// those of their route fail.
	Deferred expvar.Int
	// Latencies of requests by route and hop.
	Latencies Latencies

	reasons    expvar.Map
	reasonKeys atomic.Int32
}

// maxReasons bounds the reasons counted apart: they also come from peers, and
// a faulty one must not fill the memory with names of its own.
const maxReasons = 64

// Reason counts why a request was refused or failed.
func (c *Counters) Reason(r verdict.Reason) {
	key := string(r)
	if c.reasons.Get(key) == nil && c.reasonKeys.Add(1) > maxReasons {
		key = "other"
	}
	c.reasons.Add(key, 1)
}

// Outcome counts the end of a caller's request.
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

type namedVar struct {
	name  string
	value expvar.Var
	// label names what the keys of a map are.
	label string
}

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
		{name: "backend_broken", value: &c.BackendBroken},
		{name: "backend_crashes", value: &c.BackendCrashes},
		{name: "keys_minted", value: &c.KeysMinted},
		{name: "quota_asks", value: &c.QuotaAsks},
		{name: "late_replies", value: &c.LateReplies},
		{name: "late_calls", value: &c.LateCalls},
		{name: "peer_connects", value: &c.PeerConnects},
		{name: "peer_losses", value: &c.PeerLosses},
		{name: "peer_stalls", value: &c.PeerStalls},
		{name: "bad_messages", value: &c.BadMessages},
		{name: "control_bytes_in", value: &c.ControlBytesIn},
		{name: "control_bytes_out", value: &c.ControlBytesOut},
		{name: "peer_bytes_in", value: &c.PeerBytes, label: "message"},
		{name: "log_reads", value: &c.LogReads},
		{name: "log_appends", value: &c.LogAppends},
		{name: "log_failures", value: &c.LogFailures},
		{name: "store_calls", value: &c.StoreCalls, label: "cause"},
		{name: "config_changes", value: &c.ConfigChanges},
		{name: "routes_refused", value: &c.RoutesRefused},
		{name: "late_beats", value: &c.LateBeats},
		{name: "hedges", value: &c.Hedges},
		{name: "deferred", value: &c.Deferred},
		{name: "strays", value: &c.Strays},
	}
}

// String implements expvar.Var: the counters as one JSON object.
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
