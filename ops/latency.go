package ops

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Hop is the part of a request's way that a latency belongs to.
type Hop string

// The hops.
const (
	// HopWhole is from the arrival of a request at its entry to its answer.
	HopWhole Hop = "whole"
	// HopAdded is the part of that which no backend server worked.
	HopAdded Hop = "added"
	// HopWaiting is the time in the queue beside the backend server.
	HopWaiting Hop = "waiting"
	// HopBackend is from handing a request to the backend server to its
	// answer.
	HopBackend Hop = "backend"
)

const (
	// Latencies are kept from a microsecond to a minute with one significant
	// digit: 6 KB for each histogram.
	leastLatency    = 1
	greatestLatency = int64(time.Minute / time.Microsecond)
	latencyDigits   = 1
	// maxLatencies bounds the histograms: 64 routes with four hops. The rest
	// share one a hop.
	maxLatencies = 256
	otherRoutes  = "other"
)

// Latencies are histograms by route and hop. The zero value is ready; it is safe
// for concurrent use.
type Latencies struct {
	mu sync.Mutex
	of map[latencyKey]*hdrhistogram.Histogram
}

type latencyKey struct {
	route string
	hop   Hop
}

// Observe adds one latency.
func (l *Latencies) Observe(route string, hop Hop, d time.Duration) {
	us := min(max(d.Microseconds(), leastLatency), greatestLatency)
	l.mu.Lock()
	defer l.mu.Unlock()
	// The value is within the range, which is all that could fail.
	_ = l.histogram(latencyKey{route, hop}).RecordValue(us)
}

func (l *Latencies) histogram(key latencyKey) *hdrhistogram.Histogram {
	if h, ok := l.of[key]; ok {
		return h
	}
	if l.of == nil {
		l.of = make(map[latencyKey]*hdrhistogram.Histogram)
	}
	if len(l.of) >= maxLatencies && key.route != otherRoutes {
		return l.histogram(latencyKey{otherRoutes, key.hop})
	}
	h := hdrhistogram.New(leastLatency, greatestLatency, latencyDigits)
	l.of[key] = h
	return h
}

// LatencySummary is one histogram in figures.
type LatencySummary struct {
	Route         string
	Hop           Hop
	Count         int64
	P50, P99, Max time.Duration
}

// Summaries returns all histograms, by route and hop.
func (l *Latencies) Summaries() []LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]LatencySummary, 0, len(l.of))
	for key, h := range l.of {
		out = append(out, LatencySummary{
			Route: key.route, Hop: key.hop, Count: h.TotalCount(),
			P50: time.Duration(h.ValueAtQuantile(50)) * time.Microsecond,
			P99: time.Duration(h.ValueAtQuantile(99)) * time.Microsecond,
			Max: time.Duration(h.Max()) * time.Microsecond,
		})
	}
	slices.SortFunc(out, func(a, b LatencySummary) int {
		if c := strings.Compare(a.Route, b.Route); c != 0 {
			return c
		}
		return strings.Compare(string(a.Hop), string(b.Hop))
	})
	return out
}
