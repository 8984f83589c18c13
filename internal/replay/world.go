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

// simulation is the state of one run.
type simulation struct {
	deployment *Deployment
	policy     *Policy
	scenario   *Scenario
	rng        *rand.Rand
	ids        atomic.Uint64
	seeds      uint64
	nodes      map[wire.NodeID]*node // fixed once the day begins
	nodeList   []*node
	members    *members
	classes    map[string]*Class
	operations map[*Class]*graph.Operation
	report     *Report
	callers    sync.WaitGroup
}

// Run runs a scenario under a policy. It must be called in a bubble of synctest.
func Run(scenario Scenario, policy Policy) *Report {
	w := &simulation{
		deployment: &scenario.Deployment, policy: &policy, scenario: &scenario,
		rng:        rand.New(rand.NewPCG(scenario.Seed, 1)),
		nodes:      make(map[wire.NodeID]*node),
		members:    newMembers(),
		classes:    make(map[string]*Class),
		operations: make(map[*Class]*graph.Operation),
	}
	w.report = newReport(&scenario, policy.Name)
	for _, c := range scenario.Deployment.Classes {
		w.register(c)
	}
	w.buildNodes()
	stop := make(chan struct{})
	for _, n := range w.nodeList {
		go n.tick(stop)
		if policy.Dispatch.News.Interval > 0 {
			go n.gossipLevels(stop, rand.New(rand.NewPCG(w.nextSeed(), 5)))
		}
	}
	for i := range scenario.Phases {
		w.runPhase(i)
	}
	w.callers.Wait()
	// A call may still run after its caller gave up. Wait for the longest deadline:
	// synctest reports goroutines that are blocked at the end of the bubble as a
	// deadlock.
	time.Sleep(w.longestDeadline())
	close(stop)
	w.report.computeRecovery()
	w.report.MaxRelativeLoad = w.maxRelativeLoad()
	return w.report
}

// maxRelativeLoad returns the value of Report.MaxRelativeLoad.
func (w *simulation) maxRelativeLoad() float64 {
	var sent, speeds, highest float64
	for _, n := range w.nodeList {
		if n.service.Name == w.deployment.Bottleneck {
			sent += float64(n.attempts.Load())
			speeds += n.backend.speed
		}
	}
	for _, n := range w.nodeList {
		if n.service.Name == w.deployment.Bottleneck {
			highest = max(highest, float64(n.attempts.Load())/sent/(n.backend.speed/speeds))
		}
	}
	return highest
}

func (w *simulation) longestDeadline() (longest time.Duration) {
	for _, c := range w.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// register adds a class and the classes that it calls.
func (w *simulation) register(c *Class) {
	w.classes[c.Name] = c
	w.operations[c] = operation(c)
	for _, callee := range c.Calls {
		if w.classes[callee.Name] == nil {
			w.register(callee)
		}
	}
}

// buildNodes creates the nodes after all members are known.
func (w *simulation) buildNodes() {
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		for k := range s.Speeds {
			w.members.add(s.Name, s.dataCentre(k), wire.NodeID{byte(i + 1), byte(k + 1)})
		}
	}
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		for k, speed := range s.Speeds {
			n := newNode(w, s, speed, s.dataCentre(k), wire.NodeID{byte(i + 1), byte(k + 1)})
			w.nodes[n.id] = n
			w.nodeList = append(w.nodeList, n)
		}
	}
}

func (w *simulation) nextSeed() uint64 {
	w.seeds++
	return w.scenario.Seed<<8 + w.seeds
}

func (w *simulation) nextID() string { return strconv.FormatUint(w.ids.Add(1), 10) }

// tickInterval is the interval between ticks of a node, as in production.
const tickInterval = 5 * time.Millisecond

func (n *node) tick(stop <-chan struct{}) {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
			n.apply(func(now time.Time, s *serve.Server) serve.Effects { return s.Tick(now) })
		}
	}
}

// gossipLevels forwards admission levels to a few random nodes at a fixed interval, as in
// production.
func (n *node) gossipLevels(stop <-chan struct{}, rng *rand.Rand) {
	interval := n.simulation.policy.Dispatch.News.Interval
	time.Sleep(time.Duration(rng.Int64N(int64(interval))))
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-stop:
			return
		case <-ticker.C:
		}
		levels := n.dispatch.TellLevels(time.Now())
		if len(levels) == 0 {
			continue
		}
		for range production.NewsFanOut {
			to := n.simulation.nodeList[rng.IntN(len(n.simulation.nodeList))]
			time.AfterFunc(link{from: n, to: to}.delay(), func() { to.dispatch.HearLevels(time.Now(), levels) })
		}
	}
}

// runPhase sends the requests of one phase without waiting for their answers.
func (w *simulation) runPhase(i int) {
	p := &w.scenario.Phases[i]
	w.applyConditions(p)
	end := time.Now().Add(p.Duration)
	for {
		gap := time.Duration(w.rng.ExpFloat64() / (p.Load * w.deployment.capacity()) * float64(time.Second))
		if !time.Now().Add(gap).Before(end) {
			time.Sleep(time.Until(end))
			return
		}
		time.Sleep(gap)
		r := &request{simulation: w, class: w.pickClass(), phase: i, start: time.Now(), eager: w.rng.Float64() < w.scenario.EagerShare, rng: rand.New(rand.NewPCG(w.nextSeed(), 2))}
		w.report.offered(r)
		w.callers.Go(r.send)
	}
}

// applyConditions sets the backend servers of the bottleneck service to the conditions of
// the phase.
func (w *simulation) applyConditions(p *Phase) {
	index := 0
	for _, n := range w.nodeList {
		if n.service.Name != w.deployment.Bottleneck {
			continue
		}
		slowFactor := 1.0
		if index == 0 && p.SlowFactor > 0 {
			slowFactor = p.SlowFactor
		}
		stopped := index < p.LostServers
		silentShare, errorShare := 0.0, 0.0
		if index < p.FaultyServers {
			silentShare, errorShare = p.SilentShare, p.ErrorShare
		}
		n.backend.update(func(b *backend) {
			b.slowFactor, b.rejectShare, b.stopped = slowFactor, p.RejectShare, stopped
			b.silentShare, b.errorShare = silentShare, errorShare
		})
		if stopped {
			w.members.remove(n.service.Name, n.id)
		}
		index++
	}
}

// pickClass draws the class of the next request.
func (w *simulation) pickClass() *Class {
	x := w.rng.Float64()
	for _, c := range w.deployment.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return w.deployment.Classes[0]
}
