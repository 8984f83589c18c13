package backend

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// lognormalSigma gives a 99th percentile of about 3.1 times the mean, a
// usual tail of a storage-backed service.
const lognormalSigma = 0.7

// work draws service times.
type work struct {
	mu       sync.Mutex
	rng      *rand.Rand
	times    map[string]serviceTime
	fallback serviceTime

	slowFactor float64
	coldFor    time.Duration
	coldFactor float64
	started    time.Time
}

func newWork(cfg Config, times map[string]serviceTime, now time.Time) *work {
	return &work{
		rng:        rand.New(rand.NewPCG(cfg.Seed, hashName(cfg.Service))),
		times:      times,
		fallback:   serviceTime{Mean: cfg.Time, Distribution: exponential},
		slowFactor: 1,
		coldFor:    cfg.ColdFor,
		coldFactor: cfg.ColdFactor,
		started:    now,
	}
}

// draw returns the service time of one request.
func (w *work) draw(now time.Time, operation string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	st, ok := w.times[operation]
	if !ok {
		st = w.fallback
	}
	factor := w.sample(st.Distribution) * w.slowFactor * w.coldness(now)
	return time.Duration(float64(st.Mean) * factor)
}

// sample returns a random factor with mean 1.
func (w *work) sample(d distribution) float64 {
	switch d {
	case exponential:
		return w.rng.ExpFloat64()
	case lognormal:
		return math.Exp(w.rng.NormFloat64()*lognormalSigma - lognormalSigma*lognormalSigma/2)
	default:
		return 1
	}
}

// coldness falls linearly from coldFactor to 1.
func (w *work) coldness(now time.Time) float64 {
	age := now.Sub(w.started)
	if age >= w.coldFor {
		return 1
	}
	left := 1 - float64(age)/float64(w.coldFor)
	return 1 + (w.coldFactor-1)*left
}

func (w *work) setSlowFactor(f float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowFactor = f
}

// restartCold begins the cold start anew.
func (w *work) restartCold(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started = now
}

// pause works for d or until nobody waits for the answer any more.
func pause(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
