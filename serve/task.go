package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// waiter is one attempt that gets a task's answer. A task has its own and, when
// callers sent the same key again while it was running, those that joined it.
type waiter struct {
	from wire.NodeID
	seq  uint64
}

// recipient is a waiter and the connection that its attempt came by.
type recipient struct {
	waiter
	via uint64
}

func recipientOf(r *call.Request) recipient {
	return recipient{waiter: waiter{from: r.From, seq: r.Seq}, via: r.Via}
}

// Task is one request that this node has taken: it waits for its turn or runs
// at the backend server.
type Task struct {
	ID        uint64
	Request   call.Request
	Operation *graph.Operation
	Deadline  time.Time

	waiter   waiter
	priority uint16
	class    uint32
	// arrived and started are when it came and when it was handed over.
	arrived, started time.Time
	// heldUntil is when a resend with the same key stops being safe.
	heldUntil time.Time
	// alone says that nothing else may run beside it.
	alone bool
	// inFlight is the number of tasks that ran when this one began.
	inFlight int
	// calls is the number of calls of its own that it waits for, since
	// waitSince; downstream is the time that it has waited for them.
	calls      int
	waitSince  time.Time
	downstream time.Duration
}

// Waited is the time that the task waited for its turn.
func (t *Task) Waited() time.Duration { return t.started.Sub(t.arrived) }

// Result is what became of a task that was handed to the backend server.
type Result struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	Detail  string
	// RetryAfter is what the backend server proposed.
	RetryAfter time.Duration
	// Status, Header and Body are the backend server's answer; Status is
	// zero when there was none.
	Status int
	Header []call.Field
	Body   []byte
	// Latency is from the hand-over to the answer.
	Latency time.Duration
	// Crashed says that the backend server's process ended while the task
	// ran there.
	Crashed bool
	// Offered says that a request which did not run had reached the backend
	// server.
	Offered bool
	// CallsFailed says that a call which the task made failed: a failure that
	// the backend server answers may not be its own.
	CallsFailed bool
	// Used is the slot time that calls made for the task took at each service
	// that they reached.
	Used []call.Use
	// Unused is what is left of the request's grant of extra attempts.
	Unused uint32
}

// Tell is what one other node of the service must know before a request that
// is sent there arrives.
type Tell struct {
	To      wire.NodeID
	Notices []poison.Notice
}

// Effects are what the shell has to do after an event, in this order.
type Effects struct {
	// Notices go to all nodes of this node's service.
	Notices []poison.Notice
	Tell    []Tell
	// Stop lists running tasks that nobody waits for any more.
	Stop []uint64
	// Start lists tasks to hand to the backend server now.
	Start []*Task
	// Replies are to be sent to their To.
	Replies []call.Reply
}

func (e *Effects) reply(r call.Reply) { e.Replies = append(e.Replies, r) }
