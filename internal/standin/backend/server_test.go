package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// fakeNode answers the calls of a backend server in place of a node.
type fakeNode func(r *http.Request) (*http.Response, error)

func (f fakeNode) RoundTrip(r *http.Request) (*http.Response, error) { return f(r) }

func testServer(t *testing.T, change func(*Config)) *Server {
	t.Helper()
	cfg := DefaultConfig()
	cfg.Service = "plumecast"
	cfg.Slots, cfg.Queue = 1, 1
	cfg.Times = []string{"forecast=100ms,constant"}
	if change != nil {
		change(&cfg)
	}
	s, err := New(cfg, func(int) { panic(http.ErrAbortHandler) })
	is.New(t).NoErr(err)
	return s
}

func request(ctx context.Context, body, deadlineMs string) *http.Request {
	r := httptest.NewRequestWithContext(ctx, http.MethodPost, "/forecast", strings.NewReader(body))
	r.Header.Set(HeaderRequestID, "r1")
	r.Header.Set(HeaderDeadline, deadlineMs)
	return r
}

func serve(s *Server, r *http.Request) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, r)
	return w
}

// Guards against an answer to another request that a caller can't recognise, also if it
// is only the answer to one of the calls.
func TestAnswerIsVerifiedThroughWholeChain(t *testing.T) {
	is := is.New(t)
	s := testServer(t, func(c *Config) {
		c.Times = []string{"forecast=0s"}
		c.Calls = []string{"forecast=stationlog.history,fieldlog.recent&fieldlog.notes"}
	})
	s.node.client.Transport = fakeNode(func(r *http.Request) (*http.Response, error) {
		is.Equal(r.Header.Get(HeaderCall), "token")
		parts := strings.Split(r.URL.Path, "/")
		child := testServer(t, func(c *Config) { c.Service = parts[2] })
		sub := request(r.Context(), "", "1000")
		sub.URL.Path = "/" + parts[3]
		sub.Body = r.Body
		return serve(child, sub).Result(), nil
	})
	r := request(t.Context(), "smoke over action:a7", "1000")
	r.Header.Set(HeaderCall, "token")
	w := serve(s, r)
	is.Equal(w.Code, http.StatusOK)
	var a Answer
	is.NoErr(json.Unmarshal(w.Body.Bytes(), &a))
	is.NoErr(a.Verify("plumecast", "forecast", "r1", []byte("smoke over action:a7")))
	is.Equal(a.Calls(), 4)
	is.Equal(a.Children[2].Operation, "notes")
	is.Equal(s.Summary().ByAction["a7"], 1)
	a.Children[1].BodySHA256 = hashBody([]byte("another"))
	is.True(a.Verify("plumecast", "forecast", "r1", []byte("smoke over action:a7")) != nil)
}

// Guards against calls for a request that has failed already, and against a false
// "not run".
func TestFailedCallStopsFurtherCalls(t *testing.T) {
	is := is.New(t)
	s := testServer(t, func(c *Config) {
		c.Times = []string{"forecast=0s"}
		c.Calls = []string{"forecast=stationlog.history,fieldlog.recent"}
	})
	var called []string
	s.node.client.Transport = fakeNode(func(r *http.Request) (*http.Response, error) {
		called = append(called, r.URL.Path)
		w := httptest.NewRecorder()
		w.Header().Set(HeaderVerdict, "not run")
		w.WriteHeader(http.StatusServiceUnavailable)
		return w.Result(), nil
	})
	w := serve(s, request(t.Context(), "x", "1000"))
	is.Equal(w.Code, http.StatusBadGateway)
	is.Equal(w.Header().Get(HeaderVerdict), "")
	is.Equal(called, []string{"/call/stationlog/history"})
	is.Equal(s.Executions()[0].Outcome, ChildFailed)
}

// Guards against refused requests that run. With one slot and a queue of one the second
// request expires in the queue and the third is shed.
func TestQueueAndShedding(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := testServer(t, func(c *Config) { c.Shed = true })
		codes := make(chan int, 2)
		go func() { codes <- serve(s, request(t.Context(), "1", "1000")).Code }()
		synctest.Wait()
		go func() { codes <- serve(s, request(t.Context(), "2", "50")).Code }()
		synctest.Wait()
		w := serve(s, request(t.Context(), "3", "1000"))
		is.Equal(w.Code, http.StatusServiceUnavailable)
		is.Equal(w.Header().Get(HeaderVerdict), "not run")
		is.Equal(<-codes, http.StatusServiceUnavailable)
		is.Equal(<-codes, http.StatusOK)
		sum := s.Summary()
		is.Equal(sum.Total, 1)
		is.Equal(sum.Unbegun, 2)
		is.Equal(s.Executions()[0].Slot, 100*time.Millisecond)
	})
}

// Guards against a slot that stays in use after its caller has gone away.
func TestCancellationFreesTheSlot(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := testServer(t, nil)
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		go serve(s, request(ctx, "1", "1000"))
		synctest.Wait()
		next := make(chan int)
		go func() { next <- serve(s, request(t.Context(), "2", "1000")).Code }()
		time.Sleep(30 * time.Millisecond)
		cancel()
		is.Equal(<-next, http.StatusOK)
		is.Equal(time.Since(start), 130*time.Millisecond)
		is.Equal(s.Executions()[0].Outcome, Canceled)
		inUse, waiting := s.slots.usage()
		is.Equal(inUse+waiting, 0)
	})
}

// Guards against a wrong service time in a cold start and against controls of /load
// without effect.
func TestControlAndColdStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := testServer(t, func(c *Config) { c.ColdFor, c.ColdFactor = time.Second, 5 })
		is.Equal(s.serviceTimer.draw(time.Now(), "forecast"), 500*time.Millisecond)
		time.Sleep(time.Second)
		is.Equal(s.serviceTimer.draw(time.Now(), "forecast"), 100*time.Millisecond)
		control := func(text string) int {
			r := httptest.NewRequest(http.MethodPost, "/control", strings.NewReader(text))
			return serve(s, r).Code
		}
		is.Equal(control(`{"slow_factor":20,"load":"stuck-full"}`), http.StatusNoContent)
		is.Equal(s.serviceTimer.draw(time.Now(), "forecast"), 2*time.Second)
		is.Equal(s.load.report(time.Now(), s.currentLoad()).Load, 1.0)
		is.Equal(control(`{"load":"true","load_lag_ms":200,"slow_factor":1}`), http.StatusNoContent)
		go serve(s, request(t.Context(), "1", "1000"))
		time.Sleep(90 * time.Millisecond)
		is.Equal(s.load.report(time.Now(), s.currentLoad()).Load, 0.0)
		time.Sleep(120 * time.Millisecond)
		is.Equal(s.load.report(time.Now(), s.currentLoad()).Load, 1.0)
		is.Equal(control(`{"load":"sometimes"}`), http.StatusBadRequest)
		is.Equal(control(`{"slow":1}`), http.StatusBadRequest)
	})
}

// Guards against invalid settings that are accepted.
func TestSettingsAreChecked(t *testing.T) {
	is := is.New(t)
	for _, change := range []func(*Config){
		func(c *Config) { c.Slots = 0 },
		func(c *Config) { c.Calls = []string{"forecast=stationlog"} },
		func(c *Config) { c.Times = []string{"forecast=5ms,pareto"} },
	} {
		cfg := DefaultConfig()
		change(&cfg)
		_, err := New(cfg, nil)
		is.True(err != nil)
		is.True(strings.Contains(err.Error(), "setting --"))
	}
}

// Guards against a journal that lacks requests from before a crash, or that the next
// incarnation overwrites.
func TestJournalIsCompleteAfterCrash(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "journal")
	for range 2 {
		status := 0
		s := testServer(t, func(c *Config) { c.Journal, c.Times = path, []string{"forecast=0s"} })
		s.exit = func(code int) { status = code }
		serve(s, request(t.Context(), "action:a1", "1000"))
		serve(s, request(t.Context(), "action:a2 crash:plumecast", "1000"))
		is.Equal(status, CrashStatus)
	}
	list, err := ReadJournal(path)
	is.NoErr(err)
	is.Equal(len(list), 4)
	is.Equal(list[3].Action, "a2")
}
