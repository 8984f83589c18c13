package replay

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/ratebound"
	"github.com/cassialoom/cassialoom/limit"
)

// defaultSpread is the coefficient of variation of the work of a class that states
// none.
const defaultSpread = 0.5

// backend models one backend server. Its methods block in simulated time.
type backend struct {
	service  *Service
	speed    float64
	schedule *schedule

	mu      sync.Mutex
	rng     *rand.Rand
	busy    int
	waiting []chan struct{}
	// slowFactor multiplies all work. rejectShare is the share of requests that are
	// rejected before they run. A stopped backend server accepts and answers no
	// request.
	slowFactor, rejectShare float64
	stopped                 bool
	// silentShare is the share of requests that get no answer; errorShare is the share
	// that are answered with a failure.
	silentShare, errorShare float64
	// rateLimit is the limit that it names, negative for none. record holds what it named
	// and got.
	rateLimit float64
	record    ratebound.Record
}

// noRateLimit is the rateLimit of a backend server that names none.
const noRateLimit = -1

func newBackend(s *Service, speed float64, schedule *schedule, seed uint64) *backend {
	return &backend{service: s, speed: speed, schedule: schedule, slowFactor: 1, rateLimit: noRateLimit, rng: rand.New(rand.NewPCG(seed, 7))}
}

// update changes the condition of the backend server.
func (b *backend) update(change func(*backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

// acquireSlot waits for a free slot. It returns false if the request is rejected or
// ctx ends first.
func (b *backend) acquireSlot(ctx context.Context) bool {
	b.mu.Lock()
	if b.stopped || b.rng.Float64() < b.rejectShare {
		b.mu.Unlock()
		return false
	}
	if b.busy < b.service.Slots {
		b.busy++
		b.mu.Unlock()
		return true
	}
	if len(b.waiting) >= b.service.Backlog {
		b.mu.Unlock()
		return false
	}
	granted := make(chan struct{})
	b.waiting = append(b.waiting, granted)
	b.mu.Unlock()
	select {
	case <-granted:
		return true
	case <-ctx.Done():
		return b.leaveBacklog(granted)
	}
}

// leaveBacklog removes a request from the backlog. If the request has received a slot
// in the meantime, the slot goes to the next request.
func (b *backend) leaveBacklog(granted chan struct{}) bool {
	b.mu.Lock()
	for i, waiter := range b.waiting {
		if waiter == granted {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			b.mu.Unlock()
			return false
		}
	}
	b.mu.Unlock()
	b.releaseSlot()
	return false
}

// releaseSlot passes the slot to the next request of the backlog, or frees it.
func (b *backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.busy--
		return
	}
	granted := b.waiting[0]
	b.waiting = b.waiting[1:]
	b.schedule.after(0, func() { close(granted) })
}

// everyNode stands for all nodes in the record of a backend server: the check counts the
// requests of nodes that don't know the limit, too.
const everyNode = "all"

// recordArrival records a request that reaches the backend server.
func (b *backend) recordArrival() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Arrived(time.Now(), everyNode)
}

// nameLimit returns what an answer says about the rate limit.
func (b *backend) nameLimit() limit.Statement {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.record.Name(time.Now(), b.rateLimit)
	if b.rateLimit < 0 {
		return limit.Statement{}
	}
	b.record.Forwarded(everyNode, time.Now())
	return limit.Statement{Named: true, PerSecond: b.rateLimit}
}

// work draws the time that a request of class c takes at the current load.
func (b *backend) work(c *Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	took := c.Work.Seconds() * b.slowFactor / b.speed * b.lognormal(cmp.Or(c.Spread, defaultSpread))
	if b.service.Knee > 0 && float64(b.busy) > b.service.Knee*float64(b.service.Slots) {
		took *= b.service.KneeFactor
	}
	return time.Duration(took * float64(time.Second))
}

// workResult is how the work of a backend server on a request ends.
type workResult uint8

const (
	workSucceeds workResult = iota
	workSilent
	workFails
)

// drawResult draws the result of the next request.
func (b *backend) drawResult() workResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.rng.Float64()
	switch {
	case x < b.silentShare:
		return workSilent
	case x < b.silentShare+b.errorShare:
		return workFails
	default:
		return workSucceeds
	}
}

// lognormal draws a value with a mean of one and the given coefficient of variation.
func (b *backend) lognormal(spread float64) float64 {
	sigma2 := math.Log(1 + spread*spread)
	return math.Exp(math.Sqrt(sigma2)*b.rng.NormFloat64() - sigma2/2)
}
