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

// latencies holds the latencies of the calls to one URL in nanoseconds.
type latencies struct {
	mu       sync.Mutex
	sent     *hdrhistogram.Histogram // from the time of sending
	due      *hdrhistogram.Histogram // from the scheduled time, to include delays of the generator
	failures int64
	lastErr  error // of the latest failed call
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
	l.failures++
	l.lastErr = err
}

// openLoop is an open-loop load: a Poisson process sends calls whether or not earlier ones
// were answered. The calls alternate between the URLs, so that other load of the machine
// affects them equally.
type openLoop struct {
	urls     []string
	rate     float64 // calls per second to each URL
	duration time.Duration
	body     string
	seed     uint64
}

func (o openLoop) run(ctx context.Context, client *http.Client) []*latencies {
	results := make([]*latencies, len(o.urls))
	for i := range results {
		results[i] = newLatencies()
	}
	rng := rand.New(rand.NewPCG(o.seed, 0))
	start := time.Now()
	var all sync.WaitGroup
	at := time.Duration(0)
	for k := 0; ; k++ {
		at += time.Duration(rng.ExpFloat64() / (o.rate * float64(len(o.urls))) * float64(time.Second))
		if at >= o.duration || ctx.Err() != nil {
			break
		}
		due := start.Add(at)
		time.Sleep(time.Until(due))
		target := k % len(o.urls)
		all.Go(func() { o.call(ctx, client, o.urls[target], results[target], due) })
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
