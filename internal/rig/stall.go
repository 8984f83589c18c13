package rig

import (
	"context"
	"sync"
	"time"
)

const stallInterval = 20 * time.Millisecond

// StallWatch measures for how long this machine did not schedule its goroutine.
// Measurements during a long stall say nothing about the programs on the machine.
type StallWatch struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	longest time.Duration
}

// WatchStalls starts a watch; Stop ends it.
func WatchStalls() *StallWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &StallWatch{stop: stop}
	w.done.Go(func() { w.watch(ctx) })
	return w
}

func (w *StallWatch) watch(ctx context.Context) {
	ticker := time.NewTicker(stallInterval)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		w.observe(now.Sub(last) - stallInterval)
		last = now
	}
}

func (w *StallWatch) observe(stall time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.longest = max(w.longest, stall)
}

// Longest returns the longest stall so far.
func (w *StallWatch) Longest() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.longest
}

// Stop ends the watch and waits for its goroutine.
func (w *StallWatch) Stop() {
	w.stop()
	w.done.Wait()
}
