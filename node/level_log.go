package node

import "time"

// levelLogInterval is the least time between two log lines about the admission level.
const levelLogInterval = time.Second

// levelLog limits the log lines about changes of the admission level of this node's service.
// With them an operator finds the cause of a refusal at the entry in the log of the service's
// own node.
type levelLog struct {
	level    uint16
	loggedAt time.Time
}

// shouldLog reports whether to log a level, and records it if so.
func (p *levelLog) shouldLog(now time.Time, level uint16) bool {
	if level == p.level || now.Sub(p.loggedAt) < levelLogInterval {
		return false
	}
	p.level, p.loggedAt = level, now
	return true
}

// logLevelChange logs the admission level if it has changed.
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
		Float64("served_per_interval", d.Gate.Capacity).
		Floats64("arrivals_per_interval", d.Gate.Arrivals[:]).
		Msg("admission level")
}
