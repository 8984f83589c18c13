package prove

import (
	"bytes"
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/pause"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/verdict"
)

// crashLimit is the aim: so many backend servers of the whole service.
const crashLimit = 2

// supervisor starts crashed backend servers of a service again, as the
// platform does, and counts them.
type supervisor struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	crashes int
}

const restartAfter = 400 * time.Millisecond

func supervise(t *testing.T, f *Fleet, service string) *supervisor {
	ctx, stop := context.WithCancel(t.Context())
	s := &supervisor{stop: stop}
	for _, i := range f.Of(service) {
		s.done.Go(func() { s.watch(t, ctx, f, i) })
	}
	return s
}

func (s *supervisor) watch(t *testing.T, ctx context.Context, f *Fleet, i *rig.Instance) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-i.Backend.Done():
		}
		s.mu.Lock()
		s.crashes++
		s.mu.Unlock()
		if !pause.For(ctx, restartAfter) {
			return
		}
		if err := f.RestartBackend(i); err != nil {
			t.Error(err)
			return
		}
	}
}

// end returns the number of crashes.
func (s *supervisor) end() int {
	s.stop()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// One request crashes each backend server that runs it. Its caller sends it
// again and again through every node, while other requests are in flight at
// the same backend servers. It takes few backend servers with it before it is
// refused everywhere, also when it comes by way of another service, and the
// others are served on.
func TestProvePoisonRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		entry   graph.Ref
		crashes string // the service that it crashes
	}{
		{"a read", latest, "stationlog"},
		{"a read by way of another service", notices, "stationlog"},
		{"a filing without a key", file, "fieldlog"},
	} {
		t.Run(c.name, func(t *testing.T) { poisonRequest(t, c.entry, c.crashes) })
	}
}

func poisonRequest(t *testing.T, entry graph.Ref, service string) {
	is := is.New(t)
	opts := options()
	opts.Shape.Services[2].Targets = 4 // stationlog
	opts.Shape.Services[2].Time = 30 * time.Millisecond
	f := start(t, opts)
	rng := random(t)
	cfg := patientTraffic(rng.Uint64())
	cfg.Operations = []graph.Ref{latest, notices, file}
	traffic := f.StartTraffic(t.Context(), cfg)
	time.Sleep(time.Second)
	guard := supervise(t, f, service)
	began := time.Now()
	poison := Sending{Action: "poison", Operation: entry}
	refused := 0
	for range 3 {
		for _, i := range f.Instances {
			poison.Number++
			poison.Node = i.CallerAddr
			told := f.SendBody(t.Context(), poison, []byte("action:poison crash:"+service))
			if told.Reason == verdict.PoisonRequest || bytes.Contains(told.Body, []byte(verdict.PoisonRequest)) {
				refused++ // by the node that was asked, or one further down
			}
			time.Sleep(150 * time.Millisecond)
		}
	}
	toldApart := time.Now()
	time.Sleep(3 * time.Second)
	traffic.End()
	crashes := guard.end()
	meanwhile, later := innocents(f, began, toldApart)
	t.Logf("%d sendings of it: %d backend servers crashed, refused as poison %d times; innocents not served while it was sent: %v, afterwards: %v",
		poison.Number, crashes, refused, meanwhile, later)
	is.True(crashes >= 1)
	is.True(crashes <= crashLimit)
	is.True(refused > poison.Number/2)
	is.Equal(len(later), 0)
	judgePoison(t, f)
}

// innocents counts other callers' requests that did not run to their end, by
// what they were told.
func innocents(f *Fleet, began, toldApart time.Time) (meanwhile, later map[string]int) {
	meanwhile, later = make(map[string]int), make(map[string]int)
	for _, s := range f.Record.All() {
		if s.Action == "poison" || s.Sent.Before(began) || s.Verdict == verdict.Ran && s.Status == 200 {
			continue
		}
		told := fmt.Sprintf("%v %s %d", s.Verdict, s.Reason, s.Status)
		if s.Sent.After(toldApart) {
			later[told]++
		} else {
			meanwhile[told]++
		}
	}
	return meanwhile, later
}

// judgePoison asks the oracle about all but the poison request, of which each
// sending is one of its own: its caller sends it again after any answer.
func judgePoison(t *testing.T, f *Fleet) {
	t.Helper()
	is := is.New(t)
	time.Sleep(settle)
	runs, err := f.Runs()
	is.NoErr(err)
	sendings := f.Record.All()
	var others []Run
	for _, r := range runs {
		if r.Action != "poison" {
			others = append(others, r)
		}
	}
	is.NoErr(judgeNotRun(sendings, runs))
	is.NoErr(judgeTwice(f.Graph, sendings, others))
	is.NoErr(judgeAnswers(sendings))
}
