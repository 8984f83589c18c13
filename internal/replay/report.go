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
	"github.com/cassialoom/cassialoom/internal/retrybound"
	"github.com/cassialoom/cassialoom/verdict"
)

// counts holds the requests of one phase by importance. A request belongs to the phase
// in which it starts.
type counts [importance.Count]int

// PhaseReport holds the results of one phase.
type PhaseReport struct {
	Name    string
	Offered counts
	// Succeeded counts the requests that succeeded before their deadline.
	Succeeded counts
	// UsefulWork is the work of the bottleneck service, at speed one, for requests that
	// succeeded during the phase after settleTime. MaxUsefulWork is the most that its
	// slots or the offered load allow in that time.
	UsefulWork, MaxUsefulWork time.Duration

	eager, compliant, eagerServed, compliantServed int
	offered, succeeded                             map[string]int // by class
	// offeredWorth is the worth of all offered requests; earnedWorth is that of the
	// served ones, with late ones weighted by LateShare.
	offeredWorth, earnedWorth float64
}

// Report holds the results of one run.
type Report struct {
	Policy string
	Phases []PhaseReport
	// Recovery is the time from the start of the last phase until the success rate
	// stays at recoveredShare.
	Recovery time.Duration
	// MaxRelativeLoad is the highest relative load of a backend server of the bottleneck
	// service: its share of the attempts divided by its share of the total speed.
	MaxRelativeLoad float64
	// LimitUse is, for each backend server that named a rate limit in the second phase, the
	// rate of its arrivals after limitSettleTime as a share of the limit. LimitsBroken
	// lists the limits that were not kept.
	LimitUse     []float64
	LimitsBroken []error
	// ExtraAttempts is the record of extra attempts.
	ExtraAttempts *retrybound.Record
	// Digest is a checksum of the instants of all events.
	Digest uint64

	scenario          *Scenario
	start             time.Time
	mu                sync.Mutex
	slotTimeByRequest map[string]time.Duration // at the bottleneck service, by request ID
	useful            time.Duration
	// succeededTries counts the admitted tries that succeeded; failedTries counts those
	// that failed after they had run or may have run.
	succeededTries, failedTries int
	// remoteAttempts counts attempts sent to another data centre.
	remoteAttempts atomic.Int64
	// refusals counts the tries that have not run; refusedRetries counts the retries
	// among them.
	refusals, refusedRetries int
	// failures counts failed calls between services; calls counts all of them by
	// service.
	failures       map[failure]int
	calls          map[string]int
	succeededByBin []int
	offeredByBin   []int
}

// failure is the kind of a failed call between services.
type failure struct {
	service string
	reason  verdict.Reason
}

// bin is the resolution of the recovery time. recoveredShare is the share of the
// requests of a bin that must succeed.
const (
	bin            = 250 * time.Millisecond
	recoveredShare = 0.95
)

func newReport(scenario *Scenario, policy string) *Report {
	r := &Report{Policy: policy, ExtraAttempts: retrybound.New(retryBounds), scenario: scenario, start: time.Now(), slotTimeByRequest: make(map[string]time.Duration),
		failures: make(map[failure]int), calls: make(map[string]int)}
	var whole time.Duration
	for _, p := range scenario.Phases {
		whole += p.Duration
		r.Phases = append(r.Phases, PhaseReport{Name: p.Name, MaxUsefulWork: scenario.Deployment.maxUsefulWork(&p),
			offered: make(map[string]int), succeeded: make(map[string]int)})
	}
	bins := int(whole/bin) + 1
	r.succeededByBin, r.offeredByBin = make([]int, bins), make([]int, bins)
	return r
}

// bin returns the index of the bin of a time.
func (r *Report) bin(at time.Time) int { return int(at.Sub(r.start) / bin) }

// offered records a request that starts.
func (r *Report) offered(q *request) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.Phases[q.phase]
	p.Offered[q.class.Importance]++
	p.offered[q.class.Name]++
	p.offeredWorth += q.class.worth()
	if q.eager {
		p.eager++
	} else {
		p.compliant++
	}
	r.offeredByBin[r.bin(q.start)]++
}

// succeeded records a try that succeeded.
func (r *Report) succeeded(q *request, id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := &r.Phases[q.phase]
	p.Succeeded[q.class.Importance]++
	p.succeeded[q.class.Name]++
	p.earnedWorth += q.class.credit(time.Since(q.start))
	r.succeededTries++
	if q.eager {
		p.eagerServed++
	} else {
		p.compliantServed++
	}
	if current, settled := r.currentPhase(); settled {
		current.UsefulWork += r.scenario.Deployment.slotTime(q.class)
	}
	r.succeededByBin[r.bin(q.start)]++
	r.useful += r.slotTimeByRequest[id]
	delete(r.slotTimeByRequest, id)
}

// failed records a try that failed or was refused, after that many retries.
func (r *Report) failed(out call.Outcome, retries int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if out.Verdict != verdict.NotRun {
		r.failedTries++
		return
	}
	r.refusals++
	if retries > 0 {
		r.refusedRetries++
	}
}

// callEnded records the outcome of a call between services.
func (r *Report) callEnded(service string, out call.Outcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.calls[service]++
	if out.Reason != verdict.None {
		r.failures[failure{service, out.Reason}]++
	}
}

func (c *Class) worth() float64 { return cmp.Or(c.Worth, 1) }

// credit returns the worth of an answer after that response time.
func (c *Class) credit(elapsed time.Duration) float64 {
	if c.TargetLatency > 0 && elapsed > c.TargetLatency {
		return c.worth() * c.LateShare
	}
	return c.worth()
}

// Credit returns the earned share of the worth of all requests of the phase.
func (p *PhaseReport) Credit() float64 { return p.earnedWorth / max(p.offeredWorth, 1) }

// Details lists failed calls between services by service and reason, and refusals.
func (r *Report) Details() string {
	var lines []string
	for f, n := range r.failures {
		lines = append(lines, fmt.Sprintf("%s %s %.2f%%", f.service, f.reason, 100*float64(n)/float64(r.calls[f.service])))
	}
	slices.Sort(lines)
	return fmt.Sprintf("%s; refusals %d, of those that came back %d; busiest of %s %.2f of its share", strings.Join(lines, ", "),
		r.refusals, r.refusedRetries, r.scenario.Deployment.Bottleneck, r.MaxRelativeLoad)
}

// FailedShare returns the share of the admitted tries that failed after they had run or
// may have run.
func (r *Report) FailedShare() float64 {
	return float64(r.failedTries) / float64(max(1, r.failedTries+r.succeededTries))
}

// ServedOf returns the share of the offered requests of one class that succeeded.
func (p *PhaseReport) ServedOf(class string) float64 {
	if p.offered[class] == 0 {
		return 1
	}
	return float64(p.succeeded[class]) / float64(p.offered[class])
}

// ServedAll returns the share of all offered requests that succeeded.
func (p *PhaseReport) ServedAll() float64 {
	offered, succeeded := 0, 0
	for name, n := range p.offered {
		offered += n
		succeeded += p.succeeded[name]
	}
	return float64(succeeded) / float64(max(1, offered))
}

// settleTime is the start of a phase that is not measured: requests that end in it
// were sent in the phase before.
const settleTime = time.Second

// limitSettleTime is the time after a limit was named that LimitUse does not count.
const limitSettleTime = 2 * time.Second

// currentPhase returns the current phase, and whether settleTime has passed in it. After
// the end it returns the last phase and false.
func (r *Report) currentPhase() (p *PhaseReport, settled bool) {
	at := time.Since(r.start)
	for i, p := range r.scenario.Phases {
		if at < p.Duration {
			return &r.Phases[i], at >= settleTime
		}
		at -= p.Duration
	}
	return &r.Phases[len(r.Phases)-1], false
}

// addSlotTime adds slot time of a request at the bottleneck service.
func (r *Report) addSlotTime(s *Service, id string, d time.Duration) {
	if s.Name != r.scenario.Deployment.Bottleneck {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slotTimeByRequest[id] += d
}

// computeRecovery sets Recovery after all callers have ended.
func (r *Report) computeRecovery() {
	last := len(r.scenario.Phases) - 1
	var from time.Duration
	for _, p := range r.scenario.Phases[:last] {
		from += p.Duration
	}
	first := int(from / bin)
	bad := first - 1
	for i := first; i < int((from+r.scenario.Phases[last].Duration)/bin); i++ {
		if float64(r.succeededByBin[i]) < recoveredShare*float64(r.offeredByBin[i]) {
			bad = i
		}
	}
	r.Recovery = time.Duration(bad+1-first) * bin
}

// WastedShare returns the share of the slot time of the bottleneck service that was spent on
// requests that failed.
func (r *Report) WastedShare() float64 {
	var wasted time.Duration
	for _, d := range r.slotTimeByRequest {
		wasted += d
	}
	if wasted+r.useful == 0 {
		return 0
	}
	return wasted.Seconds() / (wasted + r.useful).Seconds()
}

// Goodput returns the useful work of the phase as a share of the possible maximum.
func (p *PhaseReport) Goodput() float64 { return p.UsefulWork.Seconds() / p.MaxUsefulWork.Seconds() }

// Served returns the share of the offered requests of one importance that succeeded.
func (p *PhaseReport) Served(imp importance.Importance) float64 {
	if p.Offered[imp] == 0 {
		return 1
	}
	return float64(p.Succeeded[imp]) / float64(p.Offered[imp])
}

// EagerServed returns the share of requests that succeeded of the callers that ignore
// Retry-After.
func (p *PhaseReport) EagerServed() float64 { return float64(p.eagerServed) / float64(max(p.eager, 1)) }

// CompliantServed returns the share of requests that succeeded of the callers that obey
// Retry-After.
func (p *PhaseReport) CompliantServed() float64 {
	return float64(p.compliantServed) / float64(max(p.compliant, 1))
}

// During returns the second phase, the one with the overload or the faults.
func (r *Report) During() *PhaseReport { return &r.Phases[1] }

// Row formats the report as one line: goodput and served shares of each phase, then the
// results of the second phase by class and the totals of the run.
func (r *Report) Row() string {
	row := fmt.Sprintf("%-26s", r.Policy)
	for i := range r.Phases {
		p := &r.Phases[i]
		row += fmt.Sprintf("  %s %5.1f%% (critical %5.1f%%, normal %5.1f%%)", p.Name, 100*p.Goodput(),
			100*p.Served(importance.Critical), 100*p.Served(importance.Normal))
	}
	p := r.During()
	for _, c := range r.scenario.Deployment.Classes {
		row += fmt.Sprintf("  %s %.2f", c.Name, p.ServedOf(c.Name))
	}
	row += fmt.Sprintf("  all %.3f  credit %.3f  broken %4.1f%%", p.ServedAll(), p.Credit(), 100*r.FailedShare())
	if len(r.LimitUse) > 0 {
		row += fmt.Sprintf("  limits used %.2f, broken %d", r.LimitUse, len(r.LimitsBroken))
	}
	return row + fmt.Sprintf("  wasted %4.1f%%, recovery %.2fs", 100*r.WastedShare(), r.Recovery.Seconds())
}
