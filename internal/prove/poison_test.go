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

// maxCrashes is the permitted number of crashes in the whole service.
const maxCrashes = 2

// supervisor restarts crashed backend servers of a service, as the platform
// does, and counts the crashes.
type supervisor struct {
	stop context.CancelFunc
	done sync.WaitGroup

	mu      sync.Mutex
	crashes int
}

const restartDelay = 400 * time.Millisecond

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
		if !pause.For(ctx, restartDelay) {
			return
		}
		if err := f.RestartBackend(i); err != nil {
			t.Error(err)
			return
		}
	}
}

// end stops the supervisor and returns the number of crashes.
func (s *supervisor) end() int {
	s.stop()
	s.done.Wait()
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashes
}

// Guards against a request that crashes one backend server after the other when
// it is resent through every node, directly or through another service.
func TestProvePoisonRequest(t *testing.T) {
	for _, c := range []struct {
		name    string
		entry   graph.Ref
		crashes string // the service whose backend servers crash
	}{
		{"a read", latestOp, "stationlog"},
		{"a read by way of another service", noticesOp, "stationlog"},
		{"a filing without a key", fileOp, "fieldlog"},
	} {
		t.Run(c.name, func(t *testing.T) { poisonRequest(t, c.entry, c.crashes) })
	}
}

func poisonRequest(t *testing.T, entry graph.Ref, service string) {
	is := is.New(t)
	opts := defaultOptions()
	opts.Shape.Services[2].Targets = 4 // stationlog
	opts.Shape.Services[2].Time = 30 * time.Millisecond
	f := startFleet(t, opts)
	rng := newRand(t)
	cfg := longTimeoutTraffic(rng.Uint64())
	cfg.Operations = []graph.Ref{latestOp, noticesOp, fileOp}
	traffic := f.StartTraffic(t.Context(), cfg)
	time.Sleep(time.Second)
	guard := supervise(t, f, service)
	began := time.Now()
	poison := Invocation{Action: "poison", Operation: entry}
	refused := 0
	for range 3 {
		for _, i := range f.Instances {
			poison.Number++
			poison.Node = i.CallerAddr
			result := f.SendBody(t.Context(), poison, []byte("action:poison crash:"+service))
			if result.Reason == verdict.PoisonRequest || bytes.Contains(result.Body, []byte(verdict.PoisonRequest)) {
				refused++ // by the receiving node or by one further down
			}
			time.Sleep(150 * time.Millisecond)
		}
	}
	quarantinedAt := time.Now()
	time.Sleep(3 * time.Second)
	traffic.End()
	crashes := guard.end()
	meanwhile, later := otherFailures(f, began, quarantinedAt)
	t.Logf("%d invocations: %d backend servers crashed, refused as poison %d times; failures of other requests meanwhile: %v, afterwards: %v",
		poison.Number, crashes, refused, meanwhile, later)
	is.True(crashes >= 1)
	is.True(crashes <= maxCrashes)
	is.True(refused > poison.Number/2)
	is.Equal(len(later), 0)
	checkPoisonHistory(t, f)
}

// otherFailures counts the failed requests of other callers, before and after
// quarantinedAt, by verdict, reason and status.
func otherFailures(f *Fleet, began, quarantinedAt time.Time) (meanwhile, later map[string]int) {
	meanwhile, later = make(map[string]int), make(map[string]int)
	for _, s := range f.History.All() {
		if s.Action == "poison" || s.Sent.Before(began) || s.Verdict == verdict.Ran && s.Status == 200 {
			continue
		}
		result := fmt.Sprintf("%v %s %d", s.Verdict, s.Reason, s.Status)
		if s.Sent.After(quarantinedAt) {
			later[result]++
		} else {
			meanwhile[result]++
		}
	}
	return meanwhile, later
}

// checkPoisonHistory checks the history without the at-most-once rule for the
// poison request, which its caller resends after any answer.
func checkPoisonHistory(t *testing.T, f *Fleet) {
	t.Helper()
	is := is.New(t)
	time.Sleep(settleTime)
	runs, err := f.Runs()
	is.NoErr(err)
	invocations := f.History.All()
	var others []Run
	for _, r := range runs {
		if r.Action != "poison" {
			others = append(others, r)
		}
	}
	is.NoErr(checkNotRun(invocations, runs))
	is.NoErr(checkAtMostOnce(f.Graph, invocations, others))
	is.NoErr(checkAnswers(invocations))
}
