package rig

import (
	"context"
	"sync"
	"time"
)

const stallTick = 20 * time.Millisecond

// StallWatch notes for how long this machine did not let its own goroutine
// run. What is measured while a machine stands still says nothing about the
// programs on it.
type StallWatch struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	longest time.Duration
}

// WatchStalls starts watching.
func WatchStalls() *StallWatch {
	ctx, stop := context.WithCancel(context.Background())
	w := &StallWatch{stop: stop}
	w.done.Go(func() { w.watch(ctx) })
	return w
}

func (w *StallWatch) watch(ctx context.Context) {
	ticker := time.NewTicker(stallTick)
	defer ticker.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		now := time.Now()
		w.note(now.Sub(last) - stallTick)
		last = now
	}
}

func (w *StallWatch) note(stall time.Duration) {
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

// Stop ends the watch.
func (w *StallWatch) Stop() {
	w.stop()
	w.done.Wait()
}
