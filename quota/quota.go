// Package quota keeps the requests of each workspace within its quota over all nodes
// together.
//
// What it guarantees: in any window no more requests of a workspace are let in, at all
// nodes, than its quota allows, and the overage and slack that an operator grants to
// mistakes. Nodes that are cut off, paused, killed or started anew keep to it.
//
// One node owns the quota of a workspace: its Bank makes tokens at the rate that the
// quota allows, one for each request, and lends them to the nodes at which requests enter; a Holder there
// takes one for each request. Tokens that are lent and not used count against the burst
// and end after a while, so that those of a node that is gone come back by themselves.
//
// Which node owns what is the store's word, a lease (Tenure). A node that cannot renew
// it makes no more tokens once the lease has ended by its own clock, before the store
// gives it to another. The next owner begins with none: what its predecessor lent was
// made at the same rate, so both together keep to the quota without knowing of each
// other.
//
// The load patterns that it answers: one workspace sends many times its usual, over all
// nodes; and many workspaces send a few requests a second each, over as many nodes, so
// that a fixed part for each node would turn away most of what they may send.
//
// All types here are plain: times and messages come in, decisions go out. Times are of
// one bootclock.Clock. None is safe for concurrent use.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/workspace"
)

// Config of the quotas.
type Config struct {
	// Parts is into how many parts the workspaces are divided, each with an owner of its
	// own. Zero: no quotas.
	Parts int
	// ReturnLife is the time for which a token may be used whose request was refused
	// elsewhere, and one that was lent for a request that has gone. The owner takes both
	// for used, so it must be short: many together would pass the quota at once.
	ReturnLife time.Duration
	// Window is the span in which a quota is counted: its rate times the window, and its
	// burst. Overage, as a part of that, and Slack, in requests, are what may be let in
	// beyond it by mistake. Without a window the burst alone may come at once.
	Window  time.Duration
	Overage float64
	Slack   float64
	// TokenLife is the time for which a lent token may be used. What the owner before
	// has lent is used up or ended then.
	TokenLife time.Duration
	// Ahead is the time for which a node keeps tokens for the requests that it expects:
	// the time without a new owner, when the last one is gone, is bridged in part.
	Ahead time.Duration
	// AheadEvery is the least time between two questions for tokens ahead alone.
	AheadEvery time.Duration
	// Reserve is the part of all tokens that is lent only for requests that wait, not
	// ahead of them: otherwise a few nodes hold what others need.
	Reserve float64
	// CloseFor is how long a node does not ask again that was lent less than its waiting
	// requests need, so that a workspace far above its quota costs each node a few
	// messages a second and not one for each request.
	CloseFor time.Duration
	// AskAgain is the time before a node asks again for a workspace of which its owner
	// said nothing: it owns it no more, or does not know it yet.
	AskAgain time.Duration
	// LeaseLife is the life of an owner's lease at the store, RenewEvery the time between
	// renewals.
	LeaseLife, RenewEvery time.Duration
	// AskTimeout is how long an owner's answer is awaited: several round trips between
	// data centres.
	AskTimeout time.Duration
	// WaitMost is how long a request waits for a token.
	WaitMost time.Duration
	// ComeBack is proposed to a caller whose workspace has used its quota.
	ComeBack time.Duration
	// UnknownComeBack is proposed while no owner answers: by then another node may have
	// the lease.
	UnknownComeBack time.Duration
}

// DefaultConfig returns the choices explained at Config, without parts.
func DefaultConfig() Config {
	return Config{
		TokenLife:       3 * time.Second,
		ReturnLife:      150 * time.Millisecond,
		Ahead:           700 * time.Millisecond,
		AheadEvery:      200 * time.Millisecond,
		Reserve:         0.25,
		CloseFor:        100 * time.Millisecond,
		AskAgain:        40 * time.Millisecond,
		LeaseLife:       3 * time.Second,
		RenewEvery:      700 * time.Millisecond,
		AskTimeout:      250 * time.Millisecond,
		WaitMost:        120 * time.Millisecond,
		ComeBack:        time.Second,
		UnknownComeBack: 500 * time.Millisecond,
	}
}

// rate is that at which tokens are made, in tokens a second.
func (c Config) rate(q workspace.Quota) float64 {
	if c.Window <= 0 {
		return q.Rate
	}
	return q.Rate + q.Burst/c.Window.Seconds()
}

// spareShare of what may be let in by mistake is the number of tokens that there may be
// at once. With the rate that uses up the quota itself: they are what a window may hold
// beyond it. The rest is for those that an earlier owner has lent, and for requests that
// reach their backend servers later than others.
const spareShare = 0.6

// depth is the most tokens that there may be at once, lent ones included.
func (c Config) depth(q workspace.Quota) float64 {
	if c.Window <= 0 {
		return max(1, q.Burst)
	}
	return max(1, spareShare*(c.Overage*(q.Rate*c.Window.Seconds()+q.Burst)+c.Slack))
}

// Part is the part that a workspace belongs to. Without parts it is the first, which
// nobody owns: a peer's question must not end the process.
func (c Config) Part(workspace string) int {
	return int(xxhash.Sum64String(workspace) % uint64(max(1, c.Parts)))
}

// Want is what a node asks an owner for one workspace.
type Want struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Held is the number of tokens that the node still has.
	Held uint32
	// Waiting is the number of requests that wait for a token, Ahead that of tokens
	// wanted for those that will come.
	Waiting, Ahead uint32
}

// Urgent reports whether the owner should be asked for this alone: a request waits, or
// the tokens run low. What else is wanted of the same owner goes with it.
func (w Want) Urgent() bool { return w.Waiting > 0 || 2*w.Held < w.Ahead }

// Grant is what the owner lends.
type Grant struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Now are tokens for requests that wait, Ahead those for requests that will come.
	Now, Ahead uint32
	// Short says that the node was lent less than its waiting requests need.
	Short bool
}
