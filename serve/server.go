package serve

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/outage"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/queue"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Server is the callee side of one node. It is not safe for concurrent use.
type Server struct {
	cfg     Config
	senders *once.Senders
	mint    *once.Mint
	keys    *once.Keys[answer, recipient]
	binder  *once.Binder
	ended   *once.EndedHolders
	limit   *limit.Limiter
	rate    limit.Rate
	queue   *queue.Queue[*Task]
	gate    *admission.Gate
	guard   *poison.Guard
	random  *rand.Rand
	faults  faults
	pace    limit.Pace
	// isolation bounds the time for which isolated runs hold back others.
	isolation isolationBudget
	// occupancy is the work of others at the backend server.
	occupancy limit.Occupancy
	// needs are the calls that runs make, dependencies tells which of them can't be sent.
	needs        *outage.Needs
	dependencies Dependencies

	tasks   map[uint64]*Task   // waiting or running
	running map[uint64]*Task   // handed to the backend server
	byCall  map[waiter]uint64  // task ID by attempt, for cancellation
	parked  map[string][]*Task // by key; they wait for its binding
	// parkedBytes is the total size of the bodies of parked requests.
	parkedBytes int
	isolated    *Task // the isolated task, waiting or running
	// unanswered are the runs that may have crashed the backend server without a sign.
	unanswered     unansweredRuns
	peers          []wire.NodeID       // ready nodes of the service, including this one
	pendingReplies map[wire.NodeID]int // pending replies by sending node
	nextID         uint64
	// meanRunTime is a moving average of the time that the backend server takes, including
	// the calls that it makes; zero before the first answer.
	meanRunTime time.Duration
	// incarnation counts the backend incarnations that this node has had.
	incarnation uint64
	slots       int  // usable slots that the backend server stated; zero if unknown
	ready       bool // the backend server accepts requests
	readySince  time.Time
	crashed     bool // it crashed and has not announced itself since
	draining    bool
	drainedAt   time.Time // when the drain began
	counts      Counts
}

// New returns the Server of an incarnation that started at start. It refuses
// work until SetReady. secret must be random and new for each incarnation.
func New(cfg Config, secret [once.SecretLen]byte, start time.Time) *Server {
	return &Server{
		cfg:            cfg,
		senders:        once.NewSenders(cfg.Once),
		mint:           once.NewMint(cfg.Once, cfg.Self, secret, start),
		keys:           once.NewKeys[answer, recipient](cfg.Once, start, answerSize),
		binder:         once.NewBinder(cfg.Once, cfg.Self, start),
		ended:          once.NewEndedHolders(cfg.Once),
		limit:          limit.New(cfg.Limit),
		queue:          queue.New[*Task](cfg.Queue),
		gate:           admission.NewGate(cfg.Gate),
		guard:          poison.New(cfg.Poison, cfg.Self),
		random:         rand.New(rand.NewPCG(cfg.Seed, 0)),
		needs:          outage.NewNeeds(cfg.Needs),
		tasks:          make(map[uint64]*Task),
		running:        make(map[uint64]*Task),
		byCall:         make(map[waiter]uint64),
		pendingReplies: make(map[wire.NodeID]int),
		parked:         make(map[string][]*Task),
	}
}

// Resumed records that this process was paused until now, by its host or by a debugger. What it
// measured meanwhile says nothing about the backend server.
func (s *Server) Resumed(now time.Time) {
	s.counts.Pauses++
	s.limit.Resumed(now)
	s.queue.Resumed(now)
}

// SetPeers sets the ready nodes of the service, including this one.
func (s *Server) SetPeers(peers []wire.NodeID) { s.peers = peers }

// SetReady sets whether the backend server accepts requests, as it says. Waiting tasks are
// refused when it does not.
func (s *Server) SetReady(now time.Time, ready bool) Effects {
	var e Effects
	if ready && !s.ready {
		s.readySince = now
	}
	s.ready = ready
	if ready {
		s.crashed = false
		s.startQueued(now, &e)
		return e
	}
	s.unanswered.forget()
	s.refuseWaiting(now, verdict.NoBackend, &e)
	return e
}

// Heard records that the present backend incarnation has reported.
func (s *Server) Heard(now time.Time) { s.unanswered.lastSign = now }

// Silent records that nothing is heard from the backend server any more. Waiting tasks are refused.
func (s *Server) Silent(now time.Time) Effects {
	var e Effects
	s.ready = false
	s.refuseWaiting(now, verdict.NoBackend, &e)
	return e
}

// SetSlots sets the number of requests that the backend server states it can
// process at once; zero means unknown. A known number replaces the measured
// limit, which latencies that include outgoing calls distort.
func (s *Server) SetSlots(now time.Time, slots int) Effects {
	var e Effects
	s.slots = max(0, int(float64(slots)*s.cfg.SlotShare))
	if slots > 0 {
		s.slots = max(1, s.slots)
	}
	s.startQueued(now, &e)
	return e
}

// Drain refuses all further attempts and those that wait, so that another node
// serves them at once. Running tasks continue. Tasks that wait with a caller-made key
// may start for another boundKeyGrace, since no other node may run them.
func (s *Server) Drain(now time.Time) Effects {
	var e Effects
	if !s.draining {
		s.draining, s.drainedAt = true, now
	}
	s.refuseWaiting(now, verdict.Draining, &e)
	return e
}

// Draining reports whether Drain was called: no call that arrives from now on will run.
func (s *Server) Draining() bool { return s.draining }

// boundKeyGrace is how long tasks with caller-made keys may start after a drain began. With
// the grace that precedes the drain it stays within the 3 s in which a leaving backend
// server may receive new requests.
const boundKeyGrace = 1500 * time.Millisecond

// mayStartDraining reports whether a task may start although the node drains.
func (s *Server) mayStartDraining(now time.Time, t *Task) bool {
	return t.boundHere && !t.arrived.After(s.drainedAt) && now.Sub(s.drainedAt) < boundKeyGrace
}

// TaskCount returns the number of tasks that wait or run, plus the number of keys
// whose requests wait for a binding.
func (s *Server) TaskCount() int { return len(s.tasks) + len(s.parked) }

// HasWaiting reports whether a task waits in the queue, for the binding of its key
// or for an isolated run, so that Tick must be called.
func (s *Server) HasWaiting() bool {
	return s.queue.Len() > 0 || len(s.parked) > 0 || s.waitsForIsolation()
}

// Arrive handles an attempt. op is nil if the configuration does not declare the
// operation; configured is false while the node has no configuration.
func (s *Server) Arrive(now time.Time, req call.Request, op *graph.Operation, configured bool) Effects {
	var e Effects
	s.counts.Arrived++
	// The attempt was sent to an earlier incarnation at this address and may
	// have run there, so NotRun could be wrong. The sender learns that it is
	// lost when its connection closes.
	if req.To != s.cfg.Self {
		s.counts.Misdirected++
		return e
	}
	if s.senders.Refuses(req.From) {
		e.reply(s.refusal(req, verdict.Refuse(verdict.Shed, "no capacity for another sender; this node must be replaced")))
		return e
	}
	// A duplicate of an attempt gets no reply: any reply could contradict the
	// answer to the first copy, which may have been NotRun.
	if !s.senders.Accept(req.From, req.Seq) {
		s.counts.Duplicates++
		return e
	}
	s.pendingReplies[req.From]++
	if err := s.precheck(req, op, configured); err != nil {
		s.reply(&e, s.refusal(req, err))
		return e
	}
	for _, notice := range req.Suspicions {
		e.Notices = append(e.Notices, s.guard.Receive(now, notice)...)
	}
	t := s.newTask(now, req, op)
	s.noteSuspicions(&e, contentOf(t))
	if req.Key == "" {
		s.admit(now, t, &e)
	} else {
		s.handleKeyed(now, t, &e)
	}
	return e
}

func (s *Server) precheck(req call.Request, op *graph.Operation, configured bool) *verdict.Error {
	switch {
	case !configured:
		return verdict.Refuse(verdict.NoConfiguration, "node has no configuration yet").WithRetryAfter(s.cfg.RefuseRetryAfter)
	case req.Service != s.cfg.Service:
		return verdict.Refuse(verdict.UnknownService, "%s is not served here", req.Service)
	case op == nil:
		return verdict.Refuse(verdict.UnknownOperation, "%s.%s is not declared", req.Service, req.Operation)
	case int(req.Depth) >= graph.MaxDepth:
		// Each version of the graph is acyclic, but nodes may use different
		// versions for a short time, so that a request could loop.
		return verdict.Refuse(verdict.TooDeep, "request is %d calls deep", req.Depth)
	case req.Budget <= 0:
		return verdict.Refuse(verdict.Deadline, "deadline passed before arrival")
	}
	return nil
}

func (s *Server) newTask(now time.Time, req call.Request, op *graph.Operation) *Task {
	s.nextID++
	return &Task{
		ID:        s.nextID,
		Request:   req,
		Operation: op,
		Deadline:  now.Add(req.Budget),
		arrived:   now,
		waiter:    waiter{from: req.From, seq: req.Seq},
		priority:  admission.Priority(req.Importance, req.RootID()),
		class:     uint32(xxhash.Sum64String(req.Operation)),
	}
}

// admit queues a task or refuses it.
func (s *Server) admit(now time.Time, t *Task, e *Effects) {
	if err := s.checkAdmission(now, t); err != nil {
		s.finishUnstarted(t, err, e)
		return
	}
	if s.checkSuspect(now, t, e) {
		return
	}
	item := queue.Item[*Task]{ID: t.ID, Deadline: t.Deadline, Value: t}
	if s.cfg.Policy == PolicyFull {
		item.Priority = t.priority
		item.WorkSpent = t.Request.RootRequestID != ""
		item.ExpectedRunTime = s.expectedRunTime(now, t)
	}
	if s.queue.WouldExpire(now, &item) {
		s.counts.Expired++
		s.observe(now, admission.Shed)
		s.finishUnstarted(t, s.expiryRefusal(), e)
		return
	}
	s.tasks[t.ID] = t
	s.byCall[t.waiter] = t.ID
	s.queue.SetMaxItems(s.rateQueueBound())
	for _, dropped := range s.queue.Push(now, item) {
		s.shed(now, dropped.Value, e)
	}
	s.startQueued(now, e)
}

// expectedRunTime returns the expected run time of a task, from the usual run time of its
// class. It is zero for a task of a request under way that can start at once:
// the estimate may be wrong, and refusing the task would waste the work done for
// the request.
func (s *Server) expectedRunTime(now time.Time, t *Task) time.Duration {
	if s.cfg.PublishLevelOnly && s.queue.Len() == 0 && s.mayStart(now) {
		return 0
	}
	return s.limit.ExpectedRunTime(t.class)
}

// expiryRefusal returns the refusal of a task that would expire in the queue. Where
// only entry nodes shed, the reason is Shed: another node may have a free slot.
func (s *Server) expiryRefusal() *verdict.Error {
	const detail = "would expire in the queue"
	if s.cfg.PublishLevelOnly {
		return verdict.Refuse(verdict.Shed, detail)
	}
	return verdict.Refuse(verdict.Deadline, detail)
}

func (s *Server) checkAdmission(now time.Time, t *Task) *verdict.Error {
	switch {
	case s.draining && !s.mayStartDraining(now, t), !s.ready:
		return s.noWorkRefusal()
	case s.cfg.Policy != PolicyFull:
		return nil
	case s.guard.Check(now, t.Request.Fingerprint) == poison.Refuse:
		s.counts.PoisonRequest++
		return s.guard.Refusal(now, t.Request.Fingerprint)
	case !s.gate.Admit(now, t.priority, t.Request.AdmittedLevel(s.cfg.Service)) && !s.cfg.PublishLevelOnly:
		s.counts.Shed++
		return s.shedError(now)
	case s.rateExhausted(now):
		s.observe(now, admission.Shed)
		return s.rateRefusal(now)
	}
	return s.checkDependencies(now, t)
}

// noWorkRefusal returns why this node takes no new work, or nil.
func (s *Server) noWorkRefusal() *verdict.Error {
	switch {
	case s.draining:
		return verdict.Refuse(verdict.Draining, "backend server is leaving").WithRetryAfter(s.cfg.RefuseRetryAfter)
	case !s.ready:
		return verdict.Refuse(verdict.NoBackend, "backend server has not announced itself").WithRetryAfter(s.cfg.RefuseRetryAfter)
	default:
		return nil
	}
}

func (s *Server) shedError(now time.Time) *verdict.Error {
	if _, limited := s.rate.Limit(); limited {
		return s.rateRefusal(now)
	}
	return verdict.Refuse(verdict.Shed, "%s sheds below priority %d", s.cfg.Service, s.gate.Level(now)).WithRetryAfter(s.gate.RetryAfter(now, s.random))
}

// Cancel ends an attempt whose caller has given up. A task that has not started
// leaves the queue at once. Running it would take capacity from requests that
// are still wanted and prolong an overload.
func (s *Server) Cancel(now time.Time, c call.Cancel) Effects {
	var e Effects
	if c.To != s.cfg.Self {
		return e
	}
	// If the cancel has overtaken its call, the call must not run afterwards.
	s.senders.Accept(c.From, c.Seq)
	w := waiter{from: c.From, seq: c.Seq}
	id, ok := s.byCall[w]
	if !ok {
		s.cancelParked(w, &e)
		return e
	}
	s.counts.Canceled++
	s.cancelTask(now, s.tasks[id], &e)
	return e
}

// cancelTask ends a task whose caller has canceled, unless other attempts joined it.
func (s *Server) cancelTask(now time.Time, t *Task, e *Effects) {
	if t.Request.Key != "" && s.keys.Joined(t.Request.Key) > 0 {
		return
	}
	if _, running := s.running[t.ID]; running {
		if s.isolated != t { // the outcome of an isolated run clears or quarantines the request
			e.Stop = append(e.Stop, t.ID)
		}
		return
	}
	if s.isolated == t {
		s.endIsolation(now)
	}
	s.queue.Remove(t.ID)
	s.finishUnstarted(t, verdict.Refuse(verdict.Canceled, "canceled before it started"), e)
	s.startQueued(now, e)
}

// Tick refuses waiting tasks that have expired or are below the admission level.
// The node calls it every few milliseconds while HasWaiting holds.
func (s *Server) Tick(now time.Time) Effects {
	var e Effects
	if s.cfg.Policy == PolicyFull && !s.cfg.PublishLevelOnly {
		for _, item := range s.queue.Shed(s.gate.OwnLevel(now)) {
			s.shed(now, item.Value, &e)
		}
	}
	s.expire(now, &e)
	if s.draining {
		s.refuseWaiting(now, verdict.Draining, &e)
	}
	s.tickKeys(now, &e)
	s.startQueued(now, &e)
	return e
}

func (s *Server) expire(now time.Time, e *Effects) {
	for _, item := range s.queue.Expire(now) {
		s.counts.Expired++
		s.observe(now, admission.Shed)
		s.finishUnstarted(item.Value, verdict.Refuse(verdict.Deadline, "expired while waiting"), e)
	}
	s.expireIsolated(now, e)
}

// waitingTasks returns the tasks in the queue, oldest first.
func (s *Server) waitingTasks() []*Task {
	var waiting []*Task
	for id, t := range s.tasks {
		if _, running := s.running[id]; !running && t != s.isolated {
			waiting = append(waiting, t)
		}
	}
	slices.SortFunc(waiting, func(a, b *Task) int { return cmp.Compare(a.ID, b.ID) })
	return waiting
}

// refuseWaiting refuses the tasks that wait, except for those that a draining node may still
// start.
func (s *Server) refuseWaiting(now time.Time, reason verdict.Reason, e *Effects) {
	s.expire(now, e)
	for _, t := range s.waitingTasks() {
		if reason == verdict.Draining && s.mayStartDraining(now, t) {
			continue
		}
		s.queue.Remove(t.ID)
		err := verdict.Refuse(reason, "refused while waiting").WithRetryAfter(s.cfg.RefuseRetryAfter)
		s.finishUnstarted(t, err, e)
	}
	if s.isolated != nil && reason == verdict.Draining && s.mayStartDraining(now, s.isolated) {
		return
	}
	s.refuseIsolated(now, reason, e)
}
