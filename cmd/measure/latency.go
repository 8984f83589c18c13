package main

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/internal/standin/backend"
)

// The measurement of what two nodes add: calls go in turn directly to a
// backend server and through two nodes to the same one, which answers at once.
const (
	latencyFor     = 15 * time.Second
	latencyWarm    = 3 * time.Second
	latencyBody    = 1024
	idleFor        = 3 * time.Second
	connections    = 1000
	callTimeout    = 10 * time.Second
	highestLatency = int64(10 * time.Second / time.Microsecond)
	latencyDigits  = 3
)

// latencyRates are calls a second through the nodes; 400 is the load of one
// node at the size to design for.
var latencyRates = []float64{100, 400, 1000, 2000}

// path is one way to the backend server.
type path struct {
	url    string
	header http.Header
	mu     sync.Mutex
	hist   *hdrhistogram.Histogram
	failed int
}

func newPath(url string) *path {
	return &path{
		url:    url,
		header: http.Header{backend.HeaderRequestID: {"latency"}},
		hist:   hdrhistogram.New(1, highestLatency, latencyDigits),
	}
}

// measureLatency writes latency.md.
func measureLatency(ctx context.Context, opts options) error {
	u, err := loadUser("savukartta", opts.Graphs)
	if err != nil {
		return err
	}
	r, err := rig.New(opts.Bin)
	if err != nil {
		return err
	}
	text, err := latencyTable(ctx, r, u)
	if err = errors.Join(err, r.Close(stopLimit)); err != nil {
		return fmt.Errorf("%w (logs: %s)", err, r.Dir())
	}
	fmt.Print(text)
	err = os.WriteFile(filepath.Join(opts.Out, "latency.md"), []byte(text), 0o644)
	return errors.Join(err, r.RemoveLogs())
}

// latencyShape has one instance of the deep service and one of another, whose
// node is the entry.
func latencyShape(u *user) rig.Shape {
	shape := u.shape
	shape.Services = nil
	for _, s := range u.shape.Services {
		if s.Name != u.deep && s.Name != u.wide {
			continue
		}
		s.Targets, s.Slots, s.ColdFor = 1, 1000, 0
		s.Times = []string{"latest=0s,constant"}
		shape.Services = append(shape.Services, s)
	}
	return shape
}

func latencyTable(ctx context.Context, r *rig.Rig, u *user) (string, error) {
	cluster, err := r.StartCluster(ctx, latencyShape(u), rig.Options{Seed: 1})
	if err != nil {
		return "", err
	}
	if _, err := cluster.Publish(ctx, u.file); err != nil {
		return "", err
	}
	if err := cluster.Await(ctx, "/readyz", cluster.Instances); err != nil {
		return "", err
	}
	if err := cluster.AwaitView(ctx, cluster.Instances); err != nil {
		return "", err
	}
	entry, callee := cluster.Of(u.wide)[0], cluster.Of(u.deep)[0]
	var b bytes.Buffer
	if err := idleRow(ctx, &b, entry); err != nil {
		return "", err
	}
	fmt.Fprintln(&b, "\n| calls/s | direct median ms | direct p99 ms | two nodes median ms | two nodes p99 ms | added median ms | added p99 ms | node CPU per call, both, µs | failed |")
	fmt.Fprintln(&b, "|---|---|---|---|---|---|---|---|---|")
	for _, rate := range latencyRates {
		if err := latencyRow(ctx, &b, rate, entry, callee); err != nil {
			return "", err
		}
	}
	if err := connectionRow(ctx, &b, entry, callee); err != nil {
		return "", err
	}
	return b.String(), nil
}

// idleRow measures a node that only does what all nodes do together.
func idleRow(ctx context.Context, b *bytes.Buffer, i *rig.Instance) error {
	before, err := i.Node.CPU()
	if err != nil {
		return err
	}
	wait(ctx, idleFor)
	after, err := i.Node.CPU()
	if err != nil {
		return err
	}
	memory, err := i.Node.Memory()
	if err != nil {
		return err
	}
	fmt.Fprintf(b, "idle node: %.1f MB resident, %.2f%% of a core\n", megabytes(memory), 100*(after-before).Seconds()/idleFor.Seconds())
	return nil
}

func latencyRow(ctx context.Context, b *bytes.Buffer, rate float64, entry, callee *rig.Instance) error {
	// Twice, the first time to warm up.
	var direct, nodes *path
	var spent time.Duration
	for _, length := range []time.Duration{latencyWarm, latencyFor} {
		direct = newPath("http://" + callee.BackendAddr + "/latest")
		nodes = newPath("http://" + entry.CallerAddr + "/call/" + callee.Service + "/latest")
		before, err := nodeCPU(entry, callee)
		if err != nil {
			return err
		}
		sendInTurn(ctx, rate, length, direct, nodes)
		after, err := nodeCPU(entry, callee)
		if err != nil {
			return err
		}
		spent = after - before
	}
	calls := max(nodes.hist.TotalCount(), 1)
	d50, d99 := direct.percentile(50), direct.percentile(99)
	n50, n99 := nodes.percentile(50), nodes.percentile(99)
	fmt.Fprintf(b, "| %.0f | %.2f | %.2f | %.2f | %.2f | %.2f | %.2f | %.0f | %d |\n", rate,
		d50, d99, n50, n99, n50-d50, n99-d99, float64(spent.Microseconds())/float64(calls), direct.failed+nodes.failed)
	return ctx.Err()
}

func nodeCPU(instances ...*rig.Instance) (time.Duration, error) {
	var sum time.Duration
	for _, i := range instances {
		spent, err := i.Node.CPU()
		if err != nil {
			return 0, err
		}
		sum += spent
	}
	return sum, nil
}

// sendInTurn sends each path a call at the rate, at its time whether or not
// earlier ones were answered.
func sendInTurn(ctx context.Context, rate float64, length time.Duration, paths ...*path) {
	client := &http.Client{Timeout: callTimeout, Transport: &http.Transport{MaxIdleConnsPerHost: connections}}
	defer client.CloseIdleConnections()
	step := time.Duration(float64(time.Second) / rate / float64(len(paths)))
	start := time.Now()
	var all sync.WaitGroup
	for n := 0; ; n++ {
		due := start.Add(time.Duration(n) * step)
		if due.Sub(start) > length || !wait(ctx, time.Until(due)) {
			break
		}
		all.Go(func() { paths[n%len(paths)].send(ctx, client, due) })
	}
	all.Wait()
}

func (p *path) send(ctx context.Context, client *http.Client, due time.Time) {
	err := p.call(ctx, client)
	took := time.Since(due).Microseconds()
	p.mu.Lock()
	defer p.mu.Unlock()
	if err != nil {
		p.failed++
		return
	}
	_ = p.hist.RecordValue(min(max(took, 1), highestLatency)) // in range
}

func (p *path) call(ctx context.Context, client *http.Client) error {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, p.url, bytes.NewReader(make([]byte, latencyBody)))
	if err != nil {
		return err
	}
	req.Header = p.header.Clone()
	res, err := client.Do(req)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if _, err := io.Copy(io.Discard, res.Body); err != nil {
		return err
	}
	if res.StatusCode != http.StatusOK {
		return fmt.Errorf("status %d", res.StatusCode)
	}
	return nil
}

func (p *path) percentile(q float64) float64 {
	return float64(p.hist.ValueAtPercentile(q)) / 1000
}

// connectionRow measures a node that callers keep many connections to.
func connectionRow(ctx context.Context, b *bytes.Buffer, entry, callee *rig.Instance) error {
	p := newPath("http://" + entry.CallerAddr + "/call/" + callee.Service + "/latest")
	clients := make([]*http.Client, connections)
	for i := range clients {
		clients[i] = &http.Client{Timeout: callTimeout, Transport: &http.Transport{}}
		defer clients[i].CloseIdleConnections()
		if err := p.call(ctx, clients[i]); err != nil {
			return err
		}
	}
	memory, err := entry.Node.Memory()
	if err != nil {
		return err
	}
	fmt.Fprintf(b, "\nnode with %d callers' connections: %.1f MB resident\n", connections, megabytes(memory))
	return nil
}

func megabytes(n int64) float64 { return float64(n) / (1 << 20) }

// wait reports whether it waited to the end.
func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}
