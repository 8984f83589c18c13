package replay

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/daemon"
	"github.com/cassialoom/cassialoom/dispatch"
	"github.com/cassialoom/cassialoom/graph"
	production "github.com/cassialoom/cassialoom/node"
	"github.com/cassialoom/cassialoom/platform"
	"github.com/cassialoom/cassialoom/serve"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

// Policy is what the nodes do about load.
type Policy struct {
	Name     string
	Serve    serve.Config
	Dispatch dispatch.Config
	// Blind nodes do not know the slots of their backend servers.
	Blind bool
}

// bounds of extra attempts on both deployments: a fifth of the requests, and the
// slack of a window.
var bounds = platform.Bounds{RetryRatio: 0.2, RetrySlack: 60}

// Ours is the policy that runs on the platform.
func Ours() Policy {
	cfg := production.DefaultConfig()
	daemon.LoadPolicy(&cfg, bounds)
	return Policy{Name: "cassialoom", Serve: cfg.Serve, Dispatch: cfg.Dispatch}
}

// Naive passes everything on at once, to each backend server in turn.
func Naive() Policy {
	p := Ours()
	p.Name = "naive"
	p.Serve.Policy = serve.PolicyNone
	p.Dispatch.NoAdmission = true
	p.Dispatch.RoundRobin = true
	p.Dispatch.Reroutes, p.Dispatch.Reoffers, p.Dispatch.Hedge = 0, 0, false
	p.Dispatch.Budget.Ratio, p.Dispatch.Budget.Burst = 0, 0
	p.Blind = true
	return p
}

// Phase is a time with a steady load and steady troubles at the deepest service.
type Phase struct {
	Name string
	For  time.Duration
	// Load is a multiple of what fills the deepest service.
	Load float64
	// Slow multiplies the work of its first backend server, Decline is the
	// share that all of them turn away, and Lost of them are gone for good.
	Slow    float64
	Decline float64
	Lost    int
}

// Day is one run.
type Day struct {
	Deployment Deployment
	Phases     []Phase
	// Hard is the share of callers that come back at once, whatever they are
	// told.
	Hard float64
	Seed uint64
}

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
	}
	for i := range day.Phases {
		w.play(i)
	}
	w.callers.Wait()
	close(stop)
	w.report.finish()
	return w.report
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
			w.members.join(s.Name, wire.NodeID{byte(i + 1), byte(k + 1)})
		}
	}
	for i := range w.deployment.Services {
		s := &w.deployment.Services[i]
		for k, speed := range s.Speeds {
			n := newNode(w, s, speed, wire.NodeID{byte(i + 1), byte(k + 1)})
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
		n.backend.set(func(b *backend) { b.slow, b.decline, b.gone = slow, p.Decline, gone })
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

const (
	// tries of one caller at most.
	tries = 4
	// heedShare of the time left is the longest that a caller waits when it is
	// told when to come back.
	heedShare = 1.0 / 3
	// hardPause is the pause of a caller that does not heed.
	hardPause = 20 * time.Millisecond
	// backoff is the pause after a failure that names no time.
	backoff = 100 * time.Millisecond
)

// request is one request of a caller with all its tries.
type request struct {
	world *world
	class *Class
	phase int
	start time.Time
	hard  bool
	rng   *rand.Rand
}

func (r *request) send() {
	deadline := r.start.Add(r.class.Deadline)
	for try := 1; ; try++ {
		id := fmt.Sprint("r", r.world.nextID())
		n := r.world.all[r.rng.IntN(len(r.world.all))]
		ctx, stop := context.WithDeadline(context.Background(), deadline)
		out := n.enter(ctx, r.class, id, deadline)
		stop()
		if out.Verdict == verdict.Ran && out.Status == statusOK && time.Now().Before(deadline) {
			r.world.report.good(r, id, time.Since(r.start))
			return
		}
		pause, again := r.pause(out, time.Until(deadline))
		if !again || try == tries {
			return
		}
		time.Sleep(pause)
	}
}

// pause is how long the caller waits for its next try. A request that is not
// idempotent is only sent again if it has not run.
func (r *request) pause(out call.Outcome, left time.Duration) (time.Duration, bool) {
	if out.Verdict != verdict.NotRun && !r.class.Idempotent {
		return 0, false
	}
	wait := backoff
	switch {
	case r.hard:
		wait = hardPause
	case out.RetryAfter > 0:
		wait = min(out.RetryAfter, time.Duration(heedShare*float64(left)))
	}
	return wait, wait < left
}
