package quota

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
	"github.com/cassialoom/cassialoom/workspace"
)

// TokenIssuer issues the tokens of the workspaces that this node owns. It lends them to the
// nodes at which requests enter.
type TokenIssuer struct {
	cfg     Config
	buckets map[string]*bucket
	// lastRequest is the number of the last token request of each node. Older requests
	// are rejected: their count of held tokens is out of date.
	lastRequest map[wire.NodeID]uint64
}

// NewTokenIssuer returns a TokenIssuer without token buckets.
func NewTokenIssuer(cfg Config) *TokenIssuer {
	return &TokenIssuer{cfg: cfg, buckets: make(map[string]*bucket), lastRequest: make(map[wire.NodeID]uint64)}
}

// bucket is the token bucket of one workspace.
type bucket struct {
	// termStart is the start of the tenure in which the bucket was created.
	termStart  time.Time
	refilledAt time.Time
	tokens     float64
	loans      map[wire.NodeID]loan
}

// loan is the maximum number of tokens that one node holds.
type loan struct {
	count     uint32
	expiresAt time.Time
}

// maxNodesRemembered bounds the number of nodes whose last request number is kept.
const maxNodesRemembered = 8192

// Accept reports whether a token request is newer than all earlier ones of the node.
func (b *TokenIssuer) Accept(node wire.NodeID, number uint64) bool {
	if number <= b.lastRequest[node] {
		return false
	}
	if len(b.lastRequest) >= maxNodesRemembered {
		clear(b.lastRequest)
	}
	b.lastRequest[node] = number
	return true
}

// GrantTokens answers a node's token request for a workspace with a limited quota. The bucket
// of an earlier tenure is discarded, because another node may have owned the workspace in
// between.
func (b *TokenIssuer) GrantTokens(now time.Time, t Tenure, node wire.NodeID, w TokenRequest, q workspace.Quota) Grant {
	a := b.bucket(t, w.Workspace)
	a.dropExpiredLoans(now)
	delete(a.loans, node)
	bucketDepth := b.bucketDepth(now, t, q)
	a.refill(now, t, bucketDepth-float64(w.Held), b.cfg.refillRate(q))
	g := Grant{Workspace: w.Workspace, ForWaiting: min(w.Waiting, wholeTokens(a.tokens))}
	g.Short = g.ForWaiting < w.Waiting
	a.tokens -= float64(g.ForWaiting)
	g.Prefetch = min(w.Prefetch, wholeTokens(a.tokens-b.cfg.WaitingReserve*bucketDepth))
	a.tokens -= float64(g.Prefetch)
	// Tokens for waiting requests are used on arrival and need no loan.
	if held := w.Held + g.Prefetch; held > 0 {
		a.loans[node] = loan{count: held, expiresAt: now.Add(b.cfg.TokenTTL)}
	}
	return g
}

func wholeTokens(tokens float64) uint32 { return uint32(max(0, tokens)) }

// bucketDepth returns the current depth of a bucket. The previous owner may have lent a full
// bucket; until those tokens have expired the depth is halved. So it is while another node may
// use a half of the quota.
func (b *TokenIssuer) bucketDepth(now time.Time, t Tenure, q workspace.Quota) float64 {
	bucketDepth := b.cfg.bucketDepth(q)
	if t.Share(now) < 1 || now.Sub(t.long.from) < b.cfg.TokenTTL {
		bucketDepth = max(1, bucketDepth/2)
	}
	return bucketDepth
}

// bucket returns the bucket of a workspace in the current tenure, empty if it is new.
func (b *TokenIssuer) bucket(t Tenure, name string) *bucket {
	a, ok := b.buckets[name]
	if !ok || !a.termStart.Equal(t.Start) {
		a = &bucket{termStart: t.Start, refilledAt: t.Start, loans: make(map[wire.NodeID]loan)}
		b.buckets[name] = a
	}
	return a
}

func (a *bucket) dropExpiredLoans(now time.Time) {
	for id, l := range a.loans {
		if !now.Before(l.expiresAt) {
			delete(a.loans, id)
		}
	}
}

// refill adds the tokens for the time since the last refill, up to the depth minus the
// outstanding loans.
func (a *bucket) refill(now time.Time, t Tenure, depth, rate float64) {
	if now.After(a.refilledAt) {
		a.tokens += t.accrued(a.refilledAt, now).Seconds() * rate
		a.refilledAt = now
	}
	for _, l := range a.loans {
		depth -= float64(l.count)
	}
	a.tokens = max(0, min(a.tokens, depth))
}

// Retain drops the buckets of workspaces for which keep returns false.
func (b *TokenIssuer) Retain(keep func(workspace string) bool) {
	for name := range b.buckets {
		if !keep(name) {
			delete(b.buckets, name)
		}
	}
}

// AccountState is the token bucket of one workspace in the state dump.
type AccountState struct {
	Workspace string  `json:"workspace"`
	Tokens    float64 `json:"tokens"`
	Lent      uint32  `json:"lent"`
	Nodes     int     `json:"nodes"`
}

// Dump returns the state of all buckets, in no particular order.
func (b *TokenIssuer) Dump() []AccountState {
	out := make([]AccountState, 0, len(b.buckets))
	for name, a := range b.buckets {
		s := AccountState{Workspace: name, Tokens: a.tokens, Nodes: len(a.loans)}
		for _, l := range a.loans {
			s.Lent += l.count
		}
		out = append(out, s)
	}
	return out
}
