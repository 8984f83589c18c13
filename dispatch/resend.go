package dispatch

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/verdict"
)

// A call of a running request fails that request, whose work is done, if it is given up.
// While its node has lost the links to all nodes of a service, such a call is therefore sent
// again until it leaves this node. An attempt that was never sent adds no load, so these
// resends take no extra attempts; pauses bound the dials.

const (
	// maxResendShare is the share of a call's time that resends may use. The rest is for
	// the run to answer that its call failed.
	maxResendShare = 0.9
	// minResendPause is the pause after no node could be reached; it doubles up to
	// maxResendPause.
	minResendPause = 25 * time.Millisecond
	maxResendPause = 200 * time.Millisecond
	// lostRetryAfter is the Retry-After of a call that could not be sent.
	lostRetryAfter = 100 * time.Millisecond
)

// resender resends one call that was never sent. It excludes nodes that were tried since the
// last pause.
type resender struct {
	d     *Dispatcher
	p     Params
	until time.Time
	// round is the index in attempts.tried of the first node tried since the last pause.
	round int
	pause time.Duration
}

func newResender(d *Dispatcher, p Params) *resender {
	now := time.Now()
	share := time.Duration(maxResendShare * float64(p.Deadline.Sub(now)))
	return &resender{d: d, p: p, until: now.Add(share), pause: minResendPause}
}

// unsent reports whether r is the result of an attempt that never left this node.
func unsent(r call.Reply) bool {
	return r.From.IsZero() && r.Verdict == verdict.NotRun && r.Reason == verdict.ConnectionLost
}

// next returns the node for the next attempt after the reply r, after a pause if all were
// tried. It returns false if the call must not be resent.
func (s *resender) next(ctx context.Context, a *attempts, r call.Reply) (target, bool) {
	if !s.p.ForRun || !unsent(r) {
		return target{}, false
	}
	if to, ok := s.d.pick(s.p, a.tried[s.round:]); ok {
		return to, true
	}
	s.round = len(a.tried)
	for time.Now().Add(s.pause).Before(s.until) && pause.For(ctx, s.pause) {
		s.pause = min(2*s.pause, maxResendPause)
		if to, ok := s.d.pick(s.p, nil); ok {
			return to, true
		}
	}
	return target{}, false
}
