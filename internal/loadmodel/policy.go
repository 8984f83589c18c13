package loadmodel

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/queue"
)

// limiter bounds the calls under way at a backend server.
type limiter interface {
	Limit() int
	Begin(now time.Time) int
	End(now time.Time, s limit.Sample)
	Waiting(now time.Time, change int)
}

// callQueue holds calls until they may start.
type callQueue interface {
	Push(now time.Time, item queue.Item[*call]) []queue.Item[*call]
	Pop(now time.Time) (queue.Item[*call], bool)
	Remove(id uint64) (queue.Item[*call], bool)
	Expire(now time.Time) []queue.Item[*call]
	Shed(below uint16) []queue.Item[*call]
	Len() int
}

// Policy is an overload policy.
type Policy struct {
	Name string
	// Limit and Queue create the limit and the queue of one node. Only fixed limits use
	// slots.
	Limit func(slots int) limiter
	Queue func() callQueue
	// Admission enables admission control; Gate and Levels configure it.
	Admission bool
	Gate      admission.GateConfig
	Levels    admission.LevelsConfig
	// Cancel propagates deadlines and cancellation along the chain.
	Cancel bool
	// HopRetries is the number of retries at each hop.
	HopRetries int
	// AttemptTimeout ends an attempt without an answer. Zero means no timeout.
	AttemptTimeout time.Duration
}

// Production returns the policy of cassialoom.
func Production() Policy {
	return Policy{
		Name:      "cassialoom",
		Limit:     func(int) limiter { return limit.New(limit.DefaultConfig()) },
		Queue:     func() callQueue { return queue.New[*call](queue.DefaultConfig()) },
		Admission: true,
		Gate:      admission.DefaultGateConfig(),
		Levels:    admission.DefaultLevelsConfig(),
		Cancel:    true,
	}
}
