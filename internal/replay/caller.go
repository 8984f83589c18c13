package replay

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	// defaultMaxRetries is how often a caller retries a request at most.
	defaultMaxRetries = 3
	// maxRetryAfterShare is the share of the remaining deadline that a compliant
	// caller waits at most when a refusal names a time to retry.
	maxRetryAfterShare = 1.0 / 3
	// eagerPause is the pause of a caller that ignores Retry-After.
	eagerPause = 20 * time.Millisecond
	// backoff is the pause after a failure that names no time to retry.
	backoff = 100 * time.Millisecond
)

// request is one request of a caller with all its tries.
type request struct {
	simulation *simulation
	class      *Class
	phase      int
	start      time.Time
	eager      bool
	rng        *rand.Rand
}

// send tries the request at random nodes until it succeeds, may not be retried or reaches
// its deadline.
func (r *request) send() {
	schedule := r.simulation.schedule
	deadline := schedule.deadline(r.start.Add(r.class.Deadline))
	maxRetries := cmp.Or(r.class.MaxRetries, defaultMaxRetries)
	for try := 0; ; try++ {
		id := fmt.Sprint("r", r.simulation.nextID())
		n := r.simulation.nodeList[r.rng.IntN(len(r.simulation.nodeList))]
		ctx, stop := context.WithDeadline(context.Background(), deadline)
		out := n.enter(ctx, r.class, id, deadline)
		stop()
		schedule.settle()
		if out.Verdict == verdict.Ran && out.Status == statusOK && time.Now().Before(deadline) {
			r.simulation.report.succeeded(r, id)
			return
		}
		r.simulation.report.failed(out, try)
		pause, retry := r.pause(out, time.Until(deadline))
		if !retry || try == maxRetries {
			return
		}
		time.Sleep(schedule.delay(pause))
	}
}

// pause returns the time to wait before the next try, and whether there is one. A
// request that is not idempotent is retried only if it has not run.
func (r *request) pause(out call.Outcome, remaining time.Duration) (time.Duration, bool) {
	if out.Verdict != verdict.NotRun && !r.class.Idempotent {
		return 0, false
	}
	wait := backoff
	switch {
	case r.eager:
		wait = eagerPause
	case out.RetryAfter > 0:
		wait = min(out.RetryAfter, time.Duration(maxRetryAfterShare*float64(remaining)))
	}
	return wait, wait < remaining
}
