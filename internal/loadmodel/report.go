package loadmodel

import (
	"fmt"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

const (
	// bin is the resolution of the recovery time.
	bin = 100 * time.Millisecond
	// recovered is the share of a bin's requests that must succeed.
	recovered = 0.95
	// orderWindow widens the count of order violations beyond the moment.
	orderWindow = 100 * time.Millisecond
)

// PhaseReport is what one phase gave, requests counted by their start.
type PhaseReport struct {
	Name    string
	Offered [importance.Count]int
	Good    [importance.Count]int
	// Best is the number of whole requests that the slots allow.
	Best [importance.Count]float64
	// Used is the slot time, Useful the part of it in requests that ended
	// well.
	Used, Useful time.Duration
}

// Report is what one run gave.
type Report struct {
	Policy string
	Phases []PhaseReport
	// Recovery is the time from the start of the last phase until requests
	// succeed again; Down says that they never did.
	Recovery time.Duration
	Down     bool
	// Inversions are calls begun although a more important one was shed at
	// the same place while they waited; Near widens that by orderWindow.
	Inversions, Near int
	Started          int

	phase   int
	bounds  []time.Time
	binGood []int
	binAll  []int
}

func (r *Report) init(sc *Scenario, p *Policy) {
	r.Policy = p.Name
	at := epoch
	for _, ph := range sc.Phases {
		at = at.Add(ph.For)
		r.bounds = append(r.bounds, at)
		pr := PhaseReport{Name: ph.Name}
		for i, rate := range sc.best(ph) {
			pr.Best[i] = rate * ph.For.Seconds()
		}
		r.Phases = append(r.Phases, pr)
	}
	bins := int(at.Sub(epoch)/bin) + 1
	r.binGood = make([]int, bins)
	r.binAll = make([]int, bins)
}

func (r *Report) phaseOf(t time.Time) *PhaseReport {
	for i, end := range r.bounds {
		if t.Before(end) {
			return &r.Phases[i]
		}
	}
	return &r.Phases[len(r.Phases)-1]
}

func (r *Report) offered(q *request) {
	r.phaseOf(q.start).Offered[q.op.Importance]++
	r.binAll[int(q.start.Sub(epoch)/bin)]++
}

func (r *Report) good(q *request, res result) {
	p := r.phaseOf(q.start)
	p.Good[q.op.Importance]++
	p.Useful += res.used
	r.binGood[int(q.start.Sub(epoch)/bin)]++
}

func (r *Report) endPhase(i int) { r.phase = min(i+1, len(r.Phases)-1) }

// used counts slot time in the phase in which it ends.
func (m *model) used(d time.Duration) {
	m.report.Phases[m.report.phase].Used += d
}

func (r *Report) finish() {
	last := len(r.bounds) - 1
	from := epoch
	if last > 0 {
		from = r.bounds[last-1]
	}
	first := int(from.Sub(epoch) / bin)
	bad := first - 1
	end := int(r.bounds[last].Sub(epoch) / bin)
	for i := first; i < end; i++ {
		if float64(r.binGood[i]) < recovered*float64(r.binAll[i]) {
			bad = i
		}
	}
	r.Recovery = time.Duration(bad+1-first) * bin
	r.Down = bad == end-1
}

// Goodput is the share of the best that the phase reached, over all
// importances.
func (p *PhaseReport) Goodput() float64 { return share(p.Good[:], p.Best[:]) }

// Important is the share of the best that the phase reached for importances
// from the given one up.
func (p *PhaseReport) Important(from importance.Importance) float64 {
	return share(p.Good[from:], p.Best[from:])
}

func share(good []int, best []float64) float64 {
	g, b := 0.0, 0.0
	for i := range good {
		g += float64(good[i])
		b += best[i]
	}
	if b == 0 {
		return 1
	}
	return g / b
}

// Failed is the share of the offered requests that did not end well.
func (p *PhaseReport) Failed() float64 {
	offered, good := 0, 0
	for i := range p.Offered {
		offered += p.Offered[i]
		good += p.Good[i]
	}
	if offered == 0 {
		return 0
	}
	return 1 - float64(good)/float64(offered)
}

// Wasted is the share of slot time in requests that then failed.
func (p *PhaseReport) Wasted() float64 {
	if p.Used == 0 {
		return 0
	}
	return max(0, 1-float64(p.Useful)/float64(p.Used))
}

// Header names the columns of Row.
func Header() string {
	return fmt.Sprintf("%-24s %8s %8s %8s  %-27s %7s %9s %9s %8s",
		"policy", "before", "during", "after", "during, low..critical", "wasted", "recovery", "inverted", "near")
}

// Row prints the run on one line: goodput as a share of the best in the first,
// the second and the last phase.
func (r *Report) Row() string {
	first, during, last := &r.Phases[0], &r.Phases[1], &r.Phases[len(r.Phases)-1]
	recovery := fmt.Sprintf("%.1fs", r.Recovery.Seconds())
	if r.Down {
		recovery = ">" + recovery
	}
	return fmt.Sprintf("%-24s %7.1f%% %7.1f%% %7.1f%%  %-27s %6.1f%% %9s %9d %8d",
		r.Policy, 100*first.Goodput(), 100*during.Goodput(), 100*last.Goodput(),
		byImportance(during), 100*during.Wasted(), recovery, r.Inversions, r.Near)
}

// byImportance prints good over best for each importance; "-" where the slots
// allow none and none ended well.
func byImportance(p *PhaseReport) string {
	var cells []string
	for i := range p.Best {
		switch {
		case p.Best[i] >= 1:
			cells = append(cells, fmt.Sprintf("%5.1f%%", 100*float64(p.Good[i])/p.Best[i]))
		case p.Good[i] > 0:
			cells = append(cells, fmt.Sprintf("+%d", p.Good[i]))
		default:
			cells = append(cells, "-")
		}
	}
	return strings.Join(cells, " ")
}
