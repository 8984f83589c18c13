package node

import (
	"time"

	"github.com/cassialoom/cassialoom/config"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/ops"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// State is a dump of the state of a node.
type State struct {
	Node           wire.NodeID     `json:"node"`
	Service        string          `json:"service"`
	DataCentre     string          `json:"data_centre"`
	Draining       bool            `json:"draining"`
	CallerRequests int64           `json:"callers_requests_under_way"`
	Peers          int             `json:"connected_peers"`
	Backend        BackendState    `json:"backend_server"`
	Serve          serve.Dump      `json:"serve"`
	Dispatch       dispatch.Dump   `json:"dispatch"`
	Config         config.Dump     `json:"config"`
	Membership     membership.Dump `json:"membership"`
	Explain        explain.Dump    `json:"explain"`
	Routes         RoutesState     `json:"routes"`
	Workspaces     WorkspacesState `json:"workspaces"`
}

// BackendState is the backend server's last reported state.
type BackendState struct {
	URL           string    `json:"url"`
	Incarnation   string    `json:"boot"`
	Born          int64     `json:"born,omitempty"`
	Ready         bool      `json:"ready"`
	LastHeartbeat time.Time `json:"heard"`
}

// State implements ops.Node.
func (n *Node) State() any {
	now := time.Now()
	inst := n.backendInstance()
	s := State{
		Node:           n.id,
		Service:        n.cfg.Service,
		DataCentre:     n.cfg.DataCentre,
		Draining:       n.draining.Load(),
		CallerRequests: n.callerRequests.Load(),
		Peers:          len(n.peers.Connected()),
		Backend:        BackendState{URL: inst.url, Incarnation: inst.start.ID, Born: inst.start.Born, Ready: inst.ready, LastHeartbeat: inst.lastReport},
		Serve:          n.server.dump(now),
		Dispatch:       n.dispatch.Dump(now),
		Config:         n.graph.dump(),
		Explain:        n.notes.Dump(),
		Routes:         n.routing.dump(now),
		Workspaces:     n.dumpWorkspaces(),
	}
	n.members.with(func(m *membership.Members) { s.Membership = m.Dump() })
	return s
}

// Ready implements ops.Node.
func (n *Node) Ready() (bool, string) {
	switch {
	case n.draining.Load():
		return false, "draining"
	case !n.hasConfiguration():
		return false, "no configuration yet"
	case !n.routing.enabled() && !n.backendInstance().ready:
		return false, "backend server has not announced itself"
	case n.joining():
		return false, "discovering the other nodes"
	case n.server.exhausted():
		return false, "cannot track new senders: drain and restart this node"
	default:
		return true, ""
	}
}

// hasConfiguration reports whether the node has a configuration to route requests by.
func (n *Node) hasConfiguration() bool {
	if n.routing.enabled() {
		return n.routing.table() != nil
	}
	return n.graph.graph() != nil
}

// joining reports whether the list of nodes may still be incomplete, in which case
// a request could be refused for want of a backend server that exists. A node that
// has found no other within joinTimeout counts as alone.
func (n *Node) joining() bool {
	var d membership.Dump
	alone := false
	n.members.with(func(m *membership.Members) {
		d = m.Dump()
		alone = len(m.View()) == 1
	})
	return d.Joining && !(alone && time.Since(n.startedAt) > joinTimeout)
}

// joinTimeout is longer than a node without peers takes to announce itself in the
// log and to be found there.
const joinTimeout = 5 * time.Second

// Version implements ops.Node.
func (n *Node) Version() ops.Version {
	v := ops.Version{Node: n.id, Service: n.cfg.Service, DataCentre: n.cfg.DataCentre}
	if s := n.graph.state(); s != nil {
		v.Version = s.Version()
		v.AsOf = s.AsOf()
	}
	v.AgeMs = n.graph.dump().AgeMillis
	return v
}

// Members implements ops.Node.
func (n *Node) Members() []membership.Record { return n.members.view() }

// Explain implements ops.Node.
func (n *Node) Explain(requestID string) []explain.Event { return n.notes.Find(requestID) }

// Sync copies the counts that other packages keep into the counters of the node.
func (n *Node) Sync() {
	c := n.dispatch.Counts()
	n.counts.Attempts.Set(int64(c.Attempts))
	n.counts.ExtraAttempts.Set(int64(c.Retries))
	n.counts.ExtraRefused.Set(int64(c.OverBudget))
	n.counts.LateReplies.Set(int64(c.Unmatched))
	n.counts.Hedges.Set(int64(c.Hedges))
	n.counts.TransparentRetries.Set(int64(c.TransparentRetries))
	n.counts.Deferred.Set(int64(c.Deferred))
	outages := n.dispatch.Outages(time.Now())
	n.counts.DependencyLosses.Set(int64(outages.Counts.Lost))
	n.counts.DependencyRefusals.Set(int64(outages.Counts.Refused))
	n.counts.DependencyProbes.Set(int64(outages.Counts.Probes))
	n.counts.DependencyGivenUp.Set(int64(outages.GivenUp))
	n.counts.RateLimitedElsewhere.Set(int64(c.RateLimited))
	n.counts.RateLimited.Set(int64(n.server.dump(time.Now()).Counts.RateLimited))
	n.counts.StrayAnswers.Set(n.backend.StrayAnswers())
	n.counts.Contradictions.Set(n.backend.Contradictions())
	n.counts.InvalidAnswers.Set(n.backend.InvalidAnswers())
	n.counts.BackendConnsOpened.Set(n.backend.ConnectionsOpened())
}

// Gauges implements ops.Node.
func (n *Node) Gauges() []ops.Gauge {
	now := time.Now()
	s := n.server.dump(now)
	routes := n.routing.dump(now)
	gauges := []ops.Gauge{
		{Name: "routes_version", Value: float64(routes.Version)},
		{Name: "routes_age_seconds", Value: float64(routes.AgeMs) / 1000},
		{Name: "routes_proof_age_seconds", Value: n.quotas.proofAge().Seconds()},
		{Name: "routes_learned", Value: float64(len(routes.Reach))},
		{Name: "members", Value: float64(len(n.members.view()))},
		{Name: "connected_peers", Value: float64(len(n.peers.Connected()))},
		{Name: "requests_under_way", Value: float64(n.callerRequests.Load())},
		{Name: "running", Value: float64(s.Running)},
		{Name: "waiting", Value: float64(s.Queue.Waiting)},
		{Name: "concurrency_limit", Value: float64(s.Concurrency)},
		{Name: "backend_rate_limit", Value: rateLimitGauge(s.RateLimit)},
		{Name: "backend_starts_per_second", Value: s.RateLimit.StartsPerSecond},
		{Name: "admission_level", Value: float64(s.Gate.Level)},
		{Name: "backend_ready", Value: boolGauge(n.backendInstance().ready)},
	}
	gauges = append(gauges, n.quotaGauges()...)
	return append(gauges, n.budgetGauge(now))
}

// quotaGauges returns the numbers of parts of the quotas that this node owns.
func (n *Node) quotaGauges() []ops.Gauge {
	owned, shared := 0, 0
	n.quotas.with(func(now time.Time) {
		owned = len(n.quotas.leaseTerm.Parts(now))
		shared = len(n.quotas.leaseTerm.SharedParts(now))
	})
	return []ops.Gauge{
		{Name: "quota_parts", Value: float64(owned)},
		{Name: "quota_parts_shared", Value: float64(shared)},
	}
}

// budgetGauge returns the number of retry tokens in the budget that has the fewest.
func (n *Node) budgetGauge(now time.Time) ops.Gauge {
	g := ops.Gauge{Name: "retry_tokens_least", Value: n.cfg.Dispatch.Budget.Burst}
	for _, b := range n.dispatch.Dump(now).Budgets {
		g.Value = min(g.Value, b.Tokens)
	}
	return g
}

// rateLimitGauge returns the rate limit of the backend server, -1 if it names none.
func rateLimitGauge(s limit.RateState) float64 {
	if !s.Named {
		return -1
	}
	return s.PerSecond
}

// boolGauge returns 1 for true and 0 for false.
func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}
