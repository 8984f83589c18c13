package node

import (
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/backend"
	"github.com/cassialoom/cassialoom/call"
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

// ownNotice returns the notice of the backend server in use, the zero Notice if it is neither
// limited nor leaving.
func (n *Node) ownNotice() call.Notice {
	n.stateMu.Lock()
	start, leaving := n.instance.start, n.leaving()
	n.stateMu.Unlock()
	perSecond, limited := n.server.rateLimit()
	if !limited && !leaving {
		return call.Notice{}
	}
	return call.Notice{Incarnation: start.ID, Born: start.Born, Limited: limited, PerSecond: perSecond, Leaving: leaving}
}

// leaving reports whether the backend server in use is leaving. The caller holds stateMu.
func (n *Node) leaving() bool {
	return n.instance.start.ID != "" && !n.instance.ready && n.starts.hasEnded(n.instance.start)
}

// applyNotices applies the notices that came with a request and concern the backend server
// in use.
func (n *Node) applyNotices(notices []call.Notice) {
	for _, notice := range notices {
		current, start := n.backendInstance(), Start{ID: notice.Incarnation, Born: notice.Born}
		if !notice.Valid() || !current.matches(start) {
			continue
		}
		if notice.Leaving {
			n.stopBackend(start, "leaving, by a peer")
		}
		if notice.Limited {
			n.server.learnRateLimit(time.Now(), notice.PerSecond)
		}
	}
}

// logRateLimitChange logs the rate limit of the backend server if it has changed.
func (n *Node) logRateLimitChange(now time.Time) {
	changes, logged := n.server.rateLimitChanges(), n.rateLimitLog.last
	if !n.rateLimitLog.shouldLog(now, changes) {
		return
	}
	d := n.server.dump(now)
	n.log.Info().
		Str("instance", n.backendInstance().start.ID).
		Bool("limited", d.RateLimit.Named).
		Float64("per_second", d.RateLimit.PerSecond).
		Int("changes", changes-logged).
		Float64("starts_per_second", d.RateLimit.StartsPerSecond).
		Int("running", d.Running).
		Int("waiting", d.Queue.Waiting).
		Msg("rate limit of the backend server")
}
