package node

import "time"

// pressureEvery is the least time between two lines about the level.
const levelLogInterval = time.Second

// pressure writes down when the level at which this node's service admits
// requests changes: with the log alone, whoever looks for the cause of a refusal
// at the entry finds here what the service's own node saw.
type pressure struct {
	level    uint16
	loggedAt time.Time
}

// due reports whether a level deserves a line.
func (p *pressure) shouldLog(now time.Time, level uint16) bool {
	if level == p.level || now.Sub(p.loggedAt) < levelLogInterval {
		return false
	}
	p.level, p.loggedAt = level, now
	return true
}

func (n *Node) logLevelChange(now time.Time) {
	if !n.pressure.shouldLog(now, n.server.level(now)) {
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
