package ops

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Hop is the part of a request's path that a latency covers.
type Hop string

// The hops of a request.
const (
	// HopTotal is the time from the arrival of a request at its first node to
	// its answer.
	HopTotal Hop = "whole"
	// HopOverhead is the part of HopTotal that was not spent in backend servers.
	HopOverhead Hop = "added"
	// HopQueue is the time in the queue of the backend server's node.
	HopQueue Hop = "waiting"
	// HopBackend is the time from passing a request to the backend server to
	// its answer.
	HopBackend Hop = "backend"
)

const (
	// The range of the histograms in microseconds, and their significant
	// digits.
	minLatencyMicros = 1
	maxLatencyMicros = int64(time.Minute / time.Microsecond)
	latencyDigits    = 1
	// maxHistograms limits the number of histograms. Further routes share one
	// histogram for each hop, under the name otherRoutes.
	maxHistograms = 256
	otherRoutes   = "other"
)

// Latencies holds histograms of latencies by route and hop. The zero value is
// ready to use and safe for concurrent use.
type Latencies struct {
	mu         sync.Mutex
	histograms map[latencyKey]*hdrhistogram.Histogram
}

type latencyKey struct {
	route string
	hop   Hop
}

// Observe records a latency. Values outside the range of the histograms are
// clamped to it.
func (l *Latencies) Observe(route string, hop Hop, d time.Duration) {
	us := min(max(d.Microseconds(), minLatencyMicros), maxLatencyMicros)
	l.mu.Lock()
	defer l.mu.Unlock()
	// RecordValue fails only outside the histogram's range.
	_ = l.histogram(latencyKey{route, hop}).RecordValue(us)
}

// histogram returns the histogram of key, or the shared one of its hop once there
// are maxHistograms. The caller holds l.mu.
func (l *Latencies) histogram(key latencyKey) *hdrhistogram.Histogram {
	if h, ok := l.histograms[key]; ok {
		return h
	}
	if l.histograms == nil {
		l.histograms = make(map[latencyKey]*hdrhistogram.Histogram)
	}
	if len(l.histograms) >= maxHistograms && key.route != otherRoutes {
		return l.histogram(latencyKey{otherRoutes, key.hop})
	}
	h := hdrhistogram.New(minLatencyMicros, maxLatencyMicros, latencyDigits)
	l.histograms[key] = h
	return h
}

// LatencySummary summarizes the histogram of a route and hop.
type LatencySummary struct {
	Route         string
	Hop           Hop
	Count         int64
	P50, P99, Max time.Duration
}

// Summaries returns the summaries of all histograms, sorted by route and hop.
func (l *Latencies) Summaries() []LatencySummary {
	l.mu.Lock()
	defer l.mu.Unlock()
	out := make([]LatencySummary, 0, len(l.histograms))
	for key, h := range l.histograms {
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
