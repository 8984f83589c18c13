package load

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Orders counts violations of the order of importance at the entry nodes: a request is
// shed while the same node admits a less important one that needs at least the same
// services.
type Orders struct {
	// Pairs is the number of shed attempts with a comparable less important request at
	// the same time.
	Pairs int
	// Violations is the number of pairs in which the less important request was admitted.
	Violations int
}

// maxDecisionGap is the largest time between two decisions that are compared. It is
// short because admission levels change.
const maxDecisionGap = 2 * time.Millisecond

// decision is the decision of an entry node on an attempt.
type decision struct {
	sent       time.Time
	importance importance.Importance
	class      int
	shed       bool
	admitted   bool
}

func (r *Run) countOrderViolations() Orders {
	byNode := make(map[int][]decision)
	for i := range r.Results {
		res := &r.Results[i]
		for _, a := range res.Attempts {
			d := decision{sent: a.Sent, importance: r.Mix[res.Class].Importance, class: res.Class}
			d.shed = a.Refused() && a.Reason == verdict.Shed
			d.admitted = a.Status == 200
			byNode[a.Node] = append(byNode[a.Node], d)
		}
	}
	var o Orders
	for _, list := range byNode {
		slices.SortFunc(list, func(a, b decision) int { return a.sent.Compare(b.sent) })
		r.countAtNode(list, &o)
	}
	return o
}

func (r *Run) countAtNode(list []decision, o *Orders) {
	first := 0
	for i, d := range list {
		if !d.shed {
			continue
		}
		for first < i && d.sent.Sub(list[first].sent) > maxDecisionGap {
			first++
		}
		compared, violated := r.compare(d, list[first:])
		if compared {
			o.Pairs++
		}
		if violated {
			o.Violations++
		}
	}
}

// compare reports whether there is a comparable less important request near a shed one,
// and whether such a request was admitted.
func (r *Run) compare(shed decision, around []decision) (compared, violated bool) {
	for _, other := range around {
		if other.sent.Sub(shed.sent) > maxDecisionGap {
			break
		}
		if other.importance >= shed.importance || !r.covers(other.class, shed.class) {
			continue
		}
		compared = true
		violated = violated || other.admitted
	}
	return compared, violated
}

// covers reports whether class a needs every service that class b needs.
func (r *Run) covers(a, b int) bool {
	for _, service := range r.Mix[b].Reach {
		if !slices.Contains(r.Mix[a].Reach, service) {
			return false
		}
	}
	return true
}
