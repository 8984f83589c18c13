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

// attempt is a request and the replies to it, as its sender sees them.
type attempt struct {
	req     call.Request
	action  int
	answers int
	verdict verdict.Verdict
}

// oracle records what backend servers were handed and what senders received.
type oracle struct {
	runs       map[int]int         // number of runs by action
	started    map[waiter]bool     // attempts handed to a backend server
	toldNotRun map[waiter]bool     // attempts answered verdict.NotRun
	byCall     map[waiter]*attempt // all attempts
}

// machine simulates a service of a few nodes, its senders, the network between
// them and the log of bindings. The test controls time and every event.
type machine struct {
	now       time.Time
	op        *graph.Operation
	servers   []*Server
	ids       []wire.NodeID
	runs      []map[uint64]*Task
	log       []applog.Record
	inTransit []call.Request // requests in transit
	sender    wire.NodeID
	seq       uint64
	actions   int
	// copies keeps delivered requests in transit, to be delivered again.
	copies bool
	// forgetful gives each copy a new sequence number: a naive callee that
	// does not remember attempts.
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
			runs:       map[int]int{},
			started:    map[waiter]bool{},
			toldNotRun: map[waiter]bool{},
			byCall:     map[waiter]*attempt{},
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

// restart replaces a node by a new incarnation without state.
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
	m.updatePeers()
}

func (m *machine) updatePeers() {
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

// send puts an attempt for an action in transit.
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
	m.inTransit = append(m.inTransit, a.req)
	return a
}

// deliver delivers the i-th request in transit to the current incarnation at
// its address.
func (m *machine) deliver(i int) error {
	req := m.inTransit[i]
	if !m.copies {
		m.inTransit = append(m.inTransit[:i], m.inTransit[i+1:]...)
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

// apply carries out the effects of a node and checks them against the oracle.
func (m *machine) apply(n int, e Effects) error {
	for _, t := range e.Start {
		m.runs[n][t.ID] = t
		if err := m.checkRun(t); err != nil {
			return err
		}
	}
	for _, notice := range e.Notices {
		for i, s := range m.servers {
			if i != n {
				s.ReceiveNotice(m.now, notice)
			}
		}
	}
	for _, r := range e.Replies {
		if err := m.checkReply(r); err != nil {
			return err
		}
	}
	return nil
}

func (m *machine) checkRun(t *Task) error {
	a := m.byCall[t.waiter]
	m.started[t.waiter] = true
	m.oracle.runs[a.action]++
	if m.toldNotRun[waiter{a.req.From, a.req.Seq}] {
		return fmt.Errorf("action %d ran after its attempt was answered not run", a.action)
	}
	if m.oracle.runs[a.action] > 1 {
		return fmt.Errorf("action %d ran %d times", a.action, m.oracle.runs[a.action])
	}
	return nil
}

func (m *machine) checkReply(r call.Reply) error {
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
	m.toldNotRun[waiter{a.req.From, a.req.Seq}] = true
	// A backend server may decline a request that it was handed.
	if m.started[w] && r.Reason != verdict.Shed {
		return fmt.Errorf("attempt %d was answered not run (%s) after its hand-over", r.Seq, r.Reason)
	}
	return nil
}

// complete completes a task at the backend server of node n.
func (m *machine) complete(n int, id uint64, r Result) error {
	t := m.runs[n][id]
	delete(m.runs[n], id)
	if r.Verdict == verdict.NotRun {
		m.oracle.runs[m.byCall[t.waiter].action]--
	}
	return m.apply(n, m.servers[n].Done(m.now, id, r))
}

// bind performs the pending append and read of the log for one node. With
// outage both fail; with lost the append succeeds and its answer is lost.
func (m *machine) bind(n int, outage, lost bool) error {
	s := m.servers[n]
	if data, ok := s.NextBindingRecord(m.now); ok {
		if !outage {
			m.log = append(m.log, applog.Record{Offset: uint64(len(m.log)), Data: data})
		}
		if outage || lost {
			s.BindingsFailed(m.now)
		} else {
			s.BindingsAppended(m.now)
		}
	}
	from, ok := s.NextBindingOffset(m.now)
	if !ok {
		return nil
	}
	if outage {
		s.BindingReadFailed(m.now)
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
