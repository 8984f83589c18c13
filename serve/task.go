package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// waiter identifies an attempt that waits for the answer of a task. Besides its
// own attempt, a task answers those that joined it with the same key while it ran.
type waiter struct {
	from wire.NodeID
	seq  uint64
}

// recipient is a waiter and the connection on which its attempt arrived.
type recipient struct {
	waiter
	connNumber uint64
}

func recipientOf(r *call.Request) recipient {
	return recipient{waiter: waiter{from: r.From, seq: r.Seq}, connNumber: r.ConnNumber}
}

// Task is a request that this node has accepted. It waits, or runs at the backend
// server.
type Task struct {
	ID        uint64
	Request   call.Request
	Operation *graph.Operation
	Deadline  time.Time

	waiter   waiter
	priority uint16
	class    uint32 // hash of the operation, for the expected run time
	// arrived is the time of arrival; started is the time of the hand-over to
	// the backend server.
	arrived, started time.Time
	// heldUntil is the time until which a resend with the same key is safe.
	heldUntil time.Time
	// boundHere is set if its caller-made key is bound to this node, so that no other
	// one may run the task.
	boundHere bool
	// mustIsolate is set if nothing else may run at the same time.
	mustIsolate bool
	// dependenciesChecked is set if the services that it needs could be reached, or if it
	// was let through to find out.
	dependenciesChecked bool
	// inFlight is the number of tasks that ran when this one began.
	inFlight int
	// openCalls is the number of its open outgoing calls, callsSince the time
	// at which that number became positive, and callTime the total of earlier
	// periods with open calls.
	openCalls  int
	callsSince time.Time
	callTime   time.Duration
	// incarnation is Server.incarnation when the task was handed over.
	incarnation uint64
}

// Waited returns the time from the arrival of the task to its start.
func (t *Task) Waited() time.Duration { return t.started.Sub(t.arrived) }

// Result is the outcome of a task that was handed to the backend server.
type Result struct {
	Verdict verdict.Verdict
	Reason  verdict.Reason
	Detail  string
	// RetryAfter is the Retry-After of the backend server's answer.
	RetryAfter time.Duration
	// Status, Header and Body are the backend server's answer; Status is zero
	// if there was none.
	Status int
	Header []call.Field
	Body   []byte
	// Latency is the time from the hand-over to the answer.
	Latency time.Duration
	// Crashed reports that the backend server's process ended while it ran
	// the task.
	Crashed bool
	// Gone reports that the backend server's process had ended before it got the task.
	Gone bool
	// ReachedBackend reports, for a request that did not run, that it had reached
	// the backend server.
	ReachedBackend bool
	// Answered reports that the backend server sent an answer. Limit is then what the
	// answer says about its rate limit; LimitUnreadable reports that it can't be parsed.
	Answered bool
	// Slowdown is how many times as long as usual work takes at present, as the answer
	// says; zero if it does not say so.
	Slowdown float64
	// Busy is the number of requests that the backend server runs or queues, as the answer
	// says. It is valid if Slowdown is.
	Busy            int
	Limit           limit.Statement
	LimitUnreadable bool
	// CallsFailed reports that an outgoing call of the task failed, which may
	// have caused a failure answered by the backend server.
	CallsFailed bool
	// DependencyLost reports that one of them could not be sent, or was refused for that
	// reason.
	DependencyLost bool
	// Calls tells for each target that the task has called whether a call succeeded.
	Calls []outage.Call
	// SlotTimeUsed is the slot time that the calls made for the task used at each
	// service that they reached.
	SlotTimeUsed []call.SlotTime
	// UnusedGrant is the unused part of the request's grant of extra attempts.
	UnusedGrant uint32
}

// DirectNotices lists notices that one other node of the service must receive before a
// redirected request arrives there.
type DirectNotices struct {
	To      wire.NodeID
	Notices []poison.Notice
}

// SuspicionChange is a change of what this node believes of a request that may crash backend
// servers.
type SuspicionChange struct {
	poison.Change
	// RequestID is empty if a peer reported the change.
	RequestID string
}

// Effects are the actions that the node performs after an event, in the order of
// the fields.
type Effects struct {
	// Notices go to all nodes of the service.
	Notices       []poison.Notice
	DirectNotices []DirectNotices
	// SuspicionChanges are for the log.
	SuspicionChanges []SuspicionChange
	// Stop lists the IDs of running tasks to cancel.
	Stop []uint64
	// Start lists the tasks to hand to the backend server now.
	Start []*Task
	// Replies are sent to the node in their To field.
	Replies []call.Reply
}

// noteSuspicions adds the latest changes of the guard, with the ids of the requests concerned as
// far as they are known here.
func (s *Server) noteSuspicions(e *Effects, known ...content) {
	for _, c := range s.guard.TakeChanges() {
		change := SuspicionChange{Change: c}
		for _, k := range known {
			if k.fingerprint == c.Fingerprint {
				change.RequestID = k.requestID
			}
		}
		e.SuspicionChanges = append(e.SuspicionChanges, change)
	}
}

func (e *Effects) reply(r call.Reply) { e.Replies = append(e.Replies, r) }
