package balancer

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/wire"
)

// chooser is what the model drives: a Picker or a naive version.
type chooser interface {
	Pick(now time.Time, exclude []wire.NodeID) (wire.NodeID, bool)
	Done(now time.Time, id wire.NodeID, r Result)
}

// server is a backend server with slots and a first-in-first-out queue.
type server struct {
	id      wire.NodeID
	slots   int
	service time.Duration
	outcome Outcome
	running int
	queue   []*job
	taken   int
}

type job struct {
	from    chooser
	at      *server
	arrived time.Time
	ends    time.Time
}

// model is a service under open-loop load: arrivals don't wait for answers.
type model struct {
	now     time.Time
	rng     *rand.Rand
	servers []*server
	senders []chooser
	running []*job
	done    int
	latency time.Duration // of all that are done
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

// addPickers adds senders that each have a Picker of their own.
func (m *model) addPickers(n int) {
	for i := range n {
		p := New(DefaultConfig(), node(1000+i), "a", rand.NewPCG(m.rng.Uint64(), 2))
		p.Update(m.now, m.candidates())
		m.senders = append(m.senders, p)
	}
}

// run sends at the given rate from random senders and returns the share of the
// calls that went to each server.
func (m *model) run(perSecond float64, d time.Duration) []float64 {
	total := 0
	for _, s := range m.servers {
		s.taken = 0
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
		shares = append(shares, float64(s.taken)/float64(total))
	}
	return shares
}

func (m *model) send(from chooser) {
	id, _ := from.Pick(m.now, nil)
	for _, s := range m.servers {
		if s.id == id {
			s.taken++
			s.queue = append(s.queue, &job{from: from, at: s, arrived: m.now})
			m.start(s)
		}
	}
}

func (m *model) start(s *server) {
	for s.running < s.slots && len(s.queue) > 0 {
		j := s.queue[0]
		s.queue = s.queue[1:]
		s.running++
		j.ends = m.now.Add(time.Duration((0.5 + m.rng.Float64()) * float64(s.service)))
		at, _ := slices.BinarySearchFunc(m.running, j, func(a, b *job) int { return a.ends.Compare(b.ends) })
		m.running = slices.Insert(m.running, at, j)
	}
}

func (m *model) finishUntil(t time.Time) {
	for len(m.running) > 0 && !m.running[0].ends.After(t) {
		j := m.running[0]
		m.running = m.running[1:]
		m.now = j.ends
		j.at.running--
		m.latency += m.now.Sub(j.arrived)
		m.done++
		m.start(j.at)
		load := j.at.running + len(j.at.queue)
		j.from.Done(m.now, j.at.id, Result{Latency: m.now.Sub(j.arrived), Outcome: j.at.outcome, InFlight: load, Limit: j.at.slots})
	}
	m.now = t
}

// roundRobin is the naive version that knows nothing.
type roundRobin struct {
	ids  []wire.NodeID
	next int
}

func (r *roundRobin) Pick(time.Time, []wire.NodeID) (wire.NodeID, bool) {
	r.next++
	return r.ids[r.next%len(r.ids)], true
}

func (r *roundRobin) Done(time.Time, wire.NodeID, Result) {}

// leastLoaded is the naive version that trusts the last report.
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
