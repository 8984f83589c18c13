package backend

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

// lognormalSigma gives the tail latency that is usual for a service with storage.
const lognormalSigma = 0.7

// serviceTimer draws service times. It is safe for concurrent use.
type serviceTimer struct {
	mu          sync.Mutex
	rng         *rand.Rand
	times       map[string]serviceTime
	defaultTime serviceTime

	slowFactor float64
	coldFor    time.Duration
	coldFactor float64
	coldSince  time.Time
}

func newServiceTimer(cfg Config, times map[string]serviceTime, now time.Time) *serviceTimer {
	return &serviceTimer{
		rng:         rand.New(rand.NewPCG(cfg.Seed, hashName(cfg.Service))),
		times:       times,
		defaultTime: serviceTime{Mean: cfg.Time, Distribution: exponential},
		slowFactor:  1,
		coldFor:     cfg.ColdFor,
		coldFactor:  cfg.ColdFactor,
		coldSince:   now,
	}
}

// draw draws the service time of one request.
func (w *serviceTimer) draw(now time.Time, operation string) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	st, ok := w.times[operation]
	if !ok {
		st = w.defaultTime
	}
	factor := w.sample(st.Distribution) * w.slowFactor * w.coldFactorAt(now)
	return time.Duration(float64(st.Mean) * factor)
}

// sample returns a random factor with mean 1.
func (w *serviceTimer) sample(d distribution) float64 {
	switch d {
	case exponential:
		return w.rng.ExpFloat64()
	case lognormal:
		return math.Exp(w.rng.NormFloat64()*lognormalSigma - lognormalSigma*lognormalSigma/2)
	default:
		return 1
	}
}

// coldFactorAt returns the factor of the cold start, which falls linearly from coldFactor
// to 1.
func (w *serviceTimer) coldFactorAt(now time.Time) float64 {
	age := now.Sub(w.coldSince)
	if age >= w.coldFor {
		return 1
	}
	remaining := 1 - float64(age)/float64(w.coldFor)
	return 1 + (w.coldFactor-1)*remaining
}

func (w *serviceTimer) setSlowFactor(f float64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.slowFactor = f
}

// restartCold restarts the cold start.
func (w *serviceTimer) restartCold(now time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.coldSince = now
}

// sleep waits for d or until ctx ends, and returns the error of ctx.
func sleep(ctx context.Context, d time.Duration) error {
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
