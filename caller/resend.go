package caller

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// course is the decision whether to send a request again. It is not safe for
// concurrent use.
type course struct {
	cfg Config
	// safe says that an attempt after a doubt does no harm.
	safe     bool
	attempts int
	// worst is the strongest claim that a failed attempt leaves.
	worst verdict.Verdict
}

// next is what to do after a failed attempt.
type next struct {
	Again bool
	Wait  time.Duration
}

// failed takes the error of the latest attempt. left is the time until the
// deadline, jitter a random number in [0, 1), allowed whether the bound over
// all requests has room.
func (c *course) failed(e *verdict.Error, left time.Duration, jitter float64, allowed func() bool) next {
	c.attempts++
	c.worst = stronger(c.worst, e.Verdict)
	if c.attempts >= c.cfg.Attempts || !worthwhile(e.Reason) {
		return next{}
	}
	if c.worst != verdict.NotRun && !c.safe {
		return next{}
	}
	wait := c.wait(proposed(e), jitter)
	if wait >= left || !allowed() {
		return next{}
	}
	return next{Again: true, Wait: wait}
}

// proposed is the time that the node asks the caller to wait. A node that is
// leaving asks it for itself: waiting for it would only delay the request,
// since the next attempt goes to another node.
func proposed(e *verdict.Error) time.Duration {
	if e.Reason == verdict.Draining {
		return 0
	}
	return e.RetryAfter
}

func (c *course) wait(proposed time.Duration, jitter float64) time.Duration {
	backoff := c.cfg.Backoff << (c.attempts - 1)
	wait := max(proposed, backoff)
	return wait + time.Duration(float64(wait)*c.cfg.Jitter*jitter)
}

// conclude returns the error for the whole request. Without it an attempt
// that was lost on its way, followed by a refusal, would be reported as "not
// run" while the first attempt still arrives and runs.
func (c *course) conclude(e *verdict.Error) *verdict.Error {
	if c.worst == e.Verdict {
		return e
	}
	whole := *e
	whole.Verdict = c.worst
	return &whole
}

// stronger orders the claims: "ran" outweighs a doubt, a doubt "not run".
func stronger(a, b verdict.Verdict) verdict.Verdict {
	if b == verdict.Unknown {
		b = verdict.MayHaveRun
	}
	return max(a, b)
}

// worthwhile reports whether another attempt can fare better.
func worthwhile(r verdict.Reason) bool {
	return r.Elsewhere() || r == verdict.KeyNotBound || keySpent(r)
}

// keySpent reports whether a new key would do better.
func keySpent(r verdict.Reason) bool {
	return r == verdict.KeyExpired || r == verdict.KeyHolderGone
}

// holderUnfit reports whether the node that a key names cannot run requests,
// so that its other keys are of no use either.
func holderUnfit(r verdict.Reason) bool {
	switch r {
	case verdict.KeyHolderGone, verdict.NoBackend, verdict.Draining, verdict.Lost:
		return true
	default:
		return false
	}
}

// wantsNewKey reports whether a minted key should be replaced before the next
// attempt: another holder may fare better. Never while the old key may have
// run: the new one would run the action again.
func (c *course) wantsNewKey(e *verdict.Error) bool {
	return c.worst == verdict.NotRun && (e.Reason.Elsewhere() || keySpent(e.Reason))
}
