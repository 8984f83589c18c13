package prove

import (
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/graph"
	"github.com/cassialoom/cassialoom/internal/rig"
	"github.com/cassialoom/cassialoom/verdict"
)

const (
	chainLength = 6
	// chainExtraAttempts is the number of extra attempts that each operation
	// declares. One request may use it once in the whole chain.
	chainExtraAttempts = 3
)

// chainOptions returns a chain of services with one instance each. The last has
// two, whose backend servers run in the test process.
func chainOptions() Options {
	var b strings.Builder
	shape := defaultOptions().Shape
	shape.Services = nil
	for n := 1; n <= chainLength; n++ {
		next := ""
		if n < chainLength {
			next = fmt.Sprintf("calls = [\"s%d.op\"]", n+1)
		}
		fmt.Fprintf(&b, "service \"s%d\" {\n operation \"op\" {\n idempotent = true\n importance = \"high\"\n deadline = \"3s\"\n extra_attempts = %d\n %s\n }\n}\n",
			n, chainExtraAttempts, next)
		shape.Services = append(shape.Services, rig.ServiceShape{Name: fmt.Sprintf("s%d", n), Targets: 1, Slots: 50, Queue: 50, Time: time.Millisecond})
	}
	last := fmt.Sprintf("s%d", chainLength)
	shape.Services[chainLength-1].Targets = 2
	return Options{Graph: b.String(), Shape: shape, InProcess: []string{last}}
}

// abortConnection closes the connection without an answer.
func abortConnection(http.ResponseWriter, *http.Request) { panic(http.ErrAbortHandler) }

func refuse(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set(headers.Verdict, verdict.NotRun.String())
	http.Error(w, "full", http.StatusServiceUnavailable)
}

func fail(w http.ResponseWriter, _ *http.Request) {
	http.Error(w, "broken", http.StatusInternalServerError)
}

func answerPartially(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Length", "100")
	w.Write([]byte("half"))
	panic(http.ErrAbortHandler)
}

func hang(_ http.ResponseWriter, r *http.Request) { <-r.Context().Done() }

// Guards against retries that multiply along a chain of calls when the deepest
// service fails: each service sees a request at most 1+chainExtraAttempts times.
func TestProveRetriesDoNotMultiplyAlongAChain(t *testing.T) {
	f := startFleet(t, chainOptions())
	last := f.Of(fmt.Sprintf("s%d", chainLength))
	for _, c := range []struct {
		name string
		h    http.HandlerFunc
	}{
		{"refuse", refuse}, {"fail", fail}, {"cut off", abortConnection}, {"answer half", answerPartially}, {"hang", hang}, {"gone", abortConnection},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			var played []*InProcessBackend
			for _, i := range last {
				b, err := f.StartBackend(i, c.h)
				is.NoErr(err)
				defer b.Kill()
				played = append(played, b)
			}
			time.Sleep(3 * announceInterval)
			if c.name == "gone" {
				played[0].Kill()
				played[1].Kill()
			}
			ids := sendAll(t, f, 60)
			time.Sleep(settleTime)
			is.NoErr(checkAttempts(t, f, ids, played))
		})
	}
}

// sendAll sends count requests from 6 concurrent callers and returns their
// request IDs.
func sendAll(t *testing.T, f *Fleet, count int) map[string]bool {
	ids := make(map[string]bool)
	var mu sync.Mutex
	var all sync.WaitGroup
	nodes := f.CallerAddrs()
	for k := range 6 {
		all.Go(func() {
			for n := range count / 6 {
				s := Invocation{Action: f.NewAction(), Number: 1, Operation: graph.Ref{Service: "s1", Operation: "op"}}
				s.Node = nodes[(k+n)%len(nodes)]
				f.Send(t.Context(), s)
				mu.Lock()
				ids[s.RequestID()] = true
				mu.Unlock()
			}
		})
	}
	all.Wait()
	return ids
}

func checkAttempts(t *testing.T, f *Fleet, ids map[string]bool, played []*InProcessBackend) error {
	runs, err := f.Runs()
	if err != nil {
		return err
	}
	attempts := make(map[string]map[string]int) // by service and request ID
	note := func(service, id string, n int) {
		if attempts[service] == nil {
			attempts[service] = make(map[string]int)
		}
		if ids[id] {
			attempts[service][id] += n
		}
	}
	for _, r := range runs {
		note(r.Operation.Service, r.RequestID, 1)
	}
	for _, b := range played {
		for id, n := range b.Arrivals() {
			note(fmt.Sprintf("s%d", chainLength), id, n)
		}
	}
	total, most := 0, 0
	for service, counts := range attempts {
		for id, n := range counts {
			total += n
			most = max(most, n)
			if n > 1+chainExtraAttempts {
				err = fmt.Errorf("%s received request %s %d times, want at most %d", service, id, n, 1+chainExtraAttempts)
			}
		}
	}
	t.Logf("%d requests of %d calls: %d attempts, at most %d of one request at one service", len(ids), chainLength, total, most)
	if bound := len(ids) * chainLength * (1 + chainExtraAttempts); total > bound {
		return fmt.Errorf("%d attempts, want at most %d", total, bound)
	}
	return err
}
