package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"slices"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/retry"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// server puts a lock around the callee's decisions and keeps, under the same
// lock, how to stop what runs: a stop that is decided after a start always
// finds it.
type server struct {
	mu      sync.Mutex
	serve   *serve.Server
	runs    map[uint64]*run
	byToken map[string]*run
	// byRequest finds a run by the id that the backend server knows.
	byRequest map[string]*run

	// queued is told when something begins to wait.
	queued chan struct{}

	mintMu  sync.Mutex
	mints   map[uint64]pendingMint
	mintSeq uint64
}

// run is one task at the backend server.
type run struct {
	task  *serve.Task
	token string
	ctx   context.Context
	stop  context.CancelFunc
	// ledger holds the extra attempts of the request's calls from here.
	ledger *retry.Ledger
	// calls is the number of calls for the task that are under way.
	calls int
	// touched is set when a call made for the task may have run: the task
	// itself can then no longer claim "not run".
	touched bool
	// callsFailed says that one of them failed.
	callsFailed bool
	// used is the slot time that calls made for the task took at each service.
	used []call.Use
}

func newServer(s *serve.Server) *server {
	return &server{
		serve:     s,
		runs:      make(map[uint64]*run),
		queued:    make(chan struct{}, 1),
		byToken:   make(map[string]*run),
		byRequest: make(map[string]*run),
		mints:     make(map[uint64]pendingMint),
	}
}

// do calls f under the lock. What it starts and stops is registered there;
// the rest is for the caller to act on.
func (s *server) do(f func(*serve.Server) serve.Effects) (serve.Effects, []*run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	waited := s.serve.Waiting()
	e := f(s.serve)
	if !waited && s.serve.Waiting() {
		select {
		case s.queued <- struct{}{}:
		default: // told already
		}
	}
	for _, id := range e.Stop {
		if r, ok := s.runs[id]; ok {
			r.stop()
		}
	}
	started := make([]*run, 0, len(e.Start))
	for _, t := range e.Start {
		started = append(started, s.register(t))
	}
	return e, started
}

func (s *server) register(t *serve.Task) *run {
	ctx, stop := context.WithDeadline(context.Background(), t.Deadline)
	r := &run{task: t, token: newToken(), ctx: ctx, stop: stop, ledger: retry.New(t.Request.Grant)}
	s.runs[t.ID] = r
	s.byToken[r.token] = r
	s.byRequest[t.Request.RequestID] = r
	return r
}

const tokenBytes = 16

// newToken names a running call to the backend server. It cannot be guessed:
// with another call's token a backend server could spend that call's grants.
func newToken() string {
	var b [tokenBytes]byte
	rand.Read(b[:]) // never fails (crypto/rand, Go 1.24)
	return hex.EncodeToString(b[:])
}

// ended takes a run out; its token is not known any more.
func (s *server) ended(r *run) (touched bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.runs, r.task.ID)
	delete(s.byToken, r.token)
	if s.byRequest[r.task.Request.RequestID] == r {
		delete(s.byRequest, r.task.Request.RequestID)
	}
	return r.touched || r.calls > 0
}

// running returns the run of the request that the backend server is working
// on, false if it is not.
func (s *server) running(requestID string) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byRequest[requestID]
	return r, ok
}

// waiting reports whether something waits beside the backend server.
func (s *server) waiting() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Waiting()
}

// use notes the slot time that a call made for a run took, at its service and below.
func (s *server) use(r *run, service string, out call.Outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.used = out.AddUses(r.used, service)
	r.callsFailed = r.callsFailed || !out.Served()
}

// used lists the slot time that the calls made for a run took, and tells whether any
// of them failed.
func (s *server) used(r *run) (uses []call.Use, callsFailed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(r.used), r.callsFailed
}

// find returns the run that a token names.
func (s *server) find(token string) (*run, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r, ok := s.byToken[token]
	return r, ok
}

// calling notes the begin or end of a call that a run makes.
func (s *server) calling(now time.Time, r *run, change int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.calls += change
	s.serve.Calling(now, r.task.ID, change)
}

func (s *server) touch(r *run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	r.touched = true
}

// busy reports whether the peer waits for an answer from here.
func (s *server) busy(id wire.NodeID) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Owes(id)
}

func (s *server) level(now time.Time) uint16 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Level(now)
}

func (s *server) exhausted() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Exhausted()
}

// tasks is the number of calls that wait or run beside the backend server.
func (s *server) tasks() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Tasks()
}

func (s *server) dump(now time.Time) serve.Dump {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.serve.Dump(now)
}
