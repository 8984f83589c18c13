package dispatch

import (
	"context"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/verdict"
)

// A call of a running request fails that request, whose work is done, if it is given up.
// While its node has lost the links to all nodes of a service, such a call is therefore sent
// again until it leaves this node. So is a call that only one node may run, because its key
// is bound there: given up, it may have run as far as its caller can know. An attempt that
// was never sent adds no load, so these transparent retries take no extra attempts; pauses
// bound the dials. The waiting runs hold slots; runWait bounds these.

const (
	// maxTransparentShare is the share of a call's time that transparent retries may use. The
	// rest is for the run to answer that its call failed.
	maxTransparentShare = 0.9
	// maxEntryTransparentShare is the same for a request of a caller. It leaves the caller time
	// to try another node, which may reach the one that its key is bound to.
	maxEntryTransparentShare = 0.5
	// minTransparentPause is the pause after no node could be reached; it doubles up to
	// maxTransparentPause.
	minTransparentPause = 25 * time.Millisecond
	maxTransparentPause = 200 * time.Millisecond
	// lostRetryAfter is the Retry-After of a call that could not be sent.
	lostRetryAfter = 100 * time.Millisecond
)

// transparentRetries decides the transparent retries of one call. It excludes nodes that were
// tried since the last pause.
type transparentRetries struct {
	d     *Dispatcher
	p     Params
	until time.Time
	// round is the index in attempts.tried of the first node tried since the last pause.
	round int
	pause time.Duration
}

func newTransparentRetries(d *Dispatcher, p Params) *transparentRetries {
	share := maxTransparentShare
	if p.FromCaller {
		share = maxEntryTransparentShare
	}
	return &transparentRetries{d: d, p: p, until: shareOfTime(&p, share), pause: minTransparentPause}
}

// unsent reports whether r is the result of an attempt that never left this node and was not
// bound to one node.
func unsent(r call.Reply) bool {
	return r.From.IsZero() && r.Verdict == verdict.NotRun && r.Reason == verdict.ConnectionLost
}

// unsentToHolder is unsent for the node that a key is bound to.
func unsentToHolder(r call.Reply) bool { return r.From.IsZero() && r.Reason == verdict.KeyHolderGone }

// neverSent reports whether r is the result of an attempt that never left this node.
func neverSent(r call.Reply) bool { return unsent(r) || unsentToHolder(r) }

// next returns the node for the next attempt after the reply r to an attempt at last, after a
// pause if all were tried. It returns false if there is none.
func (s *transparentRetries) next(ctx context.Context, a *attempts, last target, r call.Reply) (target, bool) {
	switch {
	case last.onlyHolder && unsentToHolder(r) && r.RetryAfter > 0: // it has not ended
		return s.nextAtHolder(ctx, last)
	case s.p.ForRun && unsent(r):
		return s.nextAtAnyNode(ctx, a)
	default:
		return target{}, false
	}
}

// nextAtHolder returns last after a pause, unless that node is no longer there.
func (s *transparentRetries) nextAtHolder(ctx context.Context, last target) (target, bool) {
	return last, s.d.members.Known(last.id) && s.pauseRound(ctx)
}

func (s *transparentRetries) nextAtAnyNode(ctx context.Context, a *attempts) (target, bool) {
	if to, ok := s.d.pick(s.p, a.tried[s.round:]); ok {
		return to, true
	}
	s.round = len(a.tried)
	for s.pauseRound(ctx) {
		if to, ok := s.d.pick(s.p, nil); ok {
			return to, true
		}
	}
	return target{}, false
}

// pauseRound makes the pause before the next round. It returns false if the call must give up.
func (s *transparentRetries) pauseRound(ctx context.Context) bool {
	if !s.p.wait.pause(ctx, s.pause, s.until) {
		return false
	}
	s.pause = min(2*s.pause, maxTransparentPause)
	return true
}
