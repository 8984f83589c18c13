package replay

import "github.com/cassialoom/cassialoom/importance"

// MaxServed returns the largest share of the requests of each importance that the slots of the
// bottleneck service can serve in a phase, if more important requests go first and no
// slot time is spent on requests that fail. slotShare is the share of the slots that nodes fill.
func (d *Deployment) MaxServed(p *Phase, slotShare float64) (share [importance.Count]float64) {
	var demand [importance.Count]float64 // slots in use at speed one
	for _, c := range d.Classes {
		demand[c.Importance] += d.demand(p, c)
	}
	left := slotShare * d.slots(p)
	for i := importance.Count - 1; i >= 0; i-- {
		share[i] = 1
		if demand[i] > left {
			share[i] = left / demand[i]
		}
		left = max(0, left-demand[i])
	}
	return share
}
