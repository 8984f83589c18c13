package serve

import (
	"math"
	"time"

	"github.com/cassialoom/cassialoom/verdict"
)

// This file handles a backend server that is in need and names how many requests a second it
// takes. Its node alone sees all attempts for it, so the node paces the starts of all of
// them: queued, keyed and isolated tasks, first attempts, retries, hedges and calls. What
// exceeds the limit has no use waiting here while other backend servers have room: few tasks
// wait, the most important ones, and the nodes of the callers learn how little room there is.

const (
	// maxRateWait is the longest wait for a start under a rate limit. It is short, since
	// another backend server usually has room.
	maxRateWait = 300 * time.Millisecond
	// targetRateWait is the wait at which the node reports itself full. With a wait of
	// zero, starts would be missed between two attempts.
	targetRateWait = 100 * time.Millisecond
	// maxRateRetryAfter bounds the Retry-After of a refusal for the rate limit, since another
	// backend server may have room sooner.
	maxRateRetryAfter = time.Second
	// runTimeWeight is the weight of a new answer in the mean run time.
	runTimeWeight = 1.0 / 16
	// assumedRunTime is used before the first answer.
	assumedRunTime = 100 * time.Millisecond
)

// learnRateLimit applies what the answer to a task says about the rate limit of the backend
// server. An answer of an earlier incarnation says nothing about the present one.
func (s *Server) learnRateLimit(now time.Time, t *Task, r Result) {
	if !r.Answered || r.LimitUnreadable || t.incarnation != s.incarnation {
		return
	}
	statement := r.Limit
	statement.RequestStarted = t.started
	s.rate.Learn(now, statement)
}

// LearnRateLimit applies a limit that the backend server named to an earlier process of this
// node or in a health check.
func (s *Server) LearnRateLimit(now time.Time, perSecond float64) {
	s.rate.LearnFromPeer(now, perSecond)
}

// RateLimit returns the number of requests a second that the backend server takes, and
// false if it names no limit.
func (s *Server) RateLimit() (perSecond float64, limited bool) { return s.rate.Limit() }

// RateLimitChanges returns how often the rate limit has changed.
func (s *Server) RateLimitChanges() int { return s.rate.Changes() }

// forgetRateLimit ends the rate limit, since another backend incarnation is in use.
func (s *Server) forgetRateLimit() {
	s.incarnation++
	s.rate.Reset()
}

func (s *Server) recordRunTime(r Result) {
	if r.Verdict != verdict.Ran {
		return
	}
	if s.meanRunTime == 0 {
		s.meanRunTime = r.Latency
		return
	}
	s.meanRunTime += time.Duration(runTimeWeight * float64(r.Latency-s.meanRunTime))
}

// effectiveConcurrency returns the number of tasks that the backend server runs at its rate
// limit, by Little's law, including those that should wait. Without a rate limit it is the
// concurrency limit.
func (s *Server) effectiveConcurrency() int {
	runTime := s.meanRunTime
	if runTime == 0 {
		runTime = assumedRunTime
	}
	n, limited := s.rate.Within(runTime + targetRateWait)
	if !limited {
		return s.concurrency()
	}
	return max(1, int(min(math.Ceil(n), float64(s.concurrency()))))
}

// reportedInFlight returns the number of tasks in flight to report to the callers' nodes. Under
// a rate limit only those that wait count: the backend server is to be used up to its limit,
// even if the others of its service are less busy.
func (s *Server) reportedInFlight() int {
	if _, limited := s.rate.Limit(); limited {
		return s.queue.Len()
	}
	return len(s.running) + s.queue.Len()
}

// rateQueueBound returns the bound that the rate limit sets on the queue, zero for none.
func (s *Server) rateQueueBound() int {
	n, limited := s.rate.Within(maxRateWait)
	if !limited {
		return 0
	}
	return max(1, int(min(n, maxConcurrency)))
}

// rateExhausted reports whether the rate limit permits no start for longer than any task may
// wait for it.
func (s *Server) rateExhausted(now time.Time) bool { return s.rate.Wait(now, 1) > maxRateWait }

// rateRefusal refuses an attempt because of the rate limit. The wait is spread, so that the
// callers don't return together.
func (s *Server) rateRefusal(now time.Time) *verdict.Error {
	s.counts.RateLimited++
	wait := min(s.rate.Wait(now, s.queue.Len()+1), maxRateRetryAfter/2)
	wait = max(wait, s.cfg.RefuseRetryAfter)
	spread := time.Duration(s.random.Int64N(int64(wait)))
	return verdict.Refuse(verdict.Shed, "the rate limit of the backend server is used up").WithRetryAfter(wait + spread)
}
