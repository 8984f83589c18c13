package loadmodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	wirecall "github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// model is the state of one run of a scenario with a policy.
type model struct {
	sim      *Sim
	scenario *Scenario
	policy   *Policy
	nodes    []*node
	rng      *rand.Rand
	ids      uint64
	phase    int
	phaseAt  time.Time
	report   Report
}

func newModel(sc *Scenario, p *Policy) *model {
	m := &model{
		sim:      newSim(),
		scenario: sc,
		policy:   p,
		rng:      rand.New(rand.NewPCG(sc.Seed, 1)),
	}
	m.report.init(sc, p)
	for s := range sc.Services {
		m.nodes = append(m.nodes, m.newNode(s))
	}
	return m
}

func (m *model) newNode(s int) *node {
	b := &backend{
		sim:        m.sim,
		service:    m.scenario.Services[s],
		rng:        rand.New(rand.NewPCG(m.scenario.Seed, uint64(s)+2)),
		spread:     m.scenario.Spread,
		slowFactor: func() float64 { return m.slowFactor(s) },
	}
	n := &node{
		model:        m,
		id:           wire.NodeID{byte(s + 1)},
		service:      s,
		policy:       m.policy,
		limit:        m.policy.Limit(m.scenario.Services[s].Slots),
		queue:        m.policy.Queue(),
		backend:      b,
		orderChecker: orderChecker{report: &m.report},
	}
	if m.policy.Admission {
		n.gate = admission.NewGate(m.policy.Gate)
		n.levels = admission.NewLevels(m.policy.Levels, admission.NewLevelGossip(admission.LevelGossipConfig{}), m.scenario.Seed)
		n.levels.SetForwarded(m.scenario.servicesBelow(s))
		n.entry = admission.NewLevels(m.policy.Levels, admission.NewLevelGossip(admission.LevelGossipConfig{}), m.scenario.Seed+1)
	}
	return n
}

// slowFactor returns the current factor on the work of a service.
func (m *model) slowFactor(s int) float64 {
	p := &m.scenario.Phases[m.phase]
	if p.SlowFactor == 0 || p.SlowService != s {
		return 1
	}
	if !p.Cold {
		return p.SlowFactor
	}
	left := 1 - float64(m.sim.now.Sub(m.phaseAt))/float64(p.Duration)
	return 1 + (p.SlowFactor-1)*max(left, 0)
}

// Run runs a scenario with a policy.
func Run(sc Scenario, p Policy) *Report {
	m := newModel(&sc, &p)
	end := epoch
	for i := range sc.Phases {
		m.phase, m.phaseAt = i, end
		end = end.Add(sc.Phases[i].Duration)
		m.scheduleArrival()
		m.sim.run(end)
		m.report.endPhase(i)
	}
	const drain = 2 * time.Second
	m.phase = len(sc.Phases) - 1
	m.sim.run(end.Add(drain))
	m.report.computeRecovery()
	return &m.report
}

// scheduleArrival schedules the next arrival of the phase. Arrivals don't wait for answers.
func (m *model) scheduleArrival() {
	phase := m.phase
	rate := m.scenario.Phases[phase].Load * m.scenario.capacity()
	gap := time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second))
	end := m.phaseAt.Add(m.scenario.Phases[phase].Duration)
	if !m.sim.now.Add(gap).Before(end) {
		return
	}
	m.sim.after(gap, func() {
		m.request()
		m.scheduleArrival()
	})
}

func (m *model) pickOperation() *Operation {
	x := m.rng.Float64()
	for i := range m.scenario.Operations {
		op := &m.scenario.Operations[i]
		if x -= op.Share; x < 0 {
			return op
		}
	}
	return &m.scenario.Operations[len(m.scenario.Operations)-1]
}

// request starts one request and its caller's resends.
func (m *model) request() {
	m.ids++
	op := m.pickOperation()
	r := &request{
		model:    m,
		op:       op,
		entry:    m.nodes[m.rng.IntN(len(m.nodes))],
		priority: admission.Priority(op.Importance, strconv.FormatUint(m.ids, 10)),
		start:    m.sim.now,
		resends:  m.scenario.Resends,
	}
	r.deadline = r.start.Add(op.Deadline)
	m.report.offered(r)
	r.send()
}

// request is one request of a caller with its resends.
type request struct {
	model    *model
	op       *Operation
	entry    *node
	priority uint16
	start    time.Time
	deadline time.Time
	resends  int
}

func (r *request) send() {
	r.model.ask(r.entry, r.entry.entry, r.op, 0, r.priority, nil, r.deadline, r.answer)
}

// answer handles the answer to a try. It resends a failed request if resends and time remain.
func (r *request) answer(res result) {
	now := r.model.sim.now
	if res.ok && now.Before(r.deadline) {
		r.model.report.succeeded(r, res)
		return
	}
	const hard = 20 * time.Millisecond
	pause := hard
	if r.model.scenario.ObeyRetryAfter {
		pause = max(pause, res.retryAfter)
	}
	if r.resends == 0 || !now.Add(pause).Before(r.deadline) {
		return
	}
	r.resends--
	r.model.sim.after(pause, r.send)
}

// ask makes one call from a node, with the policy's retries. It returns a function that
// cancels the call.
func (m *model) ask(from *node, levels *admission.Levels, op *Operation, hop int, priority uint16, admittedLevels []wirecall.Level, deadline time.Time, done func(result)) func() {
	a := &outgoingCall{
		model:          m,
		from:           from,
		levels:         levels,
		op:             op,
		hop:            hop,
		priority:       priority,
		admittedLevels: admittedLevels,
		deadline:       deadline,
		retriesLeft:    m.policy.HopRetries,
		done:           done,
	}
	a.attempt()
	return a.cancel
}

// outgoingCall is one call with its attempts.
type outgoingCall struct {
	model          *model
	from           *node
	levels         *admission.Levels
	op             *Operation
	hop            int
	priority       uint16
	admittedLevels []wirecall.Level
	deadline       time.Time
	retriesLeft    int
	current        *call
	ended          bool
	done           func(result)
}

func (a *outgoingCall) attempt() {
	m := a.model
	var entry admission.EntryDecision
	if m.policy.Admission {
		entry = a.levels.Admit(m.sim.now, m.reach(a.op, a.hop), a.priority)
		if !entry.Admitted() {
			a.from.orderChecker.shedAtEntry(m.sim.now, a.op.Importance)
			a.finish(result{retryAfter: entry.RetryAfter})
			return
		}
	}
	m.ids++
	to := m.nodes[a.op.Path[a.hop]]
	admittedLevels := wirecall.HighestLevels(a.admittedLevels, entry.AdmittedLevels)
	c := &call{id: m.ids, admittedLevels: admittedLevels, op: a.op, hop: a.hop, priority: a.priority, deadline: a.deadline, node: to}
	c.reply = func(r result) {
		m.sim.after(m.scenario.Delay, func() { a.answer(c, r) })
	}
	a.current = c
	m.sim.after(m.scenario.Delay, func() {
		if !c.ended {
			to.handle(c)
		}
	})
	a.startTimeout(c)
}

// startTimeout ends an attempt that gets no answer in time.
func (a *outgoingCall) startTimeout(c *call) {
	m := a.model
	timeout := a.deadline.Sub(m.sim.now)
	if m.policy.AttemptTimeout > 0 {
		timeout = min(timeout, m.policy.AttemptTimeout)
	}
	m.sim.after(timeout, func() {
		if a.ended || a.current != c {
			return
		}
		if m.policy.Cancel {
			a.cancel()
		}
		a.answer(c, result{})
	})
}

func (a *outgoingCall) answer(c *call, r result) {
	if a.ended || a.current != c {
		return
	}
	a.current = nil
	m := a.model
	if m.policy.Admission {
		a.levels.RecordReply(m.sim.now, c.node.backend.service.Name, c.node.id, r.levels)
	}
	if !r.ok && a.retriesLeft > 0 && m.sim.now.Before(a.deadline) {
		a.retriesLeft--
		a.attempt()
		return
	}
	a.finish(r)
}

func (a *outgoingCall) finish(r result) {
	if a.ended {
		return
	}
	a.ended = true
	a.done(r)
}

func (a *outgoingCall) cancel() {
	c := a.current
	if c == nil {
		return
	}
	a.model.sim.after(a.model.scenario.Delay, func() { c.node.cancel(c) })
}

// reach returns the names of the services that the operation calls from a hop on.
func (m *model) reach(op *Operation, hop int) []string {
	names := make([]string, 0, len(op.Path))
	for _, s := range op.Path[hop:] {
		names = append(names, m.scenario.Services[s].Name)
	}
	return names
}
