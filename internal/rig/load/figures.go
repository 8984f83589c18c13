package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

// Span of time within a run.
type Span struct{ From, To time.Time }

// Contains reports whether t lies in the span.
func (s Span) Contains(t time.Time) bool { return !t.Before(s.From) && t.Before(s.To) }

// Seconds of the span.
func (s Span) Seconds() float64 { return s.To.Sub(s.From).Seconds() }

// Figures of one run.
type Figures struct {
	// Offered and Good are requests a second in the trigger's span.
	Offered float64
	Good    float64
	// GoodBy and BestBy are by importance, a second, in the same span.
	GoodBy [importance.Count]float64
	BestBy [importance.Count]float64
	// InOrder is the share of the best that was reached, level by level: what
	// a level got beyond its best, at the cost of a more important one, does
	// not count.
	InOrder float64
	// Before is the share of requests that were good before the trigger.
	Before float64
	// Wasted is the share of slot time spent on requests that failed.
	Wasted float64
	// WastedBy divides it by how the executions ended: one that is done was
	// of use to its caller but not to the whole request.
	WastedBy map[backend.Outcome]float64
	// Attempts that callers made for a request; Runs at all backend servers
	// for a request.
	Attempts float64
	Runs     float64
	// Recovery is the time from the trigger's end until the share of good
	// requests was back within 5% of before, for good; Recovered is false if
	// it was not until the end of the run.
	Recovery  time.Duration
	Recovered bool
	Orders    Orders
	// Refusal is the 99th percentile of the time that a refusal took.
	Refusal time.Duration
	// Refusals is the number of attempts that were refused.
	Refusals int
	// Median and P99 latency of good requests before the trigger.
	Median time.Duration
	P99    time.Duration
	// Late is the 99th percentile of how late requests were sent: the
	// generator itself was short of processor time if it is long.
	Late time.Duration
	// ShedBefore is the number of requests refused before the trigger.
	ShedBefore int
	// Wrong counts answers of other requests, Untrue requests that were told
	// "not run" by all that was answered and ran. Both must be zero.
	Wrong  int
	Untrue int
}

// Run is all that was observed in one run.
type Run struct {
	Mix        []Class
	Before     Span // under the base load, before the trigger
	Trigger    Span
	End        time.Time // of the arrivals
	Results    []Result
	Executions []backend.Execution
	// Best rate of each class in the trigger's span.
	Best []float64
}

// Figures computes them all.
func (r *Run) Figures() Figures {
	f := Figures{Before: r.goodShare(r.Before)}
	r.goodput(&f)
	r.work(&f)
	r.latencies(&f)
	f.Recovery, f.Recovered = r.recovery(f.Before)
	f.Orders = r.orders()
	return f
}

func (r *Run) goodput(f *Figures) {
	seconds := r.Trigger.Seconds()
	for i := range r.Results {
		res := &r.Results[i]
		if res.Wrong {
			f.Wrong++
		}
		if !r.Trigger.Contains(res.Due) {
			continue
		}
		f.Offered += 1 / seconds
		if res.Good {
			f.Good += 1 / seconds
			f.GoodBy[r.Mix[res.Class].Importance] += 1 / seconds
		}
	}
	for i, rate := range r.Best {
		f.BestBy[r.Mix[i].Importance] += rate
	}
	f.InOrder = inOrder(f.GoodBy, f.BestBy)
}

func inOrder(good, best [importance.Count]float64) float64 {
	reached, possible := 0.0, 0.0
	for level := range best {
		reached += min(good[level], best[level])
		possible += best[level]
	}
	return ratio(reached, possible)
}

func (r *Run) goodShare(span Span) float64 {
	due, good := 0, 0
	for i := range r.Results {
		if !span.Contains(r.Results[i].Due) {
			continue
		}
		due++
		if r.Results[i].Good {
			good++
		}
	}
	return ratio(float64(good), float64(due))
}

// work joins what ran with what callers got, for requests that were due after
// the cold start.
func (r *Run) work(f *Figures) {
	good := make(map[string]bool, len(r.Results))
	notRun := make(map[string]bool)
	attempts, runs := 0, 0
	for i := range r.Results {
		res := &r.Results[i]
		if res.Due.Before(r.Before.From) {
			continue
		}
		good[res.ID] = res.Good
		attempts += len(res.Attempts)
		if neverRan(res) {
			notRun[res.ID] = true
		}
	}
	var all, wasted time.Duration
	wastedBy := make(map[backend.Outcome]time.Duration)
	untrue := make(map[string]bool)
	for _, e := range r.Executions {
		useful, known := good[e.RequestID]
		if !known {
			continue
		}
		runs++
		all += e.Slot
		if !useful {
			wasted += e.Slot
			wastedBy[e.Outcome] += e.Slot
		}
		if notRun[e.RequestID] {
			untrue[e.RequestID] = true
		}
	}
	f.Wasted = ratio(float64(wasted), float64(all))
	f.WastedBy = make(map[backend.Outcome]float64)
	for outcome, spent := range wastedBy {
		f.WastedBy[outcome] = ratio(float64(spent), float64(all))
	}
	f.Attempts = ratio(float64(attempts), float64(len(good)))
	f.Runs = ratio(float64(runs), float64(len(good)))
	f.Untrue = len(untrue)
}

// neverRan reports whether every attempt was answered with "not run".
func neverRan(res *Result) bool {
	for _, a := range res.Attempts {
		if !a.Refused() {
			return false
		}
	}
	return len(res.Attempts) > 0
}

const (
	highestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits  = 3
)

func newHistogram() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, highestLatency, latencyDigits)
}

func record(h *hdrhistogram.Histogram, d time.Duration) {
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestLatency)) // in range
}

func percentile(h *hdrhistogram.Histogram, p float64) time.Duration {
	return time.Duration(h.ValueAtPercentile(p)) * time.Microsecond
}

func (r *Run) latencies(f *Figures) {
	refusals, calm, late := newHistogram(), newHistogram(), newHistogram()
	for i := range r.Results {
		res := &r.Results[i]
		record(late, res.Attempts[0].Sent.Sub(res.Due))
		before := r.Before.Contains(res.Due)
		if before && res.Good {
			record(calm, res.Latency())
		}
		shed := false
		for _, a := range res.Attempts {
			if a.Refused() && a.Reason == verdict.Shed {
				record(refusals, a.Answered.Sub(a.Sent))
				f.Refusals++
				shed = true
			}
		}
		if before && shed {
			f.ShedBefore++
		}
	}
	f.Refusal = percentile(refusals, 99)
	f.Median = percentile(calm, 50)
	f.P99 = percentile(calm, 99)
	f.Late = percentile(late, 99)
}

func ratio(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
