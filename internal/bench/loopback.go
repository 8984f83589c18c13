package bench

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"path/filepath"
	"strings"
	"time"

	"github.com/cassialoom/cassialoom/internal/rig"
)

// Config configures a measurement with separate processes.
type Config struct {
	// Bins are directories with the programs. Several builds are measured alternately,
	// so that load of the machine affects them equally.
	Bins []string
	// Repeats is the number of repeats of all measurements. Their spread shows the
	// precision of a figure.
	Repeats int
	// Rates are the loads in calls per second; a node is designed for 400.
	Rates []float64
	// Length is the duration of the load at each rate.
	Length time.Duration
	// Body is the size of the body of each call in bytes.
	Body int
	// Idle is the duration of the measurement of an idle node.
	Idle time.Duration
	// Connections is the number of connections held open at a time.
	Connections int
}

// DefaultConfig returns the settings of a full measurement.
func DefaultConfig() Config {
	return Config{
		Bins:        []string{"bin"},
		Repeats:     5,
		Rates:       []float64{400, 2000},
		Length:      8 * time.Second,  // enough calls beyond the 99th percentile at the lower rate
		Body:        200,              // a small JSON request
		Idle:        20 * time.Second, // the resolution of processor time is 10 ms
		Connections: 1000,
	}
}

const (
	// startSettleTime is the time for a new cluster to finish its start.
	startSettleTime = 5 * time.Second
	// warmUpTime is the time to open connections and to let the limit grow.
	warmUpTime = 2 * time.Second
	// connectionSettleTime is the time between opening connections and reading the
	// memory. It is shorter than the 30 s after which nodes close idle peers.
	connectionSettleTime = 6 * time.Second
	// generatorConns is the number of idle connections of the load generator, enough to
	// avoid dialling during a measurement.
	generatorConns = 512
)

const bytesPerMB = 1 << 20

// Loopback runs the measurement and writes a Markdown table to w.
func Loopback(ctx context.Context, cfg Config, w io.Writer) error {
	columns := make([]string, len(cfg.Bins))
	for i, bin := range cfg.Bins {
		columns[i] = filepath.Base(bin)
	}
	t := newTable(columns)
	var failures []string
	for repeat := range cfg.Repeats {
		for i, bin := range cfg.Bins {
			m := measurement{
				cfg:        cfg,
				bin:        bin,
				seed:       uint64(repeat),
				add:        func(name string, figure float64) { t.add(name, columns[i], figure) },
				addFailure: func(text string) { failures = append(failures, columns[i]+": "+text) },
			}
			if err := m.run(ctx); err != nil {
				return fmt.Errorf("%s, repeat %d: %w", bin, repeat+1, err)
			}
		}
	}
	_, err := fmt.Fprintf(w, "Median of %d repeats (lowest to highest).\n\n%s", cfg.Repeats, t.markdown())
	for _, text := range failures {
		fmt.Fprintln(w, text)
	}
	return err
}

// measurement is one repeat with one build.
type measurement struct {
	cfg        Config
	bin        string
	seed       uint64
	add        func(name string, figure float64)
	addFailure func(text string)
}

// run does each part of the measurement with a new cluster.
func (m measurement) run(ctx context.Context) error {
	for _, part := range []func(context.Context, *cluster) error{m.measureLoads, m.measureCallerConnections, m.measurePeerConnections} {
		if err := withCluster(ctx, m.bin, part); err != nil {
			return err
		}
	}
	return nil
}

// measureLoads measures the nodes idle, then at each rate.
func (m measurement) measureLoads(ctx context.Context, c *cluster) error {
	time.Sleep(startSettleTime)
	if err := m.measureIdle(ctx, c); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: generatorConns}}
	defer client.CloseIdleConnections()
	for _, rate := range m.cfg.Rates {
		if err := m.measureLoad(ctx, c, client, rate); err != nil {
			return err
		}
	}
	return nil
}

// measureIdle measures the entry node without load.
func (m measurement) measureIdle(ctx context.Context, c *cluster) error {
	if m.cfg.Idle <= 0 {
		return nil
	}
	before, err := usageOf(ctx, c.entry)
	if err != nil {
		return err
	}
	time.Sleep(m.cfg.Idle)
	after, err := usageOf(ctx, c.entry)
	if err != nil {
		return err
	}
	m.add("node at rest: processor time, % of a core", percent(after.cpu-before.cpu, m.cfg.Idle))
	m.addMemory("node at rest", after)
	return nil
}

func percent(part, whole time.Duration) float64 { return 100 * float64(part) / float64(whole) }

func (m measurement) addMemory(name string, u usage) {
	m.add(name+": memory (RSS), MB", float64(u.rss)/bytesPerMB)
	m.add(name+": heap, MB", float64(u.heap)/bytesPerMB)
	m.add(name+": stacks, MB", float64(u.stacks)/bytesPerMB)
}

// measureLoad measures direct and forwarded calls at one rate.
func (m measurement) measureLoad(ctx context.Context, c *cluster, client *http.Client, rate float64) error {
	o := openLoop{
		urls:     []string{c.direct(), c.forwarded()},
		rate:     rate,
		duration: warmUpTime,
		body:     strings.Repeat("x", m.cfg.Body),
		seed:     m.seed,
	}
	o.run(ctx, client)
	o.duration = m.cfg.Length
	before, err := nodeUsages(ctx, c)
	if err != nil {
		return err
	}
	results := o.run(ctx, client)
	after, err := nodeUsages(ctx, c)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%g calls/s", rate)
	m.addLatency(name, results[0], results[1])
	m.addCosts(name, float64(results[1].sent.TotalCount()), before, after)
	return nil
}

// addLatency adds the latencies of direct and forwarded calls and their difference.
func (m measurement) addLatency(name string, direct, forwarded *latencies) {
	us := func(ns int64) float64 { return float64(ns) / float64(time.Microsecond) }
	for _, p := range []struct {
		name  string
		value float64
	}{{"median", 50}, {"99 in 100", 99}} {
		d, f := direct.sent.ValueAtPercentile(p.value), forwarded.sent.ValueAtPercentile(p.value)
		m.add(name+": direct, "+p.name+", us", us(d))
		m.add(name+": through two nodes, "+p.name+", us", us(f))
		m.add(name+": added, "+p.name+", us", us(f-d))
		d, f = direct.due.ValueAtPercentile(p.value), forwarded.due.ValueAtPercentile(p.value)
		m.add(name+": added, "+p.name+", from the moment due, us", us(f-d))
	}
	m.add(name+": failed calls, both ways", float64(direct.failures+forwarded.failures))
	for _, l := range []*latencies{direct, forwarded} {
		if l.failures > 0 {
			m.addFailure(fmt.Sprintf("%s: %d failed, the latest: %v", name, l.failures, l.lastErr))
		}
	}
}

// nodeUsages returns the usage of the entry node and of the backend server's node.
func nodeUsages(ctx context.Context, c *cluster) ([2]usage, error) {
	var both [2]usage
	for i, instance := range []*rig.Instance{c.entry, c.work} {
		u, err := usageOf(ctx, instance)
		if err != nil {
			return both, err
		}
		both[i] = u
	}
	return both, nil
}

// addCosts adds the resources that both nodes used per call.
func (m measurement) addCosts(name string, calls float64, before, after [2]usage) {
	for i, node := range []string{"entry node", "backend server's node"} {
		b, a := before[i], after[i]
		m.add(name+": "+node+": processor time a call, us", float64((a.cpu-b.cpu).Microseconds())/calls)
		m.add(name+": "+node+": allocations a call", float64(a.mallocs-b.mallocs)/calls)
		m.add(name+": "+node+": allocated a call, KB", float64(a.bytes-b.bytes)/calls/1024)
		m.add(name+": "+node+": memory (RSS) after, MB", float64(a.rss)/bytesPerMB)
	}
}

func (m measurement) measureCallerConnections(ctx context.Context, c *cluster) error {
	return m.measureConnections(ctx, c, "callers' connections", func() (func(), error) {
		return openCallerConnections(ctx, c, m.cfg.Connections)
	})
}

func (m measurement) measurePeerConnections(ctx context.Context, c *cluster) error {
	return m.measureConnections(ctx, c, "peers' connections", func() (func(), error) {
		return openPeerConnections(ctx, c.entry, m.cfg.Connections)
	})
}

// measureConnections measures the memory of the entry node for the connections that hold
// opens.
func (m measurement) measureConnections(ctx context.Context, c *cluster, what string, hold func() (func(), error)) error {
	if m.cfg.Connections <= 0 {
		return nil
	}
	time.Sleep(startSettleTime)
	before, err := usageOf(ctx, c.entry)
	if err != nil {
		return err
	}
	closeAll, err := hold()
	defer closeAll()
	if err != nil {
		return err
	}
	time.Sleep(connectionSettleTime)
	after, err := usageOf(ctx, c.entry)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%d %s", m.cfg.Connections, what)
	m.addMemory(name, after)
	m.add(name+": memory (RSS) of each, KB", (float64(after.rss)-float64(before.rss))/1024/float64(m.cfg.Connections))
	return nil
}
