package node

import "time"

// changeLogInterval is the least time between two log lines about changes of one value.
const changeLogInterval = time.Second

// changeLog limits the log lines about changes of a value.
type changeLog[T comparable] struct {
	last     T
	loggedAt time.Time
}

// shouldLog reports whether to log a value, and records it if so.
func (l *changeLog[T]) shouldLog(now time.Time, value T) bool {
	if value == l.last || now.Sub(l.loggedAt) < changeLogInterval {
		return false
	}
	l.last, l.loggedAt = value, now
	return true
}

// logLevelChange logs the admission level of this node's service if it has changed. With these
// lines an operator finds the cause of a refusal at the entry in the log of the service's own
// node.
func (n *Node) logLevelChange(now time.Time) {
	if !n.levelLog.shouldLog(now, n.server.level(now)) {
		return
	}
	d := n.server.dump(now)
	n.log.Info().
		Uint16("level", d.Gate.Level).
		Int("running", d.Running).
		Int("waiting", d.Queue.Waiting).
		Str("last_wait", d.Queue.Waited).
		Bool("isolated", d.Isolated).
		Float64("served_per_interval", d.Gate.Capacity).
		Floats64("arrivals_per_interval", d.Gate.Arrivals[:]).
		Msg("admission level")
}
