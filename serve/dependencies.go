package serve

import (
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/verdict"
)

// Dependencies tells what becomes of the calls that a run is going to make.
type Dependencies interface {
	// RefuseFor returns the refusal of a request whose run needs the operations, nil if they
	// can be reached or waited for.
	RefuseFor(needed []outage.Target, r outage.Request) *verdict.Error
	// RepeatFloor returns the lowest priority for which there are extra attempts for a run
	// that makes the calls.
	RepeatFloor(now time.Time, calls []outage.Target) uint16
}

// SetDependencies sets what tells of calls. Without it nothing is lost, and nothing lacks extra
// attempts.
func (s *Server) SetDependencies(d Dependencies) { s.dependencies = d }

// checkDependencies returns, and counts, the refusal of a task that can't succeed because a service that it
// is sure to call is lost, nil if there is none. A task that was let through to notice the
// return of the service is not checked again.
func (s *Server) checkDependencies(now time.Time, t *Task) *verdict.Error {
	if s.dependencies == nil || t.dependenciesChecked {
		return nil
	}
	needed := s.needs.Of(now, t.Request.Operation)
	if len(needed) == 0 {
		return nil
	}
	err := s.dependencies.RefuseFor(needed, outage.Request{
		Runs:       true,
		Slots:      s.SlotsToShare(),
		Priority:   t.priority,
		Idempotent: t.Request.Idempotent,
	})
	t.dependenciesChecked = err == nil
	if err != nil {
		s.counts.DependencyLost++
	}
	return err
}

// repeatFloor returns the lowest priority for which there are extra attempts for a run of an
// operation.
func (s *Server) repeatFloor(now time.Time, operation string) uint16 {
	if s.dependencies == nil {
		return 0
	}
	return s.dependencies.RepeatFloor(now, s.needs.Called(operation))
}

// SlotsToShare returns the number of slots that the node fills, zero if it starts no further
// runs.
func (s *Server) SlotsToShare() int {
	if s.draining {
		return 0
	}
	return s.concurrency()
}

// recheckDependencies refuses a task that waited in the queue while a service that it needs was
// lost, and reports whether it did.
func (s *Server) recheckDependencies(now time.Time, t *Task, e *Effects) bool {
	if now.Sub(t.arrived) >= dependencyCheckInterval {
		t.dependenciesChecked = false
	}
	err := s.checkDependencies(now, t)
	if err == nil {
		return false
	}
	s.finishUnstarted(t, err, e)
	return true
}

// dependencyCheckInterval is the time in the queue after which a task is checked again.
const dependencyCheckInterval = 100 * time.Millisecond

// recordCalls records the calls of a successful task. An answer that the backend server marks as
// a failure of its own tells nothing.
func (s *Server) recordCalls(now time.Time, t *Task, r Result) {
	if call.Succeeded(r.Verdict, r.Reason, r.Status) {
		s.needs.Record(now, t.Request.Operation, r.Calls)
	}
}
