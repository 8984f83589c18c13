package replay

import (
	"context"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/dispatch"
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
	schedule   *schedule
	callers    sync.WaitGroup
	conditions atomic.Pointer[conditions]
}

// conditions are the phase in force and when it began.
type conditions struct {
	phase *Phase
	began time.Time
}

// linkLost reports whether the link from a node to another is lost.
func (sim *simulation) linkLost(from *node, id wire.NodeID) bool {
	c := sim.conditions.Load()
	loss := &c.phase.Loss
	to := sim.nodes[id]
	return loss.active(time.Since(c.began)) && to.service.Name == sim.deployment.Bottleneck &&
		sim.indexOf(to) < loss.Servers && (loss.From == "" || loss.From == from.centre)
}

// indexOf returns the index of a node among those of its service.
func (sim *simulation) indexOf(n *node) int { return int(n.id[1]) - 1 }

// Run runs a scenario under a policy. It must be called in a bubble of synctest.
func Run(scenario Scenario, policy Policy) *Report {
	sim := &simulation{
		deployment: &scenario.Deployment, policy: &policy, scenario: &scenario,
		rng:        rand.New(rand.NewPCG(scenario.Seed, 1)),
		nodes:      make(map[wire.NodeID]*node),
		members:    newMembers(),
		classes:    make(map[string]*Class),
		operations: make(map[*Class]*graph.Operation),
		schedule:   newSchedule(),
	}
	sim.report = newReport(&scenario, policy.Name)
	for _, c := range scenario.Deployment.Classes {
		sim.register(c)
	}
	sim.buildNodes()
	running, stop := context.WithCancel(context.Background())
	for _, n := range sim.nodeList {
		sim.schedule.after(0, func() { n.tick(running) })
		if policy.Dispatch.LevelGossip.Interval > 0 {
			rng := rand.New(rand.NewPCG(sim.nextSeed(), 5))
			sim.schedule.after(0, func() { n.gossipLevels(running, rng) })
		}
	}
	for i := range scenario.Phases {
		sim.runPhase(i)
	}
	sim.callers.Wait()
	// A call may still run after its caller gave up. Wait for the longest deadline:
	// synctest reports goroutines that are blocked at the end of the bubble as a
	// deadlock.
	time.Sleep(sim.longestDeadline())
	stop()
	sim.report.computeRecovery()
	sim.report.MaxRelativeLoad = sim.maxRelativeLoad()
	sim.reportRateLimits()
	sim.report.Digest = sim.schedule.digest
	return sim.report
}

// reportRateLimits sets the figures of the second phase about its rate limits.
func (sim *simulation) reportRateLimits() {
	p := sim.scenario.Phases[1]
	from := sim.report.start.Add(sim.scenario.Phases[0].Duration + limitSettleTime)
	to := sim.report.start.Add(sim.scenario.Phases[0].Duration + p.Duration)
	index := 0
	for _, n := range sim.nodeList {
		if n.service.Name != p.LimitedService || index >= len(p.RateLimits) {
			continue
		}
		use := float64(n.backend.record.Arrivals(from, to)) / (p.RateLimits[index] * to.Sub(from).Seconds())
		sim.report.LimitUse = append(sim.report.LimitUse, use)
		if err := n.backend.record.Check(); err != nil {
			sim.report.LimitsBroken = append(sim.report.LimitsBroken, err)
		}
		index++
	}
}

// maxRelativeLoad returns the value of Report.MaxRelativeLoad.
func (sim *simulation) maxRelativeLoad() float64 {
	var sent, speeds, highest float64
	for _, n := range sim.nodeList {
		if n.service.Name == sim.deployment.Bottleneck {
			sent += float64(n.attempts.Load())
			speeds += n.backend.speed
		}
	}
	for _, n := range sim.nodeList {
		if n.service.Name == sim.deployment.Bottleneck {
			highest = max(highest, float64(n.attempts.Load())/sent/(n.backend.speed/speeds))
		}
	}
	return highest
}

func (sim *simulation) longestDeadline() (longest time.Duration) {
	for _, c := range sim.classes {
		longest = max(longest, c.Deadline)
	}
	return longest
}

// register adds a class and the classes that it calls.
func (sim *simulation) register(c *Class) {
	sim.classes[c.Name] = c
	sim.operations[c] = operation(c)
	for _, callee := range c.Calls {
		if sim.classes[callee.Name] == nil {
			sim.register(callee)
		}
	}
}

// buildNodes creates the nodes after all members are known.
func (sim *simulation) buildNodes() {
	for i := range sim.deployment.Services {
		s := &sim.deployment.Services[i]
		for k := range s.Speeds {
			sim.members.add(s.Name, s.dataCentre(k), wire.NodeID{byte(i + 1), byte(k + 1)})
		}
	}
	for i := range sim.deployment.Services {
		s := &sim.deployment.Services[i]
		for k, speed := range s.Speeds {
			n := newNode(sim, s, speed, s.dataCentre(k), wire.NodeID{byte(i + 1), byte(k + 1)})
			sim.nodes[n.id] = n
			sim.nodeList = append(sim.nodeList, n)
		}
	}
}

// nextSeed returns a different seed at each call, derived from the seed of the scenario.
func (sim *simulation) nextSeed() uint64 {
	sim.seeds++
	return sim.scenario.Seed<<8 + sim.seeds
}

// nextID returns a unique request ID.
func (sim *simulation) nextID() string { return strconv.FormatUint(sim.ids.Add(1), 10) }

// tickInterval is the interval between ticks of a node, as in production.
const tickInterval = 5 * time.Millisecond

// tick calls Tick of the callee at tickInterval until stop ends.
func (n *node) tick(stop context.Context) {
	for i := 0; n.simulation.schedule.sleep(stop, tickInterval); i++ {
		if i%int(dispatch.ProbeInterval/tickInterval) == 0 {
			n.probeLostServices(stop)
		}
		n.apply(func(now time.Time, s *serve.Server) serve.Effects { return s.Tick(now) })
	}
}

// probeLostServices tries to reach the lost services, as in production.
func (n *node) probeLostServices(ctx context.Context) {
	for _, service := range n.dispatcher.Load().ServicesToProbe() {
		n.simulation.schedule.after(0, func() { n.dispatcher.Load().Probe(ctx, service) })
	}
}

// gossipLevels forwards admission levels to a few random nodes at a fixed interval, as in
// production.
func (n *node) gossipLevels(stop context.Context, rng *rand.Rand) {
	schedule := n.simulation.schedule
	interval := n.simulation.policy.Dispatch.LevelGossip.Interval
	schedule.sleep(stop, time.Duration(rng.Int64N(int64(interval))))
	for schedule.sleep(stop, interval) {
		levels := n.dispatcher.Load().OutgoingGossip(time.Now())
		if len(levels) == 0 {
			continue
		}
		for range production.GossipFanOut {
			to := n.simulation.nodeList[rng.IntN(len(n.simulation.nodeList))]
			schedule.after(link{from: n, to: to}.delay(), func() { to.dispatcher.Load().ReceiveGossip(time.Now(), levels) })
		}
	}
}

// runPhase sends the requests of one phase without waiting for their answers.
func (sim *simulation) runPhase(i int) {
	p := &sim.scenario.Phases[i]
	sim.applyConditions(p)
	end := time.Now().Add(p.Duration)
	for {
		gap := time.Duration(sim.rng.ExpFloat64() / (p.Load * sim.deployment.capacity()) * float64(time.Second))
		if !time.Now().Add(gap).Before(end) {
			time.Sleep(sim.schedule.delay(time.Until(end)))
			return
		}
		time.Sleep(sim.schedule.delay(gap))
		r := &request{simulation: sim, class: sim.pickClass(), phase: i, start: time.Now(), eager: sim.rng.Float64() < sim.scenario.EagerShare, rng: rand.New(rand.NewPCG(sim.nextSeed(), 2))}
		sim.report.offered(r)
		sim.callers.Add(1)
		sim.schedule.after(0, func() {
			defer sim.callers.Done()
			r.send()
		})
	}
}

// applyConditions sets the backend servers of the bottleneck service to the conditions of
// the phase.
func (sim *simulation) applyConditions(p *Phase) {
	sim.conditions.Store(&conditions{phase: p, began: time.Now()})
	sim.applyRateLimits(p)
	index := 0
	for _, n := range sim.nodeList {
		n.backend.update(func(b *backend) {
			b.rejectShare, b.silentShare, b.errorShare = p.Rejecting[n.service.Name], p.Silent[n.service.Name], 0
		})
		if slices.Contains(p.Restarting, n.service.Name) {
			n.restart()
		}
		if n.service.Name != sim.deployment.Bottleneck {
			continue
		}
		slowFactor := 1.0
		if index == 0 && p.SlowFactor > 0 {
			slowFactor = p.SlowFactor
		}
		stopped := index < p.LostServers
		n.backend.update(func(b *backend) {
			b.slowFactor, b.stopped = slowFactor, stopped
			b.rejectShare = max(b.rejectShare, p.RejectShare)
			if index < p.FaultyServers {
				b.silentShare, b.errorShare = p.SilentShare, p.ErrorShare
			}
		})
		if stopped {
			sim.members.remove(n.service.Name, n.id)
		}
		index++
	}
}

// applyRateLimits sets the rate limits that the backend servers name in the phase.
func (sim *simulation) applyRateLimits(p *Phase) {
	index := 0
	for _, n := range sim.nodeList {
		perSecond := float64(noRateLimit)
		if n.service.Name == p.LimitedService && index < len(p.RateLimits) {
			perSecond = p.RateLimits[index]
		}
		n.backend.update(func(b *backend) { b.rateLimit = perSecond })
		if n.service.Name == p.LimitedService {
			index++
		}
	}
}

// pickClass draws the class of the next request.
func (sim *simulation) pickClass() *Class {
	x := sim.rng.Float64()
	for _, c := range sim.deployment.Classes {
		if x -= c.Share; x < 0 {
			return c
		}
	}
	return sim.deployment.Classes[0]
}
