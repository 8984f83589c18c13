package bench

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	highestLatency = int64(10 * time.Second)
	latencyDigits  = 3
)

// latencies are those of one way, in nanoseconds.
type latencies struct {
	mu     sync.Mutex
	sent   *hdrhistogram.Histogram // from the moment of sending
	due    *hdrhistogram.Histogram // from the moment that the call was due
	failed int64
	reason error // of the latest failure
}

func newLatencies() *latencies {
	return &latencies{
		sent: hdrhistogram.New(1, highestLatency, latencyDigits),
		due:  hdrhistogram.New(1, highestLatency, latencyDigits),
	}
}

func (l *latencies) record(due, sent, answered time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.sent.RecordValue(min(int64(answered.Sub(sent)), highestLatency)) // in range
	_ = l.due.RecordValue(min(int64(answered.Sub(due)), highestLatency))   // in range
}

func (l *latencies) fail(err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.failed++
	l.reason = err
}

// openLoop sends calls at random moments (a Poisson process), whether or not
// earlier ones were answered, the ways in turn, each at the given rate: what
// else happens on the machine meets all ways alike.
type openLoop struct {
	ways   []string // URLs
	rate   float64  // of each way, a second
	length time.Duration
	body   string
	seed   uint64
}

func (o openLoop) run(ctx context.Context, client *http.Client) []*latencies {
	results := make([]*latencies, len(o.ways))
	for i := range results {
		results[i] = newLatencies()
	}
	rng := rand.New(rand.NewPCG(o.seed, 0))
	start := time.Now()
	var all sync.WaitGroup
	at := time.Duration(0)
	for k := 0; ; k++ {
		at += time.Duration(rng.ExpFloat64() / (o.rate * float64(len(o.ways))) * float64(time.Second))
		if at >= o.length || ctx.Err() != nil {
			break
		}
		due := start.Add(at)
		time.Sleep(time.Until(due))
		way := k % len(o.ways)
		all.Go(func() { o.call(ctx, client, o.ways[way], results[way], due) })
	}
	all.Wait()
	return results
}

func (o openLoop) call(ctx context.Context, client *http.Client, url string, l *latencies, due time.Time) {
	sent := time.Now()
	if err := post(ctx, client, url, o.body); err != nil {
		l.fail(err)
		return
	}
	l.record(due, sent, time.Now())
}
