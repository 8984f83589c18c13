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

// Config of a measurement with separate processes.
type Config struct {
	// Bins are folders with the programs; those of several builds are
	// measured in turn, so that a change can be compared on a busy machine.
	Bins []string
	// Repeats of everything; the spread over them tells how far a figure
	// can be trusted.
	Repeats int
	// Rates of calls a second; 400 is what each node is designed for.
	Rates []float64
	// Length of the load at each rate.
	Length time.Duration
	// Body is the size of each call's body in bytes.
	Body int
	// Idle is how long a node at rest is watched.
	Idle time.Duration
	// Connections that are held open at a time.
	Connections int
}

// DefaultConfig takes about five minutes for one build.
func DefaultConfig() Config {
	return Config{
		Bins:        []string{"bin"},
		Repeats:     5,
		Rates:       []float64{400, 2000},
		Length:      8 * time.Second,  // 3,200 calls at the lower rate: 32 beyond the 99th percentile
		Body:        200,              // a small JSON request
		Idle:        20 * time.Second, // processor time is counted in steps of 10 ms
		Connections: 1000,
	}
}

const (
	// settle lets a new cluster finish what belongs to its start.
	settle = 5 * time.Second
	// warmUp opens the connections and lets the limit grow.
	warmUp = 2 * time.Second
	// rest is between opening connections and reading the memory; it must
	// end before the node closes idle peers, 30 s.
	rest = 6 * time.Second
	// generatorConns keeps the generator from dialling during a measurement.
	generatorConns = 512
)

const mega = 1 << 20

// Loopback measures and writes a table.
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
				cfg:  cfg,
				bin:  bin,
				seed: uint64(repeat),
				add:  func(name string, figure float64) { t.add(name, columns[i], figure) },
				fail: func(text string) { failures = append(failures, columns[i]+": "+text) },
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
	cfg  Config
	bin  string
	seed uint64
	add  func(name string, figure float64)
	fail func(text string)
}

func (m measurement) run(ctx context.Context) error {
	for _, part := range []func(context.Context, *cluster) error{m.loads, m.callers, m.peers} {
		if err := withCluster(ctx, m.bin, part); err != nil {
			return err
		}
	}
	return nil
}

// loads watches the nodes at rest, then under each rate.
func (m measurement) loads(ctx context.Context, c *cluster) error {
	time.Sleep(settle)
	if err := m.atRest(ctx, c); err != nil {
		return err
	}
	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: generatorConns}}
	defer client.CloseIdleConnections()
	for _, rate := range m.cfg.Rates {
		if err := m.load(ctx, c, client, rate); err != nil {
			return err
		}
	}
	return nil
}

func (m measurement) atRest(ctx context.Context, c *cluster) error {
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
	m.memory("node at rest", after)
	return nil
}

func percent(part, whole time.Duration) float64 { return 100 * float64(part) / float64(whole) }

func (m measurement) memory(name string, u usage) {
	m.add(name+": memory (RSS), MB", float64(u.rss)/mega)
	m.add(name+": heap, MB", float64(u.heap)/mega)
	m.add(name+": stacks, MB", float64(u.stacks)/mega)
}

func (m measurement) load(ctx context.Context, c *cluster, client *http.Client, rate float64) error {
	o := openLoop{
		ways:   []string{c.direct(), c.forwarded()},
		rate:   rate,
		length: warmUp,
		body:   strings.Repeat("x", m.cfg.Body),
		seed:   m.seed,
	}
	o.run(ctx, client)
	o.length = m.cfg.Length
	before, err := bothUsages(ctx, c)
	if err != nil {
		return err
	}
	results := o.run(ctx, client)
	after, err := bothUsages(ctx, c)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%g calls/s", rate)
	m.latency(name, results[0], results[1])
	m.costs(name, float64(results[1].sent.TotalCount()), before, after)
	return nil
}

func (m measurement) latency(name string, direct, forwarded *latencies) {
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
	m.add(name+": failed calls, both ways", float64(direct.failed+forwarded.failed))
	for _, l := range []*latencies{direct, forwarded} {
		if l.failed > 0 {
			m.fail(fmt.Sprintf("%s: %d failed, the latest: %v", name, l.failed, l.reason))
		}
	}
}

func bothUsages(ctx context.Context, c *cluster) ([2]usage, error) {
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

func (m measurement) costs(name string, calls float64, before, after [2]usage) {
	for i, node := range []string{"entry node", "backend server's node"} {
		b, a := before[i], after[i]
		m.add(name+": "+node+": processor time a call, us", float64((a.cpu-b.cpu).Microseconds())/calls)
		m.add(name+": "+node+": allocations a call", float64(a.mallocs-b.mallocs)/calls)
		m.add(name+": "+node+": allocated a call, KB", float64(a.bytes-b.bytes)/calls/1024)
		m.add(name+": "+node+": memory (RSS) after, MB", float64(a.rss)/mega)
	}
}

func (m measurement) callers(ctx context.Context, c *cluster) error {
	return m.connections(ctx, c, "callers' connections", func() (func(), error) {
		return holdCallers(ctx, c, m.cfg.Connections)
	})
}

func (m measurement) peers(ctx context.Context, c *cluster) error {
	return m.connections(ctx, c, "peers' connections", func() (func(), error) {
		return holdPeers(ctx, c.entry, m.cfg.Connections)
	})
}

func (m measurement) connections(ctx context.Context, c *cluster, what string, hold func() (func(), error)) error {
	if m.cfg.Connections <= 0 {
		return nil
	}
	time.Sleep(settle)
	before, err := usageOf(ctx, c.entry)
	if err != nil {
		return err
	}
	closeAll, err := hold()
	defer closeAll()
	if err != nil {
		return err
	}
	time.Sleep(rest)
	after, err := usageOf(ctx, c.entry)
	if err != nil {
		return err
	}
	name := fmt.Sprintf("%d %s", m.cfg.Connections, what)
	m.memory(name, after)
	m.add(name+": memory (RSS) of each, KB", (float64(after.rss)-float64(before.rss))/1024/float64(m.cfg.Connections))
	return nil
}
