package load

import (
	"time"

	"github.com/cassialoom/cassialoom/importance"
)

// Bucket counts the requests that were due in a short span of a run.
type Bucket struct {
	// At is the begin of the bucket, relative to the begin of the trigger.
	At      time.Duration
	Offered [importance.Count]int
	Good    [importance.Count]int
	// Attempts is the number of attempts for these requests.
	Attempts int
}

// Timeline divides a run into buckets of the given width.
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
