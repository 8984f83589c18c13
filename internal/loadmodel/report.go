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
	// recoveredShare is the share of a bin's requests that must succeed.
	recoveredShare = 0.95
	// orderWindow extends the count of order violations to calls that arrived shortly
	// after a more important one was shed.
	orderWindow = 100 * time.Millisecond
)

// PhaseReport holds the results of one phase. Requests are counted by their start.
type PhaseReport struct {
	Name      string
	Offered   [importance.Count]int
	Succeeded [importance.Count]int
	// Possible is the number of whole requests that the slots allow.
	Possible [importance.Count]float64
	// SlotTime is the slot time of all requests, UsefulSlotTime that of successful ones.
	SlotTime, UsefulSlotTime time.Duration
}

// Report holds the results of one run.
type Report struct {
	Policy string
	Phases []PhaseReport
	// Recovery is the time from the start of the last phase until requests succeed
	// again. Down is true if they never do.
	Recovery time.Duration
	Down     bool
	// Inversions counts calls that started although a more important one was shed at
	// the same node while they waited. NearInversions counts those for which it was shed
	// at most orderWindow before they arrived.
	Inversions, NearInversions int
	Started                    int

	phase          int
	phaseEnds      []time.Time
	succeededByBin []int
	offeredByBin   []int
}

func (r *Report) init(sc *Scenario, p *Policy) {
	r.Policy = p.Name
	at := epoch
	for _, ph := range sc.Phases {
		at = at.Add(ph.Duration)
		r.phaseEnds = append(r.phaseEnds, at)
		pr := PhaseReport{Name: ph.Name}
		for i, rate := range sc.possibleRates(ph) {
			pr.Possible[i] = rate * ph.Duration.Seconds()
		}
		r.Phases = append(r.Phases, pr)
	}
	bins := int(at.Sub(epoch)/bin) + 1
	r.succeededByBin = make([]int, bins)
	r.offeredByBin = make([]int, bins)
}

func (r *Report) phaseOf(t time.Time) *PhaseReport {
	for i, end := range r.phaseEnds {
		if t.Before(end) {
			return &r.Phases[i]
		}
	}
	return &r.Phases[len(r.Phases)-1]
}

func (r *Report) offered(q *request) {
	r.phaseOf(q.start).Offered[q.op.Importance]++
	r.offeredByBin[int(q.start.Sub(epoch)/bin)]++
}

func (r *Report) succeeded(q *request, res result) {
	p := r.phaseOf(q.start)
	p.Succeeded[q.op.Importance]++
	p.UsefulSlotTime += res.usedSlotTime
	r.succeededByBin[int(q.start.Sub(epoch)/bin)]++
}

func (r *Report) endPhase(i int) { r.phase = min(i+1, len(r.Phases)-1) }

// usedSlotTime adds slot time to the current phase.
func (m *model) usedSlotTime(d time.Duration) {
	m.report.Phases[m.report.phase].SlotTime += d
}

func (r *Report) computeRecovery() {
	last := len(r.phaseEnds) - 1
	from := epoch
	if last > 0 {
		from = r.phaseEnds[last-1]
	}
	first := int(from.Sub(epoch) / bin)
	bad := first - 1
	end := int(r.phaseEnds[last].Sub(epoch) / bin)
	for i := first; i < end; i++ {
		if float64(r.succeededByBin[i]) < recoveredShare*float64(r.offeredByBin[i]) {
			bad = i
		}
	}
	r.Recovery = time.Duration(bad+1-first) * bin
	r.Down = bad == end-1
}

// Goodput returns the successful requests as a share of the possible ones, over all
// importances.
func (p *PhaseReport) Goodput() float64 { return share(p.Succeeded[:], p.Possible[:]) }

// GoodputFrom returns the goodput of the importances from the given one up.
func (p *PhaseReport) GoodputFrom(from importance.Importance) float64 {
	return share(p.Succeeded[from:], p.Possible[from:])
}

// share returns the sum of succeeded divided by the sum of possible, or one if nothing is
// possible.
func share(succeeded []int, possible []float64) float64 {
	g, b := 0.0, 0.0
	for i := range succeeded {
		g += float64(succeeded[i])
		b += possible[i]
	}
	if b == 0 {
		return 1
	}
	return g / b
}

// FailedShare returns the share of the offered requests that did not succeed.
func (p *PhaseReport) FailedShare() float64 {
	offered, succeeded := 0, 0
	for i := range p.Offered {
		offered += p.Offered[i]
		succeeded += p.Succeeded[i]
	}
	if offered == 0 {
		return 0
	}
	return 1 - float64(succeeded)/float64(offered)
}

// WastedShare returns the share of the slot time that was spent on requests that failed.
func (p *PhaseReport) WastedShare() float64 {
	if p.SlotTime == 0 {
		return 0
	}
	return max(0, 1-float64(p.UsefulSlotTime)/float64(p.SlotTime))
}

// Header returns the names of the columns of Row.
func Header() string {
	return fmt.Sprintf("%-24s %8s %8s %8s  %-27s %7s %9s %9s %8s",
		"policy", "before", "during", "after", "during, low..critical", "wasted", "recovery", "inverted", "near")
}

// Row formats the report as one line, with the goodput of the first, the second and the
// last phase.
func (r *Report) Row() string {
	first, during, last := &r.Phases[0], &r.Phases[1], &r.Phases[len(r.Phases)-1]
	recovery := fmt.Sprintf("%.1fs", r.Recovery.Seconds())
	if r.Down {
		recovery = ">" + recovery
	}
	return fmt.Sprintf("%-24s %7.1f%% %7.1f%% %7.1f%%  %-27s %6.1f%% %9s %9d %8d",
		r.Policy, 100*first.Goodput(), 100*during.Goodput(), 100*last.Goodput(),
		byImportance(during), 100*during.WastedShare(), recovery, r.Inversions, r.NearInversions)
}

// byImportance formats the goodput of each importance. Where the slots allow no request it
// prints the number of successful ones, or "-" for none.
func byImportance(p *PhaseReport) string {
	var cells []string
	for i := range p.Possible {
		switch {
		case p.Possible[i] >= 1:
			cells = append(cells, fmt.Sprintf("%5.1f%%", 100*float64(p.Succeeded[i])/p.Possible[i]))
		case p.Succeeded[i] > 0:
			cells = append(cells, fmt.Sprintf("+%d", p.Succeeded[i]))
		default:
			cells = append(cells, "-")
		}
	}
	return strings.Join(cells, " ")
}
