package node

import (
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/backend"
)

// noticeLogInterval is the least time between two log lines about malformed notices.
const noticeLogInterval = time.Second

// noticeLog limits the log lines about malformed notices of the backend server, which may
// send one in each answer.
type noticeLog struct {
	mu       sync.Mutex
	loggedAt time.Time
}

// shouldLog reports whether to log a malformed notice, and records it if so.
func (l *noticeLog) shouldLog(now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if now.Sub(l.loggedAt) < noticeLogInterval {
		return false
	}
	l.loggedAt = now
	return true
}

// receiveNotice applies what the backend server says in an answer about its leaving, and
// counts and logs what can't be parsed. Once it returns, a backend server that is leaving
// gets no more requests.
func (n *Node) receiveNotice(inst instance, res backend.Result) {
	if res.Notice.Leaving {
		n.stopBackend(inst.start, "leaving, by its answers")
	}
	if res.NoticeError == nil {
		return
	}
	n.counts.MalformedNotices.Add(1)
	if n.noticeLog.shouldLog(time.Now()) {
		n.log.Warn().Str("instance", inst.start.ID).Err(res.NoticeError).Msg("malformed notice of the backend server")
	}
}

// logRateLimit logs the rate limit of the backend server after a change.
func (n *Node) logRateLimit(now time.Time) {
	d := n.server.dump(now)
	n.log.Info().
		Str("instance", n.backendInstance().start.ID).
		Bool("limited", d.RateLimit.Named).
		Float64("per_second", d.RateLimit.PerSecond).
		Float64("starts_per_second", d.RateLimit.StartsPerSecond).
		Int("running", d.Running).
		Int("waiting", d.Queue.Waiting).
		Msg("rate limit of the backend server")
}
