package serve

import (
	"math/rand/v2"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cassialoom/cassialoom/admission"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/limit"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/queue"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Server is the callee's side of one node.
type Server struct {
	cfg     Config
	senders *once.Senders
	mint    *once.Mint
	keys    *once.Keys[answer, recipient]
	binder  *once.Binder
	limit   *limit.Limiter
	queue   *queue.Queue[*Task]
	gate    *admission.Gate
	guard   *poison.Guard
	random  *rand.Rand
	faults  faults

	tasks   map[uint64]*Task   // waiting or running
	running map[uint64]*Task   // handed to the backend server
	byCall  map[waiter]uint64  // attempt to task, for cancellation
	parked  map[string][]*Task // by key, until it is bound
	// parkedBytes is the size of the bodies of those.
	parkedBytes int
	lone        *Task               // runs, or waits to run, with nothing beside it
	peers       []wire.NodeID       // ready nodes of the service, with this one
	owed        map[wire.NodeID]int // answers that each node awaits
	nextID      uint64
	slots       int  // at once, by the backend server's own word; zero for unknown
	ready       bool // the backend server takes requests
	crashed     bool // it crashed and has not announced itself since
	drain       bool
	counts      Counts
}

// New returns the Server of an incarnation that started at start. Its backend
// server has not announced itself yet. secret is drawn at random for it.
func New(cfg Config, secret [once.SecretLen]byte, start time.Time) *Server {
	return &Server{
		cfg:     cfg,
		senders: once.NewSenders(cfg.Once),
		mint:    once.NewMint(cfg.Once, cfg.Self, secret, start),
		keys:    once.NewKeys[answer, recipient](cfg.Once, start, answerSize),
		binder:  once.NewBinder(cfg.Once, cfg.Self, start),
		limit:   limit.New(cfg.Limit),
		queue:   queue.New[*Task](cfg.Queue),
		gate:    admission.NewGate(cfg.Gate),
		guard:   poison.New(cfg.Poison, cfg.Self),
		random:  rand.New(rand.NewPCG(cfg.Seed, 0)),
		tasks:   make(map[uint64]*Task),
		running: make(map[uint64]*Task),
		byCall:  make(map[waiter]uint64),
		owed:    make(map[wire.NodeID]int),
		parked:  make(map[string][]*Task),
	}
}

// SetPeers names the nodes of the service that take work, this one included.
func (s *Server) SetPeers(peers []wire.NodeID) { s.peers = peers }

// SetReady says whether the backend server takes requests.
func (s *Server) SetReady(now time.Time, ready bool) Effects {
	var e Effects
	s.ready = ready
	if ready {
		s.crashed = false
		s.pump(now, &e)
		return e
	}
	s.refuseWaiting(now, verdict.NoBackend, &e)
	return e
}

// SetSlots takes the number of requests that the backend server says it works
// on at once. From then on that number bounds the concurrency and not a
// measured limit: latencies that hold the calls of the backend server's own
// say nothing about its slots.
func (s *Server) SetSlots(now time.Time, slots int) Effects {
	var e Effects
	s.slots = max(0, int(float64(slots)*s.cfg.SlotShare))
	if slots > 0 {
		s.slots = max(1, s.slots)
	}
	s.pump(now, &e)
	return e
}

// Drain refuses new work from now on. What runs goes on; what waits is
// refused, so that another node takes it at once.
func (s *Server) Drain(now time.Time) Effects {
	var e Effects
	s.drain = true
	s.refuseWaiting(now, verdict.Draining, &e)
	return e
}

// Tasks is the number of attempts that wait or run.
func (s *Server) Tasks() int { return len(s.tasks) + len(s.parked) }

// Waiting reports whether a task waits for its turn, for its key's binding or
// for the moment to run alone: Tick has something to look after.
func (s *Server) Waiting() bool {
	return s.queue.Len() > 0 || len(s.parked) > 0 || s.lone != nil && s.running[s.lone.ID] == nil
}

// Arrive takes one attempt. op is nil when the configuration does not know
// the operation; configured is false while there is no configuration.
func (s *Server) Arrive(now time.Time, req call.Request, op *graph.Operation, configured bool) Effects {
	var e Effects
	s.counts.Arrived++
	// Meant for an earlier incarnation at this address. It may have run
	// there, so "not run" would be a claim that nobody here can make: the
	// sender finds out by the end of its connection.
	if req.To != s.cfg.Self {
		s.counts.Misdirected++
		return e
	}
	if s.senders.Refuses(req.From) {
		e.reply(s.refusal(req, verdict.Refuse(verdict.Shed, "no room for another sender; this node must be replaced")))
		return e
	}
	// A copy of an attempt, however late: the first one has its own answer,
	// which may have been "not run". Saying nothing is the only answer that
	// cannot contradict it.
	if !s.senders.Accept(req.From, req.Seq) {
		s.counts.Duplicates++
		return e
	}
	s.owed[req.From]++
	if err := s.precheck(req, op, configured); err != nil {
		s.reply(&e, s.refusal(req, err))
		return e
	}
	t := s.task(now, req, op)
	if req.Key == "" {
		s.admit(now, t, &e)
	} else {
		s.takeKeyed(now, t, &e)
	}
	return e
}

func (s *Server) precheck(req call.Request, op *graph.Operation, configured bool) *verdict.Error {
	switch {
	case !configured:
		return verdict.Refuse(verdict.NoConfiguration, "node has no configuration yet").After(s.cfg.RefuseRetryAfter)
	case req.Service != s.cfg.Service:
		return verdict.Refuse(verdict.UnknownService, "%s is not served here", req.Service)
	case op == nil:
		return verdict.Refuse(verdict.UnknownOperation, "%s.%s is not declared", req.Service, req.Operation)
	case int(req.Depth) >= graph.MaxDepth:
		// The graph has no cycles, but two versions of it may be in force
		// for a moment; a request must not go round between them.
		return verdict.Refuse(verdict.TooDeep, "%d calls above this one", req.Depth)
	case req.Budget <= 0:
		return verdict.Refuse(verdict.Deadline, "no time left at arrival")
	}
	return nil
}

func (s *Server) task(now time.Time, req call.Request, op *graph.Operation) *Task {
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

// admit lets a task wait for its turn, or refuses it.
func (s *Server) admit(now time.Time, t *Task, e *Effects) {
	if err := s.refuseNow(now, t); err != nil {
		s.finishUnstarted(t, err, e)
		return
	}
	if s.quarantined(now, t, e) {
		return
	}
	item := queue.Item[*Task]{ID: t.ID, Deadline: t.Deadline, Value: t}
	if s.cfg.Policy == PolicyFull {
		item.Priority = t.priority
		item.UnderWay = t.Request.Root != ""
		item.Need = s.need(t)
	}
	if s.queue.Late(now, &item) {
		s.counts.Expired++
		s.observe(now, admission.Shed)
		s.finishUnstarted(t, s.tooLate(), e)
		return
	}
	s.tasks[t.ID] = t
	s.byCall[t.waiter] = t.ID
	for _, dropped := range s.queue.Push(now, item) {
		s.shed(now, dropped.Value, e)
	}
	s.pump(now, e)
}

// need is the time that a task is taken to need once it starts. It is only what
// such tasks usually took: a task of a request under way that can start at once
// is tried with whatever time it has left, because refusing it would waste what
// was spent on that request.
func (s *Server) need(t *Task) time.Duration {
	if s.cfg.TellOnly && s.queue.Len() == 0 && s.hasRoom() {
		return 0
	}
	return s.limit.Expect(t.class)
}

// tooLate refuses a task that would not get its turn in time. Where only the
// levels at the entry shed, another node may still have a place for it.
func (s *Server) tooLate() *verdict.Error {
	const detail = "would expire before its turn"
	if s.cfg.TellOnly {
		return verdict.Refuse(verdict.Shed, detail)
	}
	return verdict.Refuse(verdict.Deadline, detail)
}

func (s *Server) refuseNow(now time.Time, t *Task) *verdict.Error {
	switch {
	case s.drain:
		return verdict.Refuse(verdict.Draining, "backend server is leaving").After(s.cfg.RefuseRetryAfter)
	case !s.ready:
		return verdict.Refuse(verdict.NoBackend, "backend server has not announced itself").After(s.cfg.RefuseRetryAfter)
	case s.cfg.Policy != PolicyFull:
		return nil
	case s.guard.Check(now, t.Request.Fingerprint) == poison.Refuse:
		s.counts.Poison++
		return s.guard.Refusal(now, t.Request.Fingerprint)
	case !s.gate.Admit(now, t.priority, t.Request.Bar(s.cfg.Service)) && !s.cfg.TellOnly:
		s.counts.Shed++
		return s.shedError(now)
	}
	return nil
}

func (s *Server) shedError(now time.Time) *verdict.Error {
	return verdict.Refuse(verdict.Shed, "%s sheds below priority %d", s.cfg.Service, s.gate.Level(now)).After(s.gate.RetryAfter(now, s.random))
}

// Cancel ends one attempt that nobody waits for. Work that has not started
// leaves the queue at once: it would take a slot from a request that somebody
// waits for, which is how overload outlives its trigger.
func (s *Server) Cancel(now time.Time, c call.Cancel) Effects {
	var e Effects
	if c.To != s.cfg.Self {
		return e
	}
	// A cancel that overtook its call: the call must not run afterwards.
	s.senders.Accept(c.From, c.Seq)
	w := waiter{from: c.From, seq: c.Seq}
	id, ok := s.byCall[w]
	if !ok {
		s.cancelParked(w, &e)
		return e
	}
	s.counts.Canceled++
	s.leave(now, s.tasks[id], &e)
	return e
}

// leave ends a task whose own caller has gone, unless others joined it.
func (s *Server) leave(now time.Time, t *Task, e *Effects) {
	if t.Request.Key != "" && s.keys.Joined(t.Request.Key) > 0 {
		return
	}
	if _, running := s.running[t.ID]; running {
		e.Stop = append(e.Stop, t.ID)
		return
	}
	if s.lone == t {
		s.lone = nil
	}
	s.queue.Remove(t.ID)
	s.finishUnstarted(t, verdict.Refuse(verdict.Canceled, "canceled before it started"), e)
	s.pump(now, e)
}

// Tick drops expired work and what waits below the level; to be called every
// few milliseconds.
func (s *Server) Tick(now time.Time) Effects {
	var e Effects
	if s.cfg.Policy == PolicyFull && !s.cfg.TellOnly {
		for _, item := range s.queue.Shed(s.gate.Own(now)) {
			s.shed(now, item.Value, &e)
		}
	}
	s.expire(now, &e)
	s.tickKeys(now, &e)
	s.pump(now, &e)
	return e
}

func (s *Server) expire(now time.Time, e *Effects) {
	for _, item := range s.queue.Expire(now) {
		s.counts.Expired++
		s.observe(now, admission.Shed)
		s.finishUnstarted(item.Value, verdict.Refuse(verdict.Deadline, "expired while waiting"), e)
	}
	if s.lone != nil && s.running[s.lone.ID] == nil && !now.Before(s.lone.Deadline) {
		s.counts.Expired++
		s.refuseLone(verdict.Deadline, e)
	}
}

func (s *Server) refuseWaiting(now time.Time, reason verdict.Reason, e *Effects) {
	s.expire(now, e)
	for {
		item, ok := s.queue.Pop(now)
		if !ok {
			break
		}
		err := verdict.Refuse(reason, "refused while waiting").After(s.cfg.RefuseRetryAfter)
		s.finishUnstarted(item.Value, err, e)
	}
	s.refuseLone(reason, e)
}
