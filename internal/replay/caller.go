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
	// usualReturns is how often a caller tries again at most.
	usualReturns = 3
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
	returns := cmp.Or(r.class.Returns, usualReturns)
	for try := 0; ; try++ {
		id := fmt.Sprint("r", r.world.nextID())
		n := r.world.all[r.rng.IntN(len(r.world.all))]
		ctx, stop := context.WithDeadline(context.Background(), deadline)
		out := n.enter(ctx, r.class, id, deadline)
		stop()
		if out.Verdict == verdict.Ran && out.Status == statusOK && time.Now().Before(deadline) {
			r.world.report.good(r, id)
			return
		}
		r.world.report.bad(out, try)
		pause, again := r.pause(out, time.Until(deadline))
		if !again || try == returns {
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
