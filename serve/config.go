// Package serve decides, at the callee, about every attempt that reaches a
// node: whether it may run, when it runs, and what is answered.
//
// Server is a plain type: events and the time go in, Effects come out; it
// starts nothing and waits for nothing. It is not safe for concurrent use; the
// node calls it under one lock.
//
// What it guarantees to callers:
//   - An attempt (sender, Seq) is handed to the backend server at most once,
//     and never after the sender was told "not run".
//   - A key is handed to the backend server at most once by this incarnation,
//     and no other incarnation accepts it.
//   - While an attempt waits, none of lesser priority is started.
package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/queue"
	"github.com/cassialoom/cassialoom/wire"
)

// Config of a Server.
type Config struct {
	Self    wire.NodeID
	Service string
	Limit   limit.Config
	Queue   queue.Config
	Gate    admission.GateConfig
	Once    once.Config
	Poison  poison.Config
	// RefuseRetryAfter is proposed with refusals that have no measured
	// time of recovery, such as a drain: another node serves at once.
	RefuseRetryAfter time.Duration
	// SlotShare is the part of its stated slots that a backend server is
	// given at once. Some slow down when nearly all are in use, which costs
	// more than the last slots bring.
	SlotShare float64
	// TellOnly leaves the admission level to the nodes at which requests
	// enter. What arrives here then belongs to requests under way: refusing
	// it would waste what was spent on them, and only the queue's bounds do.
	TellOnly bool
	// Seed is for the times to come back that are proposed.
	Seed uint64
	// Policy leaves parts out, for experiments.
	Policy Policy
}

// Policy selects what a node does about overload.
type Policy uint8

const (
	// PolicyFull is the product: adaptive limit, queue by importance,
	// admission levels.
	PolicyFull Policy = iota
	// PolicyNone admits everything at once: the baseline of experiments.
	PolicyNone
	// PolicyFixed has a fixed limit and a queue in order of arrival: the
	// second baseline.
	PolicyFixed
)

// DefaultConfig returns the settings that the daemon starts from.
func DefaultConfig() Config {
	return Config{
		Limit:            limit.DefaultConfig(),
		Queue:            queue.DefaultConfig(),
		Gate:             admission.DefaultGateConfig(),
		Once:             once.DefaultConfig(),
		Poison:           poison.DefaultConfig(),
		SlotShare:        0.95,
		RefuseRetryAfter: 100 * time.Millisecond,
	}
}
