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

const sheddingText = `
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

// stationRate is what the stations' service can do: two backend servers with
// four slots, 20 ms a request.
const stationRate = 400

func sheddingOptions() Options {
	shape := options().Shape
	shape.Services = []rig.ServiceShape{
		{Name: "plumecast", Targets: 3, Slots: 100, Queue: 100, Times: []string{"forecast=2ms", "map=2ms", "overview=2ms"}},
		{Name: "stationlog", Targets: 2, Slots: 4, Queue: 4, Times: []string{"latest=20ms"}},
	}
	return Options{Graph: sheddingText, Shape: shape}
}

// offer sends an operation at a rate through all nodes in turn, whatever
// becomes of the requests.
func offer(ctx context.Context, f *Fleet, ref graph.Ref, perSecond int, all *sync.WaitGroup) {
	nodes := f.CallerAddrs()
	begin := time.Now()
	for n := 0; ; n++ {
		if !pause.For(ctx, time.Until(begin.Add(time.Duration(n)*time.Second/time.Duration(perSecond)))) {
			return
		}
		s := Sending{Action: f.NewAction(), Number: 1, Operation: ref, Node: nodes[n%len(nodes)]}
		all.Go(func() {
			limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), 2*time.Second)
			defer cancel()
			f.Send(limited, s)
		})
	}
}

// shareRan is the share of an operation's requests that were sent in a period
// and ran to their end.
func shareRan(list []Sending, ref graph.Ref) float64 {
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

// sameMoment is the interval within which a shed critical request and a served
// low one are held against each other.
const sameMoment = 50 * time.Millisecond

// outOfOrder counts critical requests that were shed while a low one that was
// sent through the same node within the same moment ran to its end.
func outOfOrder(list []Sending, critical, low graph.Ref) (shed, violations int) {
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
			if d := at.Sub(s.Sent); -sameMoment < d && d < sameMoment {
				violations++
				break
			}
		}
	}
	return shed, violations
}

// Three times the load that the stations' service can bear: first with few
// critical requests, then with more critical ones than it can bear. The first
// are served at the cost of the others; the second leave nothing for the
// others.
func TestProveSheddingOrder(t *testing.T) {
	forecast := graph.Ref{Service: "plumecast", Operation: "forecast"}
	overview := graph.Ref{Service: "plumecast", Operation: "overview"}
	middle := graph.Ref{Service: "plumecast", Operation: "map"}
	for _, c := range []struct {
		name                  string
		critical, normal, low int
	}{
		{"few critical", stationRate * 4 / 10, stationRate, stationRate * 16 / 10},
		{"too many critical", stationRate * 15 / 10, stationRate / 2, stationRate},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			f := start(t, sheddingOptions())
			ctx, stop := context.WithCancel(t.Context())
			var all sync.WaitGroup
			all.Go(func() { offer(ctx, f, forecast, c.critical, &all) })
			all.Go(func() { offer(ctx, f, middle, c.normal, &all) })
			all.Go(func() { offer(ctx, f, overview, c.low, &all) })
			const warm, measured = 4 * time.Second, 8 * time.Second
			time.Sleep(warm)
			from := time.Now()
			time.Sleep(measured)
			to := time.Now()
			stop()
			all.Wait()
			judge(t, f)
			var list []Sending
			for _, s := range f.Record.All() {
				if s.Sent.After(from) && s.Sent.Before(to) {
					list = append(list, s)
				}
			}
			shed, violations := outOfOrder(list, forecast, overview)
			critical, normal, low := shareRan(list, forecast), shareRan(list, middle), shareRan(list, overview)
			t.Logf("ran: critical %.3f, normal %.3f, low %.3f of those sent; %d critical shed, %d of them while a low one was served",
				critical, normal, low, shed, violations)
			is.True(critical > normal && normal >= low)
			is.True(critical > low+0.2)
			is.True(violations*100 <= c.critical*int(measured/time.Second)) // at most one in a hundred critical ones
		})
	}
}
