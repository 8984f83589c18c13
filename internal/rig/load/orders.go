package load

import (
	"slices"
	"time"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// Orders counts violations of the order of importance at the entry nodes: a
// request was shed while a less important one, which needs all services that
// the shed one needs, was sent to the same node and admitted.
type Orders struct {
	// Pairs is the number of shed attempts with a less important request
	// beside them: the cases in which a violation could show.
	Pairs int
	// Violations are those in which the less important one was admitted.
	Violations int
}

// beside is how far apart two decisions may lie to count as taken at the same
// time. Admission levels move with time, so it must be short.
const beside = 2 * time.Millisecond

// decision is an attempt as its entry node decided about it.
type decision struct {
	sent       time.Time
	importance importance.Importance
	class      int
	shed       bool
	admitted   bool
}

func (r *Run) orders() Orders {
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
		r.ordersAt(list, &o)
	}
	return o
}

func (r *Run) ordersAt(list []decision, o *Orders) {
	first := 0
	for i, d := range list {
		if !d.shed {
			continue
		}
		for first < i && d.sent.Sub(list[first].sent) > beside {
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

// compare looks for less important requests around a shed one.
func (r *Run) compare(shed decision, around []decision) (compared, violated bool) {
	for _, other := range around {
		if other.sent.Sub(shed.sent) > beside {
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
