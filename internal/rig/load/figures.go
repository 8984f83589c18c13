package load

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassialoom/cassialoom/importance"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
	"github.com/cassialoom/cassialoom/verdict"
)

// Span is a time span within a run: From is included, To is not.
type Span struct{ From, To time.Time }

// Contains reports whether t lies in the span.
func (s Span) Contains(t time.Time) bool { return !t.Before(s.From) && t.Before(s.To) }

// Seconds returns the length of the span.
func (s Span) Seconds() float64 { return s.To.Sub(s.From).Seconds() }

// Figures are the results of one run. A request is good if its complete answer arrived
// before its deadline. The trigger is the disturbance of the run, such as an overload.
type Figures struct {
	// Offered and Good are requests per second in the trigger's span.
	Offered float64
	Good    float64
	// GoodBy and BestBy are the good and the best possible rates of each importance, per
	// second, in the same span.
	GoodBy [importance.Count]float64
	BestBy [importance.Count]float64
	// InOrder is the reached share of the best possible rates. What a level gets beyond
	// its best rate, at the expense of a more important one, doesn't count.
	InOrder float64
	// Before is the share of good requests before the trigger.
	Before float64
	// Wasted is the share of slot time spent on requests that failed.
	Wasted float64
	// WastedBy divides Wasted by the outcome of the executions. Done executions are
	// among them if the whole request failed later.
	WastedBy map[backend.Outcome]float64
	// Attempts is the mean number of attempts of a caller for a request, Runs the mean
	// number of executions of a request at all backend servers.
	Attempts float64
	Runs     float64
	// Recovery is the time from the trigger's end until the share of good requests
	// stays within 5% of Before. Recovered is false if that doesn't happen in the run.
	Recovery  time.Duration
	Recovered bool
	Orders    Orders
	// Refusal is the 99th percentile of the latency of shed attempts.
	Refusal time.Duration
	// Refusals is the number of shed attempts.
	Refusals int
	// Median and P99 are latencies of good requests before the trigger.
	Median time.Duration
	P99    time.Duration
	// Late is the 99th percentile of the delay with which requests were sent. A long one
	// means that the generator lacked processor time.
	Late time.Duration
	// ShedBefore is the number of requests with a shed attempt before the trigger.
	ShedBefore int
	// Wrong is the number of answers to other requests, Untrue that of requests that ran
	// although every attempt was answered with "not run". Both must be zero.
	Wrong  int
	Untrue int
}

// Run is the input of Figures: everything that was observed in one run.
type Run struct {
	Mix        []Class
	Before     Span // under the base load, before the trigger
	Trigger    Span
	End        time.Time // of the arrivals
	Results    []Result
	Executions []backend.Execution
	// Best is the best possible rate of each class in the trigger's span; see Model.Best.
	Best []float64
}

// Figures computes the results of the run.
func (r *Run) Figures() Figures {
	f := Figures{Before: r.goodShare(r.Before)}
	r.goodput(&f)
	r.joinExecutions(&f)
	r.latencies(&f)
	f.Recovery, f.Recovered = r.recovery(f.Before)
	f.Orders = r.countOrderViolations()
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
	f.InOrder = shareInOrder(f.GoodBy, f.BestBy)
}

func shareInOrder(good, best [importance.Count]float64) float64 {
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

// joinExecutions joins the executions with the callers' results, for requests that were
// due after the cold start.
func (r *Run) joinExecutions(f *Figures) {
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
		if allRefused(res) {
			notRun[res.ID] = true
		}
	}
	var total, wasted time.Duration
	wastedBy := make(map[backend.Outcome]time.Duration)
	untrue := make(map[string]bool)
	for _, e := range r.Executions {
		succeeded, known := good[e.RequestID]
		if !known {
			continue
		}
		runs++
		total += e.Slot
		if !succeeded {
			wasted += e.Slot
			wastedBy[e.Outcome] += e.Slot
		}
		if notRun[e.RequestID] {
			untrue[e.RequestID] = true
		}
	}
	f.Wasted = ratio(float64(wasted), float64(total))
	f.WastedBy = make(map[backend.Outcome]float64)
	for outcome, spent := range wastedBy {
		f.WastedBy[outcome] = ratio(float64(spent), float64(total))
	}
	f.Attempts = ratio(float64(attempts), float64(len(good)))
	f.Runs = ratio(float64(runs), float64(len(good)))
	f.Untrue = len(untrue)
}

// allRefused reports whether every attempt was answered with "not run".
func allRefused(res *Result) bool {
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
	_ = h.RecordValue(min(max(d.Microseconds(), 1), highestLatency)) // fails only out of range
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
