package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/queue"
)

// Counts counts events since the node started.
type Counts struct {
	Arrived     uint64 `json:"arrived"`
	Misdirected uint64 `json:"misdirected"`
	Started     uint64 `json:"started"`
	Shed        uint64 `json:"shed"`
	// RateLimited counts attempts refused because of the backend server's rate limit.
	RateLimited uint64 `json:"rate_limited"`
	// DependencyLost counts attempts refused because a service that they need can't be
	// reached.
	DependencyLost uint64 `json:"dependency_lost"`
	Expired        uint64 `json:"expired"`
	Canceled       uint64 `json:"canceled"`
	Duplicates     uint64 `json:"duplicates"`
	PoisonRequest  uint64 `json:"poison"`
	Crashes        uint64 `json:"crashes"`
	Joined         uint64 `json:"joined"`
	Replayed       uint64 `json:"replayed"`
	// NotIsolated counts suspects that were refused since their isolated run would hold back
	// other requests for too long.
	NotIsolated uint64 `json:"not_isolated"`
	// Pauses counts how often this process did not run for a while.
	Pauses uint64 `json:"pauses"`
}

// Dump is a snapshot of a Server for operators.
type Dump struct {
	Ready    bool `json:"backend_ready"`
	Crashed  bool `json:"backend_crashed"`
	Draining bool `json:"draining"`
	// FaultsPercent is the recent share of requests that the backend server did
	// not answer, or answered with a failure of its own.
	FaultsPercent uint8 `json:"backend_faults_percent"`
	Running       int   `json:"running"`
	// Concurrency is the number of tasks that may run at once.
	Concurrency int         `json:"concurrency"`
	Parked      int         `json:"waiting_for_binding"`
	Isolated    bool        `json:"running_alone"`
	Counts      Counts      `json:"counts"`
	Limit       limit.State `json:"limit"`
	// RateLimit is the limit that the backend server names.
	RateLimit limit.RateState     `json:"rate_limit"`
	Queue     queue.State         `json:"queue"`
	Gate      admission.GateState `json:"admission"`
	Poison    poison.Dump         `json:"poison"`
	Senders   once.SendersState   `json:"senders"`
	Keys      once.KeysState      `json:"keys"`
	Bindings  once.BinderState    `json:"bindings"`
}

// Dump returns a snapshot of the state at now.
func (s *Server) Dump(now time.Time) Dump {
	return Dump{
		Ready:    s.ready,
		Crashed:  s.crashed,
		Draining: s.draining,

		FaultsPercent: s.faults.percent(),

		Running:     len(s.running),
		Concurrency: s.concurrency(),
		Parked:      len(s.parked),
		Isolated:    s.isolated != nil,
		Counts:      s.counts,
		Limit:       s.limit.Dump(),
		RateLimit:   s.rate.Dump(now),
		Queue:       s.queue.Dump(now),
		Gate:        s.gate.Dump(),
		Poison:      s.guard.Dump(now),
		Senders:     s.senders.Dump(),
		Keys:        s.keys.Dump(),
		Bindings:    s.binder.Dump(),
	}
}
