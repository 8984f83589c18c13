package ops

import (
	"expvar"
	"fmt"
	"io"
	"net/http"
)

// Gauge is a metric whose value goes up and down.
type Gauge struct {
	Name  string
	Value float64
}

// metricPrefix is the prefix of all metric names.
const metricPrefix = "cassialoom_"

// metrics returns a handler that serves all counters, gauges and latencies as
// text, one NAME{LABELS} VALUE for each line.
func metrics(n Node, c *Counters) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		n.Sync()
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		writeCounters(w, c)
		for _, g := range n.Gauges() {
			fmt.Fprintf(w, "%s%s %g\n", metricPrefix, g.Name, g.Value)
		}
		writeLatencies(w, &c.Latencies)
	}
}

// writeCounters writes all counters. It ignores write errors, which mean that the
// client has disconnected.
func writeCounters(w io.Writer, c *Counters) {
	for _, v := range c.list() {
		if m, ok := v.value.(*expvar.Map); ok {
			empty := true
			m.Do(func(kv expvar.KeyValue) {
				fmt.Fprintf(w, "%s%s{%s=%q} %s\n", metricPrefix, v.name, v.label, kv.Key, kv.Value)
				empty = false
			})
			if empty { // distinguishes a count of zero from a metric that doesn't exist
				fmt.Fprintf(w, "%s%s 0\n", metricPrefix, v.name)
			}
			continue
		}
		fmt.Fprintf(w, "%s%s %s\n", metricPrefix, v.name, v.value)
	}
}

// writeLatencies writes the count and the quantiles of all latencies in seconds.
func writeLatencies(w io.Writer, l *Latencies) {
	for _, s := range l.Summaries() {
		labels := fmt.Sprintf("route=%q,hop=%q", s.Route, string(s.Hop))
		fmt.Fprintf(w, "%slatency_count{%s} %d\n", metricPrefix, labels, s.Count)
		for _, q := range []struct {
			name  string
			value float64
		}{{"0.5", s.P50.Seconds()}, {"0.99", s.P99.Seconds()}, {"1", s.Max.Seconds()}} {
			fmt.Fprintf(w, "%slatency_seconds{%s,quantile=%q} %g\n", metricPrefix, labels, q.name, q.value)
		}
	}
}
