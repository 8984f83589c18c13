package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// server guards the callee's state with a lock. The runs are registered under
// the same lock, so that a stop decided after a start always finds its run.
type server struct {
	mu    sync.Mutex
	serve *serve.Server
	// lastEvent is the time of the last event that do passed on.
	lastEvent time.Time

	runs    map[uint64]*run
	byToken map[string]*run
	// byRequest finds a run by its request id, which the backend server knows.
	byRequest map[string]*run

	// taskWaiting receives a value when a task begins to wait and none waited before.
	taskWaiting chan struct{}

	mintMu  sync.Mutex
	mints   map[uint64]pendingMint
	mintSeq uint64
}

// run is one task that the backend server executes.
type run struct {
	task  *serve.Task
	token string
	ctx   context.Context
	stop  context.CancelFunc
	// ledger holds the extra attempts for the calls that the task makes.
	ledger *retry.Ledger
	// calls is the number of calls in flight that the task has made.
	calls int
	// callMayHaveRun is set when a call made by the task may have run: the result of
	// the task can then no longer be "not run".
	callMayHaveRun bool
	// callsFailed is set when a call made by the task has failed.
	callsFailed bool
	// dependencyLost is set when a call made by the task failed because a service can't be
	// reached.
	dependencyLost bool
	// callUse is the slot time that the calls made by the task took at each service.
	callUse []call.SlotTime
	// targets tells for each target that the task has called whether a call succeeded.
	targets []outage.Call
}

func newServer(s *serve.Server) *server {
	return &server{
		serve:       s,
		runs:        make(map[uint64]*run),
		taskWaiting: make(chan struct{}, 1),
		byToken:     make(map[string]*run),
		byRequest:   make(map[string]*run),
		mints:       make(map[uint64]pendingMint),
	}
}

// maxEventGap is the longest time between two events of a process that runs: a tick comes at
// least every idleTick.
const maxEventGap = time.Second

// notePause tells the callee's state of a pause of this process, and returns its length or zero.
// The caller holds the lock.
func (s *server) notePause(now time.Time) time.Duration {
	gap := now.Sub(s.lastEvent)
	first := s.lastEvent.IsZero()
	if gap > 0 {
		s.lastEvent = now
	}
	if first || gap <= maxEventGap {
		return 0
	}
	s.serve.Resumed(now)
	return gap
}

// do calls f under the lock, stops the runs that f ends and registers those that
// it starts. The caller starts the returned runs and carries out the other effects. paused is
// the length of a pause of this process that has just ended, or zero.
func (s *server) do(now time.Time, f func(*serve.Server) serve.Effects) (e serve.Effects, started []*run, paused time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	paused = s.notePause(now)
	hadWaiting := s.serve.HasWaiting()
	e = f(s.serve)
	if !hadWaiting && s.serve.HasWaiting() {
		select {
		case s.taskWaiting <- struct{}{}:
		default: // already signalled
		}
	}
	for _, id := range e.Stop {
		if r, ok := s.runs[id]; ok {
			r.stop()
		}
	}
	started = make([]*run, 0, len(e.Start))
	for _, t := range e.Start {
		started = append(started, s.register(t))
	}
	return e, started, paused
}

// register creates the run of a task. The caller holds the lock.
func (s *server) register(t *serve.Task) *run {
	ctx, stop := context.WithDeadline(context.Background(), t.Deadline)
	r := &run{task: t, token: newToken(), ctx: ctx, stop: stop, ledger: retry.NewLedger(t.Request.Grant)}
	s.runs[t.ID] = r
	s.byToken[r.token] = r
	s.byRequest[t.Request.RequestID] = r
	return r
}

const tokenBytes = 16

// newToken returns a token by which the backend server names a running task. It
// cannot be guessed: with the token of another task a backend server could spend
// that task's extra attempts.
func newToken() string {
	var b [tokenBytes]byte
	rand.Read(b[:]) // never fails (crypto/rand, Go 1.24)
	return hex.EncodeToString(b[:])
}

// removeRun removes a run and its token, and reports whether a call made by it may
// have run.
func (s *server) removeRun(r *run) (callMayHaveRun bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r.task.ID)
	delete(s.byToken, r.token)
	if s.byRequest[r.task.Request.RequestID] == r {
		delete(s.byRequest, r.task.Request.RequestID)
	}
	return r.callMayHaveRun || r.calls > 0
}

// runOfRequest returns the run of a request, or false if the backend server is not
// working on it.
func (s *server) runOfRequest(requestID string) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byRequest[requestID]
	return r, ok
}

// waiting reports whether a task waits.
func (s *server) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.HasWaiting()
}

// addCall adds a call that a run has made: its result, and the slot time that it took at its
// service and at the services that it called in turn.
func (s *server) addCall(r *run, op *graph.Operation, out call.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.callUse = out.AddSlotTimes(r.callUse, op.Service)
	r.callsFailed = r.callsFailed || !out.Succeeded()
	r.dependencyLost = r.dependencyLost || out.LacksDependency()
	target := outage.Target{Service: op.Service, Operation: op.Name}
	r.targets = outage.Add(r.targets, target, out.Succeeded())
}

// slotsToShare returns the number of slots that the node fills, zero if it starts no further
// runs.
func (s *server) slotsToShare() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.SlotsToShare()
}

// addCallResults adds what the calls made by a run have shown to its result.
func (s *server) addCallResults(r *run, result *serve.Result) {
	s.mu.Lock()
	defer s.mu.Unlock()
	result.SlotTimeUsed = slices.Clone(r.callUse)
	result.CallsFailed = r.callsFailed
	result.DependencyLost = r.dependencyLost
	result.Calls = slices.Clone(r.targets)
}

// runByToken returns the run with a token, or false if there is none.
func (s *server) runByToken(token string) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byToken[token]
	return r, ok
}

// countCall records the start (change 1) or end (change -1) of a call made by a run.
func (s *server) countCall(now time.Time, r *run, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.calls += change
	s.serve.OutgoingCallsChanged(now, r.task.ID, change)
}

// noteCallMayHaveRun records that a call made by a run may have run.
func (s *server) noteCallMayHaveRun(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.callMayHaveRun = true
}

// owesReply reports whether the peer waits for a reply from this node.
func (s *server) owesReply(id wire.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.OwesReply(id)
}

// level returns the admission level of the service, zero if all is admitted.
func (s *server) level(now time.Time) uint16 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Level(now)
}

// learnRateLimit applies a rate limit that the backend server did not name to this process.
func (s *server) learnRateLimit(now time.Time, perSecond float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve.LearnRateLimit(now, perSecond)
}

// heard records that the present backend incarnation has reported.
func (s *server) heard(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve.Heard(now)
}

// learnLoad applies what the backend server says about its load at the start of the node.
func (s *server) learnLoad(now time.Time, busy int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve.LearnLoad(now, busy)
}

// rateLimitChanges returns how often the rate limit has changed.
func (s *server) rateLimitChanges() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.RateLimitChanges()
}

// rateLimit returns the number of requests a second that the backend server takes, and
// false if it names no limit.
func (s *server) rateLimit() (perSecond float64, limited bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.RateLimit()
}

// exhausted reports whether calls of nodes that start from now on are refused.
func (s *server) exhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Exhausted()
}

// draining reports whether the callee runs no call that arrives from now on.
func (s *server) draining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Draining()
}

func (s *server) usedKeys(now time.Time) []once.UsedKeys {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.UsedKeys(now)
}

func (s *server) keepUsedKeys(now time.Time, list once.UsedKeys) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.serve.KeepUsedKeys(now, list)
}

// tasks returns the number of calls that wait or run.
func (s *server) tasks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.TaskCount()
}

func (s *server) dump(now time.Time) serve.Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Dump(now)
}
