package replay

import (
	"cmp"
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// usualSpread is the coefficient of variation of the work of one class, as stated
// for most classes of the deployments.
const usualSpread = 0.5

// backend models one backend server. Its methods block in modelled time.
type backend struct {
	service *Service
	speed   float64

	mu      sync.Mutex
	rng     *rand.Rand
	busy    int
	waiting []chan struct{}
	// slow multiplies all work, decline is the share of requests that are
	// turned away without having run; gone takes none and answers none.
	slow, decline float64
	gone          bool
	// mute is the share of requests that it does not answer, errors of those that
	// it answers with a failure.
	mute, errors float64
}

func newBackend(s *Service, speed float64, seed uint64) *backend {
	return &backend{service: s, speed: speed, slow: 1, rng: rand.New(rand.NewPCG(seed, 7))}
}

// set changes the backend server's condition.
func (b *backend) set(change func(*backend)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	change(b)
}

// take waits for a slot; false if the request is declined or its context ends.
func (b *backend) take(ctx context.Context) bool {
	b.mu.Lock()
	if b.gone || b.rng.Float64() < b.decline {
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
	turn := make(chan struct{})
	b.waiting = append(b.waiting, turn)
	b.mu.Unlock()
	select {
	case <-turn:
		return true
	case <-ctx.Done():
		return b.abandon(turn)
	}
}

// abandon takes a request out of the backlog. Its turn may just have come: then it
// holds a slot, which goes to the next.
func (b *backend) abandon(turn chan struct{}) bool {
	b.mu.Lock()
	for i, w := range b.waiting {
		if w == turn {
			b.waiting = append(b.waiting[:i:i], b.waiting[i+1:]...)
			b.mu.Unlock()
			return false
		}
	}
	b.mu.Unlock()
	b.leave()
	return false
}

// leave frees a slot.
func (b *backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) == 0 {
		b.busy--
		return
	}
	close(b.waiting[0])
	b.waiting = b.waiting[1:]
}

// work is the time that a piece of work of a class takes now.
func (b *backend) work(c *Class) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	took := c.Work.Seconds() * b.slow / b.speed * b.lognormal(cmp.Or(c.Spread, usualSpread))
	if b.service.Knee > 0 && float64(b.busy) > b.service.Knee*float64(b.service.Slots) {
		took *= b.service.KneeFactor
	}
	return time.Duration(took * float64(time.Second))
}

// ending is how a backend server ends a piece of work.
type ending uint8

const (
	answers ending = iota
	silent
	fails
)

// end draws how the next piece of work ends.
func (b *backend) end() ending {
	b.mu.Lock()
	defer b.mu.Unlock()
	x := b.rng.Float64()
	switch {
	case x < b.mute:
		return silent
	case x < b.mute+b.errors:
		return fails
	default:
		return answers
	}
}

// lognormal has a mean of one and the given coefficient of variation.
func (b *backend) lognormal(spread float64) float64 {
	sigma2 := math.Log(1 + spread*spread)
	return math.Exp(math.Sqrt(sigma2)*b.rng.NormFloat64() - sigma2/2)
}
