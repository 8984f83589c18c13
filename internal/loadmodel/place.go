package loadmodel

import (
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// orderChecker counts calls that start at a node although a more important one was shed
// while they waited.
type orderChecker struct {
	report   *Report
	lastShed [importance.Count]time.Time
}

func (checker *orderChecker) shed(now time.Time, c *call) { checker.lastShed[c.op.Importance] = now }

// shedAtEntry ignores requests refused at the entry: they concern another service than the
// calls in the queue.
func (checker *orderChecker) shedAtEntry(time.Time, importance.Importance) {}

// start compares a call that starts with the calls shed since it arrived.
func (checker *orderChecker) start(_ time.Time, c *call) {
	checker.report.Started++
	for imp := c.op.Importance + 1; imp < importance.Count; imp++ {
		if checker.lastShed[imp].After(c.arrived) {
			checker.report.Inversions++
			return
		}
	}
	for imp := c.op.Importance + 1; imp < importance.Count; imp++ {
		if checker.lastShed[imp].After(c.arrived.Add(-orderWindow)) {
			checker.report.NearInversions++
			return
		}
	}
}

// class returns a hash of the name, which separates operations in the limit.
func (o *Operation) class() uint32 {
	h := uint32(2166136261)
	for _, b := range []byte(o.Name) {
		h = (h ^ uint32(b)) * 16777619
	}
	return h
}
