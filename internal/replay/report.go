package replay

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cassialoom/cassialoom/call"
	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/verdict"
)

// counts of one phase by importance; requests count by their start.
type counts [importance.Count]int

// PhaseReport is what one phase gave.
type PhaseReport struct {
	Name    string
	Offered counts
	// Good were answered with success before their deadline.
	Good counts
	// Useful is the work of the deepest service, at speed one, in requests that
	// ended well during the phase, its first second left out; Best is the most
	// that its slots allow in that time, or all that was asked for.
	Useful, Best time.Duration

	hard, heeding, hardGood, heedingGood int
	offered, good                        map[string]int // by class
	// owed is the worth of all offered requests, earned that of those that were
	// served, late ones for their share.
	owed, earned float64
}

// Report is what one run gave.
type Report struct {
	Policy string
	Phases []PhaseReport
	// Recovery is the time from the start of the last phase until requests
	// succeed again as before.
	Recovery time.Duration
	// Busiest is the most that a backend server of the deepest service was sent
	// of what its speed gives it.
	Busiest float64

	day    *Day
	start  time.Time
	mu     sync.Mutex
	spent  map[string]time.Duration // slot time at the deepest service, by request
	useful time.Duration
	// whole and broken are the tries that were let in and ended well, and that
	// ended badly after they had run.
	whole, broken int
	// far counts attempts sent to another data centre.
	far atomic.Int64
	// refusals are tries that were told that they have not run, again those of
	// callers that had come back.
	refusals, again int
	// failures of calls under way, by service and reason.
	failures map[failure]int
	calls    map[string]int
	binGood  []int
	binAll   []int
}

// failure is how a call under way ended badly.
type failure struct {
	service string
	reason  verdict.Reason
}

// bin is the resolution of the recovery time, recovered the share of a bin's
// requests that must succeed.
const (
	bin       = 250 * time.Millisecond
	recovered = 0.95
)

func newReport(day *Day, policy string) *Report {
	r := &Report{Policy: policy, day: day, start: time.Now(), spent: make(map[string]time.Duration),
		failures: make(map[failure]int), calls: make(map[string]int)}
	var whole time.Duration
	for _, p := range day.Phases {
		whole += p.For
		r.Phases = append(r.Phases, PhaseReport{Name: p.Name, Best: day.Deployment.best(&p),
			offered: make(map[string]int), good: make(map[string]int)})
	}
	bins := int(whole/bin) + 1
	r.binGood, r.binAll = make([]int, bins), make([]int, bins)
	return r
}

func (r *Report) bin(at time.Time) int { return int(at.Sub(r.start) / bin) }

func (r *Report) offered(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.Phases[q.phase]
	p.Offered[q.class.Importance]++
	p.offered[q.class.Name]++
	p.owed += q.class.worth()
	if q.hard {
		p.hard++
	} else {
		p.heeding++
	}
	r.binAll[r.bin(q.start)]++
}

func (r *Report) good(q *request, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.Phases[q.phase]
	p.Good[q.class.Importance]++
	p.good[q.class.Name]++
	p.earned += q.class.credit(time.Since(q.start))
	r.whole++
	if q.hard {
		p.hardGood++
	} else {
		p.heedingGood++
	}
	if now, settled := r.phaseNow(); settled {
		now.Useful += r.day.Deployment.slotTime(q.class)
	}
	r.binGood[r.bin(q.start)]++
	r.useful += r.spent[id]
	delete(r.spent, id)
}

// bad notes a try that did not end well.
func (r *Report) bad(out call.Outcome, returned int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out.Verdict != verdict.NotRun {
		r.broken++
		return
	}
	r.refusals++
	if returned > 0 {
		r.again++
	}
}

// called notes how a call under way ended.
func (r *Report) called(service string, out call.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[service]++
	if out.Reason != verdict.None {
		r.failures[failure{service, out.Reason}]++
	}
}

func (c *Class) worth() float64 { return cmp.Or(c.Worth, 1) }

// credit is what an answer after so long is worth to its caller.
func (c *Class) credit(took time.Duration) float64 {
	if c.Aim > 0 && took > c.Aim {
		return c.worth() * c.LateShare
	}
	return c.worth()
}

// Credit is the share of the phase's worth that was earned.
func (p *PhaseReport) Credit() float64 { return p.earned / max(p.owed, 1) }

// Details lists failures of calls under way by service and reason, and refusals.
func (r *Report) Details() string {
	var lines []string
	for f, n := range r.failures {
		lines = append(lines, fmt.Sprintf("%s %s %.2f%%", f.service, f.reason, 100*float64(n)/float64(r.calls[f.service])))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%s; refusals %d, of those that came back %d; busiest of %s %.2f of its share", strings.Join(lines, ", "),
		r.refusals, r.again, r.day.Deployment.Deepest, r.Busiest)
}

// Broken is the share of the tries that were let in which ended badly after they
// had run.
func (r *Report) Broken() float64 {
	return float64(r.broken) / float64(max(1, r.broken+r.whole))
}

// ServedOf is the share of the offered requests of one class that ended well.
func (p *PhaseReport) ServedOf(class string) float64 {
	if p.offered[class] == 0 {
		return 1
	}
	return float64(p.good[class]) / float64(p.offered[class])
}

// ServedAll is the share of all offered requests that ended well.
func (p *PhaseReport) ServedAll() float64 {
	offered, good := 0, 0
	for name, n := range p.offered {
		offered += n
		good += p.good[name]
	}
	return float64(good) / float64(max(1, offered))
}

// settle is the time from the start of a phase that is not measured: requests that
// end then were sent before it.
const settle = time.Second

// phaseNow is the phase that it is, and whether it has settled; the last one once
// all are over.
func (r *Report) phaseNow() (p *PhaseReport, settled bool) {
	at := time.Since(r.start)
	for i, p := range r.day.Phases {
		if at < p.For {
			return &r.Phases[i], at >= settle
		}
		at -= p.For
	}
	return &r.Phases[len(r.Phases)-1], false
}

// used counts slot time of a request at the deepest service.
func (r *Report) used(s *Service, id string, d time.Duration) {
	if s.Name != r.day.Deployment.Deepest {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.spent[id] += d
}

// finish sums up once every caller has ended.
func (r *Report) finish() {
	last := len(r.day.Phases) - 1
	var from time.Duration
	for _, p := range r.day.Phases[:last] {
		from += p.For
	}
	first := int(from / bin)
	bad := first - 1
	for i := first; i < int((from+r.day.Phases[last].For)/bin); i++ {
		if float64(r.binGood[i]) < recovered*float64(r.binAll[i]) {
			bad = i
		}
	}
	r.Recovery = time.Duration(bad+1-first) * bin
}

// Wasted is the share of the deepest service's slot time that went into requests
// which then failed.
func (r *Report) Wasted() float64 {
	var lost time.Duration
	for _, d := range r.spent {
		lost += d
	}
	if lost+r.useful == 0 {
		return 0
	}
	return lost.Seconds() / (lost + r.useful).Seconds()
}

// Goodput is the share of the best that a phase reached.
func (p *PhaseReport) Goodput() float64 { return p.Useful.Seconds() / p.Best.Seconds() }

// Served is the share of the offered requests of one importance that ended well.
func (p *PhaseReport) Served(imp importance.Importance) float64 {
	if p.Offered[imp] == 0 {
		return 1
	}
	return float64(p.Good[imp]) / float64(p.Offered[imp])
}

// HardServed is the share that ended well of the requests whose callers come back
// at once, HeedingServed that of the others.
func (p *PhaseReport) HardServed() float64 { return float64(p.hardGood) / float64(max(p.hard, 1)) }

// HeedingServed is described with HardServed.
func (p *PhaseReport) HeedingServed() float64 {
	return float64(p.heedingGood) / float64(max(p.heeding, 1))
}

// During is the second phase, the one with the trouble.
func (r *Report) During() *PhaseReport { return &r.Phases[1] }

// Row prints the run on one line: goodput of each phase as a share of the best, and
// what was served of the most important and of the usual requests.
func (r *Report) Row() string {
	row := fmt.Sprintf("%-26s", r.Policy)
	for i := range r.Phases {
		p := &r.Phases[i]
		row += fmt.Sprintf("  %s %5.1f%% (critical %5.1f%%, normal %5.1f%%)", p.Name, 100*p.Goodput(),
			100*p.Served(importance.Critical), 100*p.Served(importance.Normal))
	}
	p := r.During()
	for _, c := range r.day.Deployment.Classes {
		row += fmt.Sprintf("  %s %.2f", c.Name, p.ServedOf(c.Name))
	}
	row += fmt.Sprintf("  all %.3f  credit %.3f  broken %4.1f%%", p.ServedAll(), p.Credit(), 100*r.Broken())
	return row + fmt.Sprintf("  wasted %4.1f%%, recovery %.2fs", 100*r.Wasted(), r.Recovery.Seconds())
}
