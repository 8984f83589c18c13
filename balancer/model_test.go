package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// chooser is the part of a Picker that the model uses; the naive strategies implement
// it too.
type chooser interface {
	Pick(now time.Time, exclude []wire.NodeID) (wire.NodeID, bool)
	Done(now time.Time, id wire.NodeID, r Result)
}

// server is a simulated backend server with slots and a FIFO queue.
type server struct {
	id      wire.NodeID
	slots   int
	service time.Duration
	outcome Outcome
	// slowdown is how many times as long as usual a call takes now, zero for a server
	// that does not tell how fast it is.
	slowdown float64
	running  int
	queue    []*job
	calls    int
}

type job struct {
	from    chooser
	target  *server
	arrived time.Time
	endsAt  time.Time
}

// model simulates a service under open-loop load: arrivals don't wait for answers.
type model struct {
	now       time.Time
	rng       *rand.Rand
	servers   []*server
	senders   []chooser
	running   []*job
	completed int
	latency   time.Duration // sum over the completed jobs
}

func newModel(seed uint64, servers int) *model {
	m := &model{now: start, rng: rand.New(rand.NewPCG(seed, 1))}
	for i := range servers {
		m.servers = append(m.servers, &server{id: node(i + 1), slots: 20, service: 10 * time.Millisecond})
	}
	return m
}

func (m *model) candidates() []Candidate {
	var cs []Candidate
	for _, s := range m.servers {
		cs = append(cs, Candidate{ID: s.id, DataCentre: "a"})
	}
	return cs
}

// addPickers adds n senders, each with its own Picker.
func (m *model) addPickers(n int) {
	for i := range n {
		p := New(DefaultConfig(), node(1000+i), "a", rand.NewPCG(m.rng.Uint64(), 2))
		p.Update(m.now, m.candidates())
		m.senders = append(m.senders, p)
	}
}

// run sends calls at the given rate from random senders and returns the share of the
// calls that each server received.
func (m *model) run(perSecond float64, d time.Duration) []float64 {
	total := 0
	for _, s := range m.servers {
		s.calls = 0
	}
	end := m.now.Add(d)
	next := m.now
	for next.Before(end) {
		m.finishUntil(next)
		m.send(m.senders[m.rng.IntN(len(m.senders))])
		total++
		next = next.Add(time.Duration(m.rng.ExpFloat64() / perSecond * float64(time.Second)))
	}
	var shares []float64
	for _, s := range m.servers {
		shares = append(shares, float64(s.calls)/float64(total))
	}
	return shares
}

func (m *model) send(from chooser) {
	id, _ := from.Pick(m.now, nil)
	for _, s := range m.servers {
		if s.id == id {
			s.calls++
			s.queue = append(s.queue, &job{from: from, target: s, arrived: m.now})
			m.start(s)
		}
	}
}

func (m *model) start(s *server) {
	for s.running < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		j.endsAt = m.now.Add(time.Duration((0.5 + m.rng.Float64()) * max(s.slowdown, 1) * float64(s.service)))
		at, _ := slices.BinarySearchFunc(m.running, j, func(a, b *job) int { return a.endsAt.Compare(b.endsAt) })
		m.running = slices.Insert(m.running, at, j)
	}
}

func (m *model) finishUntil(t time.Time) {
	for len(m.running) > 0 && !m.running[0].endsAt.After(t) {
		j := m.running[0]
		m.running = m.running[1:]
		m.now = j.endsAt
		j.target.running--
		m.latency += m.now.Sub(j.arrived)
		m.completed++
		m.start(j.target)
		load := j.target.running + len(j.target.queue)
		r := Result{Latency: m.now.Sub(j.arrived), Outcome: j.target.outcome, InFlight: load, Limit: j.target.slots}
		if j.target.slowdown > 0 {
			r.Work, r.Slowdown = j.target.service, j.target.slowdown
		}
		j.from.Done(m.now, j.target.id, r)
	}
	m.now = t
}

// roundRobin ignores load, latency and failures.
type roundRobin struct {
	ids  []wire.NodeID
	next int
}

func (r *roundRobin) Pick(time.Time, []wire.NodeID) (wire.NodeID, bool) {
	r.next++
	return r.ids[r.next%len(r.ids)], true
}

func (r *roundRobin) Done(time.Time, wire.NodeID, Result) {}

// leastLoaded trusts the last load report of each candidate.
type leastLoaded struct {
	ids  []wire.NodeID
	load map[wire.NodeID]int
}

func (l *leastLoaded) Pick(time.Time, []wire.NodeID) (wire.NodeID, bool) {
	best := l.ids[0]
	for _, id := range l.ids {
		if l.load[id] < l.load[best] {
			best = id
		}
	}
	return best, true
}

func (l *leastLoaded) Done(_ time.Time, id wire.NodeID, r Result) { l.load[id] = r.InFlight }
