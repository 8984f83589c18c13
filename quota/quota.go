// Package quota enforces the quota of each workspace across all nodes.
//
// In any window of Config.Window, all nodes together admit at most the requests that
// the quota of a workspace allows, plus the configured overage and slack. This holds
// while nodes are partitioned, paused, killed or restarted.
//
// One node owns the quota of a workspace. Its TokenIssuer fills a token bucket
// at the rate of the quota and lends tokens to the nodes at which requests enter. A
// token client (TokenClient) on each of these nodes spends one token per request. Lent
// tokens that are not used count against the size of the bucket until they expire, so
// that the tokens of a crashed node become available again.
//
// The store decides which node owns which workspaces and grants it a lease (LeaseTerm). It
// may assign a workspace to another node while the lease of its owner lasts. Nodes with
// overlapping leases each issue tokens of another half of the quota, so all stay within it
// without exchanging state. The next owner starts with an empty bucket: the tokens of its
// predecessor were issued at the same rate.
//
// Two load patterns are handled: one workspace exceeds its usual load many times over
// at all nodes, and many workspaces send a few requests per second each, spread over so
// many nodes that a fixed share per node would reject most of them.
//
// The types do no I/O and read no clock: callers pass in times, all of one
// bootclock.Clock, and messages. No type is safe for concurrent use.
package quota

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/workspace"
)

// Config configures the enforcement of quotas.
type Config struct {
	// Parts is the number of partitions of the workspaces. Each partition has its own
	// owner. Zero disables quotas.
	Parts int
	// ReturnedTokenTTL is the TTL of a token whose request another check rejected, and
	// of a token lent to a waiting request. The owner counts both as used, so the TTL is
	// short: saved up, they would exceed the quota at once.
	ReturnedTokenTTL time.Duration
	// Window is the time over which a quota is enforced: at most the rate times the
	// window plus the burst. Overage, as a fraction of that sum, and Slack, in requests,
	// are the tolerated excess. If Window is zero, only the burst limits how many
	// requests are admitted at once.
	Window  time.Duration
	Overage float64
	Slack   float64
	// TokenTTL is the TTL of a prefetched token. A new owner assumes that
	// the tokens of its predecessor are outstanding for that long.
	TokenTTL time.Duration
	// Prefetch is the time of expected demand for which a node holds tokens. It covers
	// part of the time without an owner after a failover.
	Prefetch time.Duration
	// PrefetchEvery is the minimum interval between token requests while no request waits.
	PrefetchEvery time.Duration
	// WaitingReserve is the fraction of a full bucket that is lent only to waiting
	// requests, so that the prefetched tokens of a few nodes do not starve the others.
	WaitingReserve float64
	// ShortagePause is the pause between token requests after a node got fewer tokens than
	// its waiting requests need. It bounds the messages that a workspace far above its
	// quota causes.
	ShortagePause time.Duration
	// RetryDelay is the delay before a node asks again for a workspace that the answer
	// left out: the asked node does not own it any more, or does not know it yet.
	RetryDelay time.Duration
	// LeaseTTL is the TTL of an owner's lease at the store, and of one half of the quota.
	// ShortLeaseTTL is the TTL of the other half: a new owner of which it is unknown whether the
	// previous one has let go waits that long before it issues tokens.
	LeaseTTL, ShortLeaseTTL time.Duration
	// RenewInterval is the interval between renewals. It must be shorter than ShortLeaseTTL
	// by more than a round trip to the store.
	RenewInterval time.Duration
	// RequestTimeout is the timeout of a token request. It allows for several round trips
	// between data centres.
	RequestTimeout time.Duration
	// MaxWait is the maximum time for which a request waits for a token.
	MaxWait time.Duration
	// RetryAfter is the Retry-After for a workspace that has used up its quota.
	RetryAfter time.Duration
	// RetryAfterNoOwner is the Retry-After while no owner answers. By then another node
	// may have the lease.
	RetryAfterNoOwner time.Duration
}

// DefaultConfig returns the default settings, with quotas disabled.
func DefaultConfig() Config {
	return Config{
		TokenTTL:          3 * time.Second,
		ReturnedTokenTTL:  150 * time.Millisecond,
		Prefetch:          700 * time.Millisecond,
		PrefetchEvery:     200 * time.Millisecond,
		WaitingReserve:    0.25,
		ShortagePause:     100 * time.Millisecond,
		RetryDelay:        40 * time.Millisecond,
		LeaseTTL:          3 * time.Second,
		ShortLeaseTTL:     600 * time.Millisecond, // prefetched tokens cover it
		RenewInterval:     300 * time.Millisecond,
		RequestTimeout:    250 * time.Millisecond,
		MaxWait:           120 * time.Millisecond,
		RetryAfter:        time.Second,
		RetryAfterNoOwner: 500 * time.Millisecond,
	}
}

// refillRate returns the rate at which a token bucket fills, in tokens per second.
func (c Config) refillRate(q workspace.Quota) float64 {
	if c.Window <= 0 {
		return q.Rate
	}
	return q.Rate + q.Burst/c.Window.Seconds()
}

// bucketDepthShare is the fraction of the tolerated excess that becomes the depth of the
// token bucket. The refill rate alone uses up the quota, so a full bucket is excess. The
// rest of the excess covers tokens of an earlier owner and requests that are delayed on
// their way to the backend server.
const bucketDepthShare = 0.6

// bucketDepth returns the maximum number of tokens at any time, including lent ones.
func (c Config) bucketDepth(q workspace.Quota) float64 {
	if c.Window <= 0 {
		return max(1, q.Burst)
	}
	return max(1, bucketDepthShare*(c.Overage*(q.Rate*c.Window.Seconds()+q.Burst)+c.Slack))
}

// PartitionOf returns the partition of a workspace. If quotas are disabled it returns zero,
// which has no owner, so that a token request of a peer does not crash the process.
func (c Config) PartitionOf(workspace string) int {
	return int(xxhash.Sum64String(workspace) % uint64(max(1, c.Parts)))
}

// TokenRequest is a node's token request to the owner of one workspace.
type TokenRequest struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// Held is the number of unused tokens of the node.
	Held uint32
	// Waiting is the number of requests that wait for a token, Prefetch the number of
	// tokens wanted for expected requests (Config.Prefetch).
	Waiting, Prefetch uint32
}

// Urgent reports whether w justifies a message of its own: a request waits, or the
// tokens run low. Other token requests to the same owner are sent along with an urgent
// one.
func (w TokenRequest) Urgent() bool { return w.Waiting > 0 || 2*w.Held < w.Prefetch }

// Grant is an owner's answer to the token request for one workspace.
type Grant struct {
	_         struct{} `cbor:",toarray"`
	Workspace string
	// ForWaiting is the number of tokens for waiting requests, Prefetch the number of
	// prefetched tokens.
	ForWaiting, Prefetch uint32
	// Short is set if the node got fewer tokens than its waiting requests need.
	Short bool
}
