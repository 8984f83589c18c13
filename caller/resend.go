package caller

import (
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// retries holds the failed attempts of a request and decides about retries. It is
// not safe for concurrent use.
type retries struct {
	cfg Config
	// safe means that a retry is safe even if an earlier attempt may have run.
	safe     bool
	attempts int
	// overall is the verdict of all failed attempts together.
	overall verdict.Verdict
}

// decision says whether to retry after a failed attempt, and after which time.
type decision struct {
	Retry bool
	Wait  time.Duration
}

// afterFailure records the error of the latest attempt and decides whether to retry.
// remaining is the time until the deadline, jitter a random number in [0, 1), and allowed
// reports whether the retry budget over all requests permits a retry.
func (s *retries) afterFailure(e *verdict.Error, remaining time.Duration, jitter float64, allowed func() bool) decision {
	s.attempts++
	s.overall = stronger(s.overall, e.Verdict)
	if s.attempts >= s.cfg.Attempts || !retryMaySucceed(e.Reason) {
		return decision{}
	}
	if s.overall != verdict.NotRun && !s.safe {
		return decision{}
	}
	wait := s.wait(requestedDelay(e), jitter)
	if wait >= remaining || !allowed() {
		return decision{}
	}
	return decision{Retry: true, Wait: wait}
}

// requestedDelay returns the Retry-After of an error. It ignores that of a draining
// node, since the next attempt goes to another node.
func requestedDelay(e *verdict.Error) time.Duration {
	if e.Reason == verdict.Draining {
		return 0
	}
	return e.RetryAfter
}

// wait returns the time before the next attempt: the longer of the requested delay and
// the exponential backoff, with jitter.
func (s *retries) wait(requested time.Duration, jitter float64) time.Duration {
	backoff := s.cfg.Backoff << (s.attempts - 1)
	wait := max(requested, backoff)
	return wait + time.Duration(float64(wait)*s.cfg.Jitter*jitter)
}

// finalError returns the last error with the verdict of all attempts. After a lost
// attempt and a refused one the verdict must not be "not run", since the lost attempt
// may still arrive and run.
func (s *retries) finalError(e *verdict.Error) *verdict.Error {
	if s.overall == e.Verdict {
		return e
	}
	final := *e
	final.Verdict = s.overall
	return &final
}

// stronger returns the verdict that covers both attempts: "ran" outweighs "may have
// run", and that outweighs "not run". An unknown verdict counts as "may have run".
func stronger(a, b verdict.Verdict) verdict.Verdict {
	if b == verdict.Unknown {
		b = verdict.MayHaveRun
	}
	return max(a, b)
}

// retryMaySucceed reports whether another attempt may succeed after the reason.
func retryMaySucceed(r verdict.Reason) bool {
	return r.RetryElsewhere() || r == verdict.KeyNotBound || keyUnusable(r)
}

// keyUnusable reports whether the request needs a new key.
func keyUnusable(r verdict.Reason) bool {
	return r == verdict.KeyExpired || r == verdict.KeyHolderGone
}

// holderUnavailable reports whether the node that a key names can't run requests, so
// that its other keys are unusable too.
func holderUnavailable(r verdict.Reason) bool {
	switch r {
	case verdict.KeyHolderGone, verdict.NoBackend, verdict.Draining, verdict.ConnectionLost:
		return true
	default:
		return false
	}
}

// wantsNewKey reports whether the next attempt should use a new minted key, because
// another node may be able to run the request. While an attempt may have run it keeps
// the key: under a new one the request could run twice.
func (s *retries) wantsNewKey(e *verdict.Error) bool {
	return s.overall == verdict.NotRun && (e.Reason.RetryElsewhere() || keyUnusable(e.Reason))
}
