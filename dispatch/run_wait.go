package dispatch

import (
	"context"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/outage"
)

// runWait bounds the wait of one call for a service of which no node can be reached. The run
// that made the call holds a slot meanwhile; a request of a caller holds none.
type runWait struct {
	d *Dispatcher
	p *Params
	// untilEnded is the end of the wait for a service whose nodes have all ended: they must be
	// replaced first.
	untilEnded time.Time

	mu   sync.Mutex
	wait *outage.Wait // nil while the call doesn't wait
}

func newRunWait(d *Dispatcher, p *Params) *runWait {
	return &runWait{d: d, p: p, untilEnded: shareOfTime(p, maxTargetWaitShare)}
}

// shareOfTime returns the time at which a share of a call's remaining time has passed.
func shareOfTime(p *Params, share float64) time.Time {
	now := time.Now()
	return now.Add(time.Duration(share * float64(p.Deadline.Sub(now))))
}

// begin returns the wait of the call, which begins unless it has. It returns nil if the call may
// not wait.
func (w *runWait) begin() *outage.Wait {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wait == nil {
		w.wait = w.d.outages.beginWait(w.p)
	}
	return w.wait
}

// end ends the wait, if there is one.
func (w *runWait) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.wait != nil {
		w.d.outages.endWait(w.wait)
		w.wait = nil
	}
}

// mayTry reports whether an attempt may be made. While the service is lost only the calls that
// may wait for it try to reach it, since that can take as long as the wait itself.
func (w *runWait) mayTry() bool {
	return !w.p.ForRun || !w.d.outages.lost(w.p.Operation.Service) || w.begin() != nil
}

// pause waits for a time. It returns false if the call must give up: at until, earlier if the
// nodes of its service have ended, or for a more important run.
func (w *runWait) pause(ctx context.Context, d time.Duration, until time.Time) bool {
	if w.untilEnded.Before(until) && w.d.outages.ended(w.p.Operation.Service) {
		until = w.untilEnded
	}
	if !time.Now().Add(d).Before(until) {
		return false
	}
	if !w.p.ForRun {
		return pause.For(ctx, d)
	}
	wait := w.begin()
	if wait == nil {
		return false
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wait.Over():
		return false
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
