package quota

import (
	"time"

	"github.com/cassialoom/cassialoom/wire"
	"github.com/cassialoom/cassialoom/workspace"
)

// Bank makes the tokens of the workspaces that this node owns, and lends them.
type Bank struct {
	cfg      Config
	accounts map[string]*account
	// asked is the number of the last question of each node. A question that was
	// overtaken by a later one is not answered: what it says of tokens held is old.
	asked map[wire.NodeID]uint64
}

// NewBank returns a Bank without accounts.
func NewBank(cfg Config) *Bank {
	return &Bank{cfg: cfg, accounts: make(map[string]*account), asked: make(map[wire.NodeID]uint64)}
}

// account is that of one workspace.
type account struct {
	// since is when the tenure began in which the account was opened.
	since  time.Time
	last   time.Time
	tokens float64
	lent   map[wire.NodeID]loan
}

// loan is what one node holds at most.
type loan struct {
	count uint32
	till  time.Time
}

// maxAsked bounds the nodes whose last question is remembered.
const maxAsked = 8192

// Accept reports whether a question of a node is newer than all before.
func (b *Bank) Accept(node wire.NodeID, number uint64) bool {
	if number <= b.asked[node] {
		return false
	}
	if len(b.asked) >= maxAsked {
		clear(b.asked)
	}
	b.asked[node] = number
	return true
}

// Lend answers what a node wants for a workspace with a quota that is limited. since is
// when the tenure of this node over the workspace began: an account of an earlier one
// is void, another node may have owned the workspace meanwhile.
func (b *Bank) Lend(now, since time.Time, node wire.NodeID, w Want, q workspace.Quota) Grant {
	a := b.account(now, since, w.Workspace)
	a.settle(now)
	delete(a.lent, node)
	depth := b.depth(now, a, q)
	a.earn(now, depth-float64(w.Held), b.cfg.rate(q))
	g := Grant{Workspace: w.Workspace, Now: min(w.Waiting, whole(a.tokens))}
	g.Short = g.Now < w.Waiting
	a.tokens -= float64(g.Now)
	g.Ahead = min(w.Ahead, whole(a.tokens-b.cfg.Reserve*depth))
	a.tokens -= float64(g.Ahead)
	// Tokens for requests that wait are used when they come, and hold up no new ones.
	if held := w.Held + g.Ahead; held > 0 {
		a.lent[node] = loan{count: held, till: now.Add(b.cfg.TokenLife)}
	}
	return g
}

func whole(tokens float64) uint32 { return uint32(max(0, tokens)) }

// depth is the most tokens that there may be now. The owner before may have lent all
// that there may be; until those have ended this one keeps to half.
func (b *Bank) depth(now time.Time, a *account, q workspace.Quota) float64 {
	depth := b.cfg.depth(q)
	if now.Sub(a.since) < b.cfg.TokenLife {
		depth = max(1, depth/2)
	}
	return depth
}

func (b *Bank) account(now, since time.Time, name string) *account {
	a, ok := b.accounts[name]
	if !ok || !a.since.Equal(since) {
		a = &account{since: since, last: since, lent: make(map[wire.NodeID]loan)}
		b.accounts[name] = a
	}
	return a
}

// settle drops loans that have ended.
func (a *account) settle(now time.Time) {
	for id, l := range a.lent {
		if !now.Before(l.till) {
			delete(a.lent, id)
		}
	}
}

// earn adds what the rate has brought since the last time, up to the depth less what is
// lent.
func (a *account) earn(now time.Time, depth, rate float64) {
	if passed := now.Sub(a.last); passed > 0 {
		a.tokens += passed.Seconds() * rate
		a.last = now
	}
	for _, l := range a.lent {
		depth -= float64(l.count)
	}
	a.tokens = max(0, min(a.tokens, depth))
}

// Keep closes the accounts of workspaces for which keep is false.
func (b *Bank) Keep(keep func(workspace string) bool) {
	for name := range b.accounts {
		if !keep(name) {
			delete(b.accounts, name)
		}
	}
}

// AccountState is one account in the state dump.
type AccountState struct {
	Workspace string  `json:"workspace"`
	Tokens    float64 `json:"tokens"`
	Lent      uint32  `json:"lent"`
	Nodes     int     `json:"nodes"`
}

// Dump returns the accounts, in no order.
func (b *Bank) Dump() []AccountState {
	out := make([]AccountState, 0, len(b.accounts))
	for name, a := range b.accounts {
		s := AccountState{Workspace: name, Tokens: a.tokens, Nodes: len(a.lent)}
		for _, l := range a.lent {
			s.Lent += l.count
		}
		out = append(out, s)
	}
	return out
}
