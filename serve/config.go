// Package serve implements the callee side of a node: for every attempt that
// reaches the node it decides whether the attempt may run, when it runs and
// what the reply is.
//
// Server is a state machine without I/O: its methods take events and the
// current time and return Effects for the node to carry out. It is not safe for
// concurrent use; the node calls it under one lock.
//
// Guarantees to callers:
//   - An attempt (sender, Seq) is handed to the backend server at most once,
//     and never after the sender has received verdict.NotRun for it.
//   - A key is handed to the backend server at most once by this incarnation,
//     and no other incarnation accepts it.
//   - While an attempt waits, no attempt of lower priority starts.
package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/queue"
	"github.com/cassialoom/cassialoom/wire"
)

// Config configures a Server.
type Config struct {
	Self    wire.NodeID
	Service string
	Limit   limit.Config
	Queue   queue.Config
	Gate    admission.GateConfig
	Once    once.Config
	Poison  poison.Config
	Needs   outage.NeedsConfig
	// RefuseRetryAfter is the Retry-After of refusals without a measured
	// recovery time, such as a drain. It is short: another node can serve the
	// request at once.
	RefuseRetryAfter time.Duration
	// IsolationSettle is the time after a backend server has become ready in which no suspect runs
	// there: until the nodes of the service agree on who is ready, two of them may each take itself for
	// the isolation node. Zero means none.
	IsolationSettle time.Duration
	// SlotShare is the fraction of the stated slots of a backend server that
	// the node fills. Some backend servers slow down when nearly all slots
	// are in use.
	SlotShare float64
	// PublishLevelOnly publishes the admission level without enforcing it here: only
	// the nodes at which requests enter shed by it. Attempts that arrive here
	// belong to requests already under way, whose finished work a refusal
	// would waste. The limits of the queue still apply.
	PublishLevelOnly bool
	// Seed seeds the jitter of Retry-After.
	Seed uint64
	// Policy disables parts of the overload control in experiments.
	Policy Policy
}

// Policy selects the overload control of a node.
type Policy uint8

const (
	// PolicyFull is the default: adaptive concurrency limit, queue ordered by
	// importance, admission levels.
	PolicyFull Policy = iota
	// PolicyNone starts every attempt at once; the baseline of experiments.
	PolicyNone
	// PolicyFixed has a fixed concurrency limit and a FIFO queue; the second
	// baseline.
	PolicyFixed
)

// DefaultConfig returns the defaults of the daemon. Self and Service are unset.
func DefaultConfig() Config {
	return Config{
		Limit:            limit.DefaultConfig(),
		Queue:            queue.DefaultConfig(),
		Gate:             admission.DefaultGateConfig(),
		Once:             once.DefaultConfig(),
		Poison:           poison.DefaultConfig(),
		Needs:            outage.DefaultNeedsConfig(),
		SlotShare:        0.95,
		RefuseRetryAfter: 100 * time.Millisecond,
	}
}
