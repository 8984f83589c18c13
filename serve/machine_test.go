package serve

import (
	"fmt"
	"testing"
	"time"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/poison"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

const machineText = `service "s" {
  operation "act" { idempotent = false }
}`

// attempt is one request as its sender knows it.
type attempt struct {
	req     call.Request
	action  int
	answers int
	verdict verdict.Verdict
}

// oracle is what must hold, in terms of what backend servers were handed.
type oracle struct {
	runs    map[int]int         // by action
	started map[waiter]bool     // attempts that were handed over
	told    map[waiter]bool     // attempts that were told "not run"
	byCall  map[waiter]*attempt // all attempts
}

// machine is a service of a few nodes, its senders, the network between them
// and the log. Time and every choice come from outside.
type machine struct {
	now     time.Time
	op      *graph.Operation
	servers []*Server
	ids     []wire.NodeID
	runs    []map[uint64]*Task
	log     []applog.Record
	wires   []call.Request // requests on their way; copies stay possible
	sender  wire.NodeID
	seq     uint64
	actions int
	// copies lets a request that was delivered be delivered again.
	copies bool
	// forgetful makes copies look like new attempts: the naive callee.
	forgetful bool
	oracle
}

func newMachine(t testing.TB, nodes int) *machine {
	g, problems := graph.Parse("test", []byte(machineText))
	if err := problems.Err(); err != nil {
		t.Fatal(err)
	}
	op, _ := g.Operation("s", "act")
	m := &machine{
		now:    time.Unix(1000, 0),
		op:     op,
		sender: wire.NodeID{0xff},
		copies: true,
		oracle: oracle{
			runs:    map[int]int{},
			started: map[waiter]bool{},
			told:    map[waiter]bool{},
			byCall:  map[waiter]*attempt{},
		},
	}
	for i := range nodes {
		m.servers = append(m.servers, nil)
		m.ids = append(m.ids, wire.NodeID{})
		m.runs = append(m.runs, nil)
		m.restart(i)
	}
	return m
}

// restart replaces a node by a new incarnation that knows nothing.
func (m *machine) restart(i int) {
	m.seq++
	id := wire.NodeID{byte(i + 1), byte(m.seq), byte(m.seq >> 8)}
	cfg := DefaultConfig()
	cfg.Self = id
	cfg.Service = "s"
	cfg.Limit.Initial = 2
	m.ids[i] = id
	m.servers[i] = New(cfg, [once.SecretLen]byte{byte(i), byte(m.seq)}, m.now)
	m.runs[i] = map[uint64]*Task{}
	m.servers[i].SetReady(m.now, true)
	m.peers()
}

func (m *machine) peers() {
	for i, s := range m.servers {
		if s != nil {
			m.servers[i].SetPeers(m.ids)
		}
	}
}

func (m *machine) newAction() int {
	m.actions++
	return m.actions
}

// send puts an attempt for an action on the wire.
func (m *machine) send(action, to int, key string, imp importance.Importance) *attempt {
	m.seq++
	a := &attempt{action: action, req: call.Request{
		From:        m.sender,
		Seq:         m.seq,
		To:          m.ids[to],
		RequestID:   fmt.Sprint(action),
		Service:     "s",
		Operation:   "act",
		Importance:  imp,
		Budget:      time.Second,
		Key:         key,
		Fingerprint: poison.Fingerprint("s", "act", "", []byte(fmt.Sprint(action))),
		Body:        []byte(fmt.Sprint(action)),
	}}
	m.byCall[waiter{m.sender, m.seq}] = a
	m.wires = append(m.wires, a.req)
	return a
}

// deliver hands a request on the wire to the node at its address, whichever
// incarnation that is by now.
func (m *machine) deliver(i int) error {
	req := m.wires[i]
	if !m.copies {
		m.wires = append(m.wires[:i], m.wires[i+1:]...)
	}
	for n, id := range m.ids {
		if id[0] != req.To[0] {
			continue
		}
		if m.forgetful {
			m.seq++
			first := m.byCall[waiter{req.From, req.Seq}]
			req.Seq = m.seq
			m.byCall[waiter{req.From, req.Seq}] = first
		}
		return m.apply(n, m.servers[n].Arrive(m.now, req, m.op, true))
	}
	return nil
}

// apply does what a node wants done and checks it against the oracle.
func (m *machine) apply(n int, e Effects) error {
	for _, t := range e.Start {
		m.runs[n][t.ID] = t
		if err := m.ran(t); err != nil {
			return err
		}
	}
	for _, notice := range e.Notices {
		for i, s := range m.servers {
			if i != n {
				s.Hear(m.now, notice)
			}
		}
	}
	for _, r := range e.Replies {
		if err := m.answer(r); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) ran(t *Task) error {
	a := m.byCall[t.waiter]
	m.started[t.waiter] = true
	m.oracle.runs[a.action]++
	if m.told[waiter{a.req.From, a.req.Seq}] {
		return fmt.Errorf("action %d ran after its attempt was told not run", a.action)
	}
	if m.oracle.runs[a.action] > 1 {
		return fmt.Errorf("action %d ran %d times", a.action, m.oracle.runs[a.action])
	}
	return nil
}

func (m *machine) answer(r call.Reply) error {
	w := waiter{r.To, r.Seq}
	a := m.byCall[w]
	a.answers++
	a.verdict = r.Verdict
	if a.answers > 1 && !m.forgetful {
		return fmt.Errorf("attempt %d was answered %d times", r.Seq, a.answers)
	}
	if r.Verdict != verdict.NotRun {
		return nil
	}
	m.told[waiter{a.req.From, a.req.Seq}] = true
	// A backend server that declines has been handed the request.
	if m.started[w] && r.Reason != verdict.Shed {
		return fmt.Errorf("attempt %d was told not run (%s) after its hand-over", r.Seq, r.Reason)
	}
	return nil
}

// done ends a task at a backend server.
func (m *machine) done(n int, id uint64, r Result) error {
	t := m.runs[n][id]
	delete(m.runs[n], id)
	if r.Verdict == verdict.NotRun {
		m.oracle.runs[m.byCall[t.waiter].action]--
	}
	return m.apply(n, m.servers[n].Done(m.now, id, r))
}

// bind carries one node's appends and reads of the bindings to the log.
func (m *machine) bind(n int, outage, lost bool) error {
	s := m.servers[n]
	if data, ok := s.WantBindings(m.now); ok {
		if !outage {
			m.log = append(m.log, applog.Record{Offset: uint64(len(m.log)), Data: data})
		}
		if outage || lost {
			s.BindingsFailed(m.now)
		} else {
			s.BindingsAppended(m.now)
		}
	}
	from, ok := s.WantPage(m.now)
	if !ok {
		return nil
	}
	if outage {
		s.PageFailed(m.now)
		return nil
	}
	page := applog.Page{Next: uint64(len(m.log))}
	if from < uint64(len(m.log)) {
		page.Records = m.log[from:]
	}
	return m.apply(n, s.Page(m.now, from, page))
}

func (m *machine) tick(d time.Duration) error {
	m.now = m.now.Add(d)
	for n, s := range m.servers {
		if err := m.apply(n, s.Tick(m.now)); err != nil {
			return err
		}
	}
	return nil
}
