package loadmodel

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/cassialoom/cassialoom/admission"
	wirecall "github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/wire"
)

// model is one run of a scenario with a policy.
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
		sim:     m.sim,
		service: m.scenario.Services[s],
		rng:     rand.New(rand.NewPCG(m.scenario.Seed, uint64(s)+2)),
		spread:  m.scenario.Spread,
		slow:    func() float64 { return m.slow(s) },
	}
	n := &node{
		model:   m,
		id:      wire.NodeID{byte(s + 1)},
		service: s,
		policy:  m.policy,
		limit:   m.policy.Limit(m.scenario.Services[s].Slots),
		queue:   m.policy.Queue(),
		backend: b,
		place:   place{report: &m.report},
	}
	if m.policy.Admission {
		n.gate = admission.NewGate(m.policy.Gate)
		n.levels = admission.NewLevels(m.policy.Levels, admission.NewLevelGossip(admission.LevelGossipConfig{}), m.scenario.Seed)
		n.levels.SetForwarded(m.scenario.below(s))
		n.entry = admission.NewLevels(m.policy.Levels, admission.NewLevelGossip(admission.LevelGossipConfig{}), m.scenario.Seed+1)
	}
	return n
}

// slow is the present slow-down of a service.
func (m *model) slow(s int) float64 {
	p := &m.scenario.Phases[m.phase]
	if p.Slow == 0 || p.SlowService != s {
		return 1
	}
	if !p.Cold {
		return p.Slow
	}
	left := 1 - float64(m.sim.now.Sub(m.phaseAt))/float64(p.For)
	return 1 + (p.Slow-1)*max(left, 0)
}

// Run measures a policy in a scenario.
func Run(sc Scenario, p Policy) *Report {
	m := newModel(&sc, &p)
	end := epoch
	for i := range sc.Phases {
		m.phase, m.phaseAt = i, end
		end = end.Add(sc.Phases[i].For)
		m.arrive()
		m.sim.run(end)
		m.report.endPhase(i)
	}
	const drain = 2 * time.Second
	m.phase = len(sc.Phases) - 1
	m.sim.run(end.Add(drain))
	m.report.finish()
	return &m.report
}

// arrive schedules the next arrival of the phase; arrivals do not wait for
// answers.
func (m *model) arrive() {
	phase := m.phase
	rate := m.scenario.Phases[phase].Load * m.scenario.capacity()
	gap := time.Duration(m.rng.ExpFloat64() / rate * float64(time.Second))
	end := m.phaseAt.Add(m.scenario.Phases[phase].For)
	if !m.sim.now.Add(gap).Before(end) {
		return
	}
	m.sim.after(gap, func() {
		m.request()
		m.arrive()
	})
}

func (m *model) pick() *Operation {
	x := m.rng.Float64()
	for i := range m.scenario.Operations {
		op := &m.scenario.Operations[i]
		if x -= op.Share; x < 0 {
			return op
		}
	}
	return &m.scenario.Operations[len(m.scenario.Operations)-1]
}

// request is one whole request with the resends of its caller.
func (m *model) request() {
	m.ids++
	op := m.pick()
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

func (r *request) answer(res result) {
	now := r.model.sim.now
	if res.ok && now.Before(r.deadline) {
		r.model.report.good(r, res)
		return
	}
	const hard = 20 * time.Millisecond
	pause := hard
	if r.model.scenario.Heed {
		pause = max(pause, res.retryAfter)
	}
	if r.resends == 0 || !now.Add(pause).Before(r.deadline) {
		return
	}
	r.resends--
	r.model.sim.after(pause, r.send)
}

// ask makes one call from a node, with the policy's retries, and returns what
// cancels it.
func (m *model) ask(from *node, levels *admission.Levels, op *Operation, hop int, priority uint16, bars []wirecall.Level, deadline time.Time, done func(result)) func() {
	a := &asking{
		model:    m,
		from:     from,
		levels:   levels,
		op:       op,
		hop:      hop,
		priority: priority,
		bars:     bars,
		deadline: deadline,
		left:     m.policy.HopRetries,
		done:     done,
	}
	a.attempt()
	return a.cancel
}

// asking is one call with its attempts.
type asking struct {
	model    *model
	from     *node
	levels   *admission.Levels
	op       *Operation
	hop      int
	priority uint16
	bars     []wirecall.Level // that have let the request in
	deadline time.Time
	left     int
	current  *call
	over     bool
	done     func(result)
}

func (a *asking) attempt() {
	m := a.model
	var entry admission.EntryDecision
	if m.policy.Admission {
		entry = a.levels.Admit(m.sim.now, m.reach(a.op, a.hop), a.priority)
		if !entry.Admitted() {
			a.from.place.shedAtEntry(m.sim.now, a.op.Importance)
			a.finish(result{retryAfter: entry.RetryAfter})
			return
		}
	}
	m.ids++
	to := m.nodes[a.op.Path[a.hop]]
	bars := wirecall.HighestLevels(a.bars, entry.AdmittedLevels)
	c := &call{id: m.ids, bars: bars, op: a.op, hop: a.hop, priority: a.priority, deadline: a.deadline, node: to}
	c.reply = func(r result) {
		m.sim.after(m.scenario.Delay, func() { a.answer(c, r) })
	}
	a.current = c
	m.sim.after(m.scenario.Delay, func() {
		if !c.over {
			to.handle(c)
		}
	})
	a.expire(c)
}

// expire ends an attempt that gets no answer.
func (a *asking) expire(c *call) {
	m := a.model
	patience := a.deadline.Sub(m.sim.now)
	if m.policy.AttemptTimeout > 0 {
		patience = min(patience, m.policy.AttemptTimeout)
	}
	m.sim.after(patience, func() {
		if a.over || a.current != c {
			return
		}
		if m.policy.Cancel {
			a.cancel()
		}
		a.answer(c, result{})
	})
}

func (a *asking) answer(c *call, r result) {
	if a.over || a.current != c {
		return
	}
	a.current = nil
	m := a.model
	if m.policy.Admission {
		a.levels.RecordReply(m.sim.now, c.node.backend.service.Name, c.node.id, r.levels)
	}
	if !r.ok && a.left > 0 && m.sim.now.Before(a.deadline) {
		a.left--
		a.attempt()
		return
	}
	a.finish(r)
}

func (a *asking) finish(r result) {
	if a.over {
		return
	}
	a.over = true
	a.done(r)
}

func (a *asking) cancel() {
	c := a.current
	if c == nil {
		return
	}
	a.model.sim.after(a.model.scenario.Delay, func() { c.node.cancel(c) })
}

// reach names the services that a call of the operation touches from a hop on.
func (m *model) reach(op *Operation, hop int) []string {
	names := make([]string, 0, len(op.Path))
	for _, s := range op.Path[hop:] {
		names = append(names, m.scenario.Services[s].Name)
	}
	return names
}
