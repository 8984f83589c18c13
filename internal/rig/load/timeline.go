package load

import (
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Bucket is a short time of a run. Requests count at the time at which they
// were due.
type Bucket struct {
	// At is the bucket's begin, counted from the trigger's begin.
	At      time.Duration
	Offered [importance.Count]int
	Good    [importance.Count]int
	// Attempts that callers made for these requests.
	Attempts int
}

// Timeline divides a run into buckets.
func (r *Run) Timeline(width time.Duration) []Bucket {
	if len(r.Results) == 0 {
		return nil
	}
	from := r.Results[0].Due
	buckets := make([]Bucket, int(r.End.Sub(from)/width)+1)
	for i := range buckets {
		buckets[i].At = from.Add(time.Duration(i) * width).Sub(r.Trigger.From)
	}
	for i := range r.Results {
		res := &r.Results[i]
		b := &buckets[min(int(res.Due.Sub(from)/width), len(buckets)-1)]
		level := r.Mix[res.Class].Importance
		b.Offered[level]++
		b.Attempts += len(res.Attempts)
		if res.Good {
			b.Good[level]++
		}
	}
	return buckets
}
