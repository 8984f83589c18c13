package prove

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/verdict"
)

const sheddingGraph = `
service "plumecast" {
  operation "forecast" {
    idempotent = true
    importance = "critical"
    deadline   = "1s"
    calls      = ["stationlog.latest"]
  }
  operation "map" {
    idempotent = true
    importance = "normal"
    deadline   = "1s"
    calls      = ["stationlog.latest"]
  }
  operation "overview" {
    idempotent = true
    importance = "low"
    deadline   = "1s"
    calls      = ["stationlog.latest"]
  }
}
service "stationlog" {
  operation "latest" {
    idempotent = true
    importance = "critical"
    deadline   = "1s"
  }
}`

// stationCapacity is the capacity of stationlog in requests a second: two
// backend servers with four slots, 20 ms a request.
const stationCapacity = 400

func sheddingOptions() Options {
	shape := defaultOptions().Shape
	shape.Services = []rig.ServiceShape{
		{Name: "plumecast", Targets: 3, Slots: 100, Queue: 100, Times: []string{"forecast=2ms", "map=2ms", "overview=2ms"}},
		{Name: "stationlog", Targets: 2, Slots: 4, Queue: 4, Times: []string{"latest=20ms"}},
	}
	return Options{Graph: sheddingGraph, Shape: shape}
}

// sendAtRate sends requests at a fixed rate through all nodes in turn until ctx
// ends, without waiting for answers.
func sendAtRate(ctx context.Context, f *Fleet, ref graph.Ref, perSecond int, all *sync.WaitGroup) {
	nodes := f.CallerAddrs()
	begin := time.Now()
	for n := 0; ; n++ {
		if !pause.For(ctx, time.Until(begin.Add(time.Duration(n)*time.Second/time.Duration(perSecond)))) {
			return
		}
		s := Invocation{Action: f.NewAction(), Number: 1, Operation: ref, Node: nodes[n%len(nodes)]}
		all.Go(func() {
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			defer cancel()
			f.Send(limited, s)
		})
	}
}

// successShare returns the share of the operation's requests that succeeded.
func successShare(list []Invocation, ref graph.Ref) float64 {
	ran, all := 0, 0
	for _, s := range list {
		if s.Operation != ref {
			continue
		}
		all++
		if s.Verdict == verdict.Ran && s.Status == 200 {
			ran++
		}
	}
	return float64(ran) / float64(max(all, 1))
}

// inversionWindow is the largest difference in time between a shed critical
// request and a served low one that counts as an inversion.
const inversionWindow = 50 * time.Millisecond

// countInversions counts shed critical requests, and those for which the same
// node served a low request within inversionWindow.
func countInversions(list []Invocation, critical, low graph.Ref) (shed, violations int) {
	served := make(map[string][]time.Time)
	for _, s := range list {
		if s.Operation == low && s.Verdict == verdict.Ran && s.Status == 200 {
			served[s.Node] = append(served[s.Node], s.Sent)
		}
	}
	for _, s := range list {
		if s.Operation != critical || s.Verdict != verdict.NotRun || s.Reason != verdict.Shed {
			continue
		}
		shed++
		for _, at := range served[s.Node] {
			if d := at.Sub(s.Sent); -inversionWindow < d && d < inversionWindow {
				violations++
				break
			}
		}
	}
	return shed, violations
}

// Guards against shedding out of the order of importance at three times the
// capacity, with critical requests below and above the capacity.
func TestProveSheddingOrder(t *testing.T) {
	forecast := graph.Ref{Service: "plumecast", Operation: "forecast"}
	overview := graph.Ref{Service: "plumecast", Operation: "overview"}
	middle := graph.Ref{Service: "plumecast", Operation: "map"}
	for _, c := range []struct {
		name                  string
		critical, normal, low int
	}{
		{"few critical", stationCapacity * 4 / 10, stationCapacity, stationCapacity * 16 / 10},
		{"too many critical", stationCapacity * 15 / 10, stationCapacity / 2, stationCapacity},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := startFleet(t, sheddingOptions())
			ctx, stop := context.WithCancel(t.Context())
			var all sync.WaitGroup
			all.Go(func() { sendAtRate(ctx, f, forecast, c.critical, &all) })
			all.Go(func() { sendAtRate(ctx, f, middle, c.normal, &all) })
			all.Go(func() { sendAtRate(ctx, f, overview, c.low, &all) })
			const warm, measured = 4 * time.Second, 8 * time.Second
			time.Sleep(warm)
			from := time.Now()
			time.Sleep(measured)
			to := time.Now()
			stop()
			all.Wait()
			settleAndCheck(t, f)
			var list []Invocation
			for _, s := range f.History.All() {
				if s.Sent.After(from) && s.Sent.Before(to) {
					list = append(list, s)
				}
			}
			shed, violations := countInversions(list, forecast, overview)
			critical, normal, low := successShare(list, forecast), successShare(list, middle), successShare(list, overview)
			t.Logf("ran: critical %.3f, normal %.3f, low %.3f of those sent; %d critical shed, %d of them while a low one was served",
				critical, normal, low, shed, violations)
			is.True(critical > normal && normal >= low)
			is.True(critical > low+0.2)
			is.True(violations*100 <= c.critical*int(measured/time.Second)) // at most 1 in 100 critical requests
		})
	}
}
