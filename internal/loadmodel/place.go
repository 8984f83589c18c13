package loadmodel

import (
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// place watches the order at one node.
type place struct {
	report *Report
	last   [importance.Count]time.Time
}

func (p *place) shed(now time.Time, c *call) { p.last[c.op.Importance] = now }

// shedAtEntry is another place than the queue: what is refused for one service
// is not compared with what is admitted to another.
func (p *place) shedAtEntry(time.Time, importance.Importance) {}

// start compares a call that begins with what was shed since it arrived.
func (p *place) start(_ time.Time, c *call) {
	p.report.Started++
	for imp := c.op.Importance + 1; imp < importance.Count; imp++ {
		if p.last[imp].After(c.arrived) {
			p.report.Inversions++
			return
		}
	}
	for imp := c.op.Importance + 1; imp < importance.Count; imp++ {
		if p.last[imp].After(c.arrived.Add(-orderWindow)) {
			p.report.Near++
			return
		}
	}
}

// class tells operations of different cost apart for the limit.
func (o *Operation) class() uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(o.Name) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}
