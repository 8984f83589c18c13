package replay

import (
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/graph"
	production "github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/wire"
)

// world is a Day while it runs.
type world struct {
	deployment *Deployment
	policy     *Policy
	day        *Day
	rng        *rand.Rand
	ids        atomic.Uint64
	seeds      uint64
	nodes      map[wire.NodeID]*node // fixed once the day begins
	all        []*node
	members    *members
	classes    map[string]*Class
	operations map[*Class]*graph.Operation
	report     *Report
	callers    sync.WaitGroup
}

// Play runs a day under a policy. It must be called in a bubble of synctest.
func Play(day Day, policy Policy) *Report {
	w := &world{
		deployment: &day.Deployment, policy: &policy, day: &day,
		rng:        rand.New(rand.NewPCG(day.Seed, 1)),
		nodes:      make(map[wire.NodeID]*node),
		members:    newMembers(),
		classes:    make(map[string]*Class),
		operations: make(map[*Class]*graph.Operation),
	}
	w.report = newReport(&day, policy.Name)
	for _, c := range day.Deployment.Classes {
		w.know(c)
	}
	w.build()
	stop := make(chan struct{})
	for _, n := range w.all {
		go n.tick(stop)
		if policy.Dispatch.LevelGossip.Interval > 0 {
			go n.tellLevels(stop, rand.New(rand.NewPCG(w.seed(), 5)))
		}
	}
	for i := range day.Phases {
		w.play(i)
	}
	w.callers.Wait()
	// A call that its caller has given up may still be at work, and its cancel on
	// the way. Nothing outlives the longest deadline; what is blocked when the
	// bubble ends, where time no longer moves, is a deadlock to it.
	time.Sleep(w.longestDeadline())
	close(stop)
	w.report.finish()
	w.report.Busiest = w.busiest()
	return w.report
}

// busiest is the most that a backend server of the deepest service was sent of the
// share that its speed gives it.
func (w *world) busiest() float64 {
	var sent, speeds, most float64
	for _, n := range w.all {
		if n.service.Name == w.deployment.Deepest {
			sent += float64(n.arrived.Load())
			speeds += n.backend.speed
		}
	}
	for _, n := range w.all {
		if n.service.Name == w.deployment.Deepest {
			most = max(most, float64(n.arrived.Load())/sent/(n.backend.speed/speeds))
		}
	}
	return most
}

func (w *world) longestDeadline() (longest time.Duration) {
	for _, c := range w.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

func (w *world) know(c *Class) {
	w.classes[c.Name] = c
	w.operations[c] = operation(c)
	for _, below := range c.Calls {
		if w.classes[below.Name] == nil {
			w.know(below)
		}
	}
}

func (w *world) build() {
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		for k := range s.Speeds {
			w.members.join(s.Name, s.centre(k), wire.NodeID{byte(i + 1), byte(k + 1)})
		}
	}
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		for k, speed := range s.Speeds {
			n := newNode(w, s, speed, s.centre(k), wire.NodeID{byte(i + 1), byte(k + 1)})
			w.nodes[n.id] = n
			w.all = append(w.all, n)
		}
	}
}

func (w *world) seed() uint64 {
	w.seeds++
	return w.day.Seed<<8 + w.seeds
}

func (w *world) nextID() string { return strconv.FormatUint(w.ids.Add(1), 10) }

// tickEvery is how often a node looks after what waits, as in production.
const tickEvery = 5 * time.Millisecond

func (n *node) tick(stop <-chan struct{}) {
	ticker := time.NewTicker(tickEvery)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			n.do(func(now time.Time, s *serve.Server) serve.Effects { return s.Tick(now) })
		}
	}
}

// tellLevels passes the levels of services on to a few nodes, as in production.
func (n *node) tellLevels(stop <-chan struct{}, rng *rand.Rand) {
	interval := n.world.policy.Dispatch.LevelGossip.Interval
	time.Sleep(time.Duration(rng.Int64N(int64(interval))))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		told := n.dispatch.OutgoingGossip(time.Now())
		if len(told) == 0 {
			continue
		}
		for range production.GossipFanOut {
			to := n.world.all[rng.IntN(len(n.world.all))]
			time.AfterFunc(link{from: n, to: to}.delay(), func() { to.dispatch.ReceiveGossip(time.Now(), told) })
		}
	}
}

// play sends the requests of one phase; they do not wait for answers.
func (w *world) play(i int) {
	p := &w.day.Phases[i]
	w.trouble(p)
	end := time.Now().Add(p.For)
	for {
		gap := time.Duration(w.rng.ExpFloat64() / (p.Load * w.deployment.capacity()) * float64(time.Second))
		if !time.Now().Add(gap).Before(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(gap)
		r := &request{world: w, class: w.pick(), phase: i, start: time.Now(), hard: w.rng.Float64() < w.day.Hard, rng: rand.New(rand.NewPCG(w.seed(), 2))}
		w.report.offered(r)
		w.callers.Go(r.send)
	}
}

// trouble brings the deepest service's backend servers into the phase's condition.
func (w *world) trouble(p *Phase) {
	at := 0
	for _, n := range w.all {
		if n.service.Name != w.deployment.Deepest {
			continue
		}
		slow := 1.0
		if at == 0 && p.Slow > 0 {
			slow = p.Slow
		}
		gone := at < p.Lost
		mute, errors := 0.0, 0.0
		if at < p.Grey {
			mute, errors = p.Mute, p.Errors
		}
		n.backend.set(func(b *backend) {
			b.slow, b.decline, b.gone = slow, p.Decline, gone
			b.mute, b.errors = mute, errors
		})
		if gone {
			w.members.leave(n.service.Name, n.id)
		}
		at++
	}
}

func (w *world) pick() *Class {
	x := w.rng.Float64()
	for _, c := range w.deployment.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return w.deployment.Classes[0]
}
