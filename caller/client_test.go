package caller

import (
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/cassialoom/cassialoom/internal/proptest"
	"github.com/cassialoom/cassialoom/once"
	"github.com/cassialoom/cassialoom/verdict"
	"github.com/cassialoom/cassialoom/wire"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// outcome is the simulated outcome of an attempt.
type outcome int

const (
	answered    outcome = iota // runs, the answer arrives
	unreachable                // no connection
	lostBefore                 // sent, never runs, no answer
	lostAfter                  // sent, runs, no answer
	refused                    // "not run", with a Retry-After
	draining                   // "not run", the node is draining
	invalid                    // "not run", a retry can't succeed
	truncated                  // runs, the answer ends early
	outcomes                   // the number of outcomes
)

// fakeNode simulates a node that holds every key that it minted.
type fakeNode struct {
	mu sync.Mutex
	// script holds the outcomes of the next attempts; then all are answered.
	script []outcome
	runs   int
	byKey  map[string]bool
	minted int
	// attempts and hosts hold the time and the address of each attempt.
	attempts []time.Time
	hosts    []string
	ids      map[string]bool
	mint     *once.Mint
	// dead is the holder of keys that has lost its backend server.
	dead wire.NodeID
}

var errBroken = errors.New("connection reset")

func (f *fakeNode) RoundTrip(r *http.Request) (*http.Response, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if strings.HasPrefix(r.URL.Path, "/key/") {
		f.minted++
		if f.mint != nil {
			key := f.mint.Mint(time.Now(), "s", "o")
			return reply(http.StatusOK, fmt.Sprintf(`{"key":%q,"held_ms":60000}`, key), ""), nil
		}
		return reply(http.StatusOK, fmt.Sprintf(`{"key":"cl1.%d","held_ms":60000}`, f.minted), ""), nil
	}
	f.attempts = append(f.attempts, time.Now())
	f.hosts = append(f.hosts, r.URL.Host)
	if info, err := once.ParseKey(keyOf(r)); err == nil && info.Minted && info.Holder == f.dead {
		return reply(http.StatusServiceUnavailable, "no backend", verdict.NoBackend), nil
	}
	f.ids[r.Header.Get(headerRequestID)] = true
	next := answered
	if len(f.script) > 0 {
		next, f.script = f.script[0], f.script[1:]
	}
	if next == unreachable {
		return nil, &net.OpError{Op: "dial", Err: errBroken}
	}
	httptrace.ContextClientTrace(r.Context()).WroteHeaders()
	return f.respond(next, keyOf(r))
}

// keyOf returns the idempotency key, ignoring the case of the header like a server.
func keyOf(r *http.Request) string {
	for name, values := range r.Header {
		if http.CanonicalHeaderKey(name) == headerKey {
			return values[0]
		}
	}
	return ""
}

// respond runs the request, if the outcome includes that, and returns its answer.
func (f *fakeNode) respond(next outcome, key string) (*http.Response, error) {
	switch next {
	case lostBefore:
		return nil, errBroken
	case refused:
		res := reply(http.StatusServiceUnavailable, "busy", verdict.Shed)
		res.Header.Set(headerRetryAfterMs, "200")
		return res, nil
	case draining:
		res := reply(http.StatusServiceUnavailable, "draining", verdict.Draining)
		res.Header.Set(headerRetryAfter, "1")
		return res, nil
	case invalid:
		return reply(http.StatusBadRequest, "bad", verdict.BadRequest), nil
	}
	if key == "" || !f.byKey[key] {
		f.runs++
		f.byKey[key] = true
	}
	if next == lostAfter {
		return nil, errBroken
	}
	res := reply(http.StatusOK, "done", "")
	if next == truncated {
		res.Body = io.NopCloser(io.MultiReader(strings.NewReader("do"), brokenReader{}))
	}
	return res, nil
}

// brokenReader fails as a connection that breaks within a body.
type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

// reply returns an answer; it is a refusal if reason is not empty.
func reply(status int, body string, reason verdict.Reason) *http.Response {
	w := httptest.NewRecorder()
	w.Header().Set(headerVerdict, "ran")
	if reason != "" {
		w.Header().Set(headerVerdict, "not run")
		w.Header().Set(headerReason, string(reason))
	}
	w.WriteHeader(status)
	io.WriteString(w, body)
	return w.Result()
}

func newFakeNode(script ...outcome) *fakeNode {
	return &fakeNode{script: script, byKey: make(map[string]bool), ids: make(map[string]bool)}
}

func newClient(t *testing.T, f *fakeNode) *Client {
	cfg := DefaultConfig()
	cfg.Nodes = []string{"n1:1", "n2:1"}
	cfg.Seed = 7
	cfg.Transport = f
	c, err := New(cfg)
	if err != nil {
		t.Fatal(err)
	}
	return c
}

// doOnce sends one request with a new client and a fake clock.
func doOnce(t *testing.T, f *fakeNode, req Request) (res *Response, err error) {
	synctest.Test(t, func(t *testing.T) {
		c := newClient(t, f)
		defer c.Close()
		res, err = c.Do(t.Context(), req)
	})
	return res, err
}

// Guards against a verdict that is wrong for the attempts together, against a second
// run of a request that isn't idempotent, and against too many attempts.
func TestPropVerdictCoversAllAttempts(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		var script []outcome
		for range DefaultConfig().Attempts + 1 {
			script = append(script, outcome(rapid.IntRange(0, int(outcomes)-1).Draw(rt, "fate")))
		}
		req := Request{Service: "alertdesk", Operation: "issue", Body: []byte("notice")}
		switch rapid.SampledFrom([]string{"plain", "minted", "own", "idempotent"}).Draw(rt, "kind") {
		case "minted":
			req.MintKey = true
		case "own":
			req.Key = "k1"
		case "idempotent":
			req.Idempotent = true
		}
		f := newFakeNode(script...)
		res, err := doOnce(t, f, req)
		if f.runs > 1 && !req.Idempotent {
			rt.Fatalf("ran %d times: %v", f.runs, script)
		}
		if len(f.attempts) > DefaultConfig().Attempts || len(f.ids) != 1 {
			rt.Fatalf("%d attempts, ids %v", len(f.attempts), f.ids)
		}
		if err == nil {
			if string(res.Body) != "done" || f.runs == 0 || res.Attempts != len(f.attempts) {
				rt.Fatalf("answer %+v after %d runs", res, f.runs)
			}
			return
		}
		e := verdict.From(err)
		if e.Verdict == verdict.NotRun && f.runs > 0 {
			rt.Fatalf("verdict not run, ran %d times: %v", f.runs, script)
		}
		if e.Verdict == verdict.Ran && f.runs == 0 {
			rt.Fatalf("verdict ran without a run: %v", script)
		}
	})
}

// Guards against a retry before the Retry-After of the node.
func TestRetryWaitsForRetryAfter(t *testing.T) {
	is := is.New(t)
	f := newFakeNode(refused)
	res, err := doOnce(t, f, Request{Service: "plumecast", Operation: "forecast"})
	is.NoErr(err)
	is.Equal(res.Attempts, 2)
	waited := f.attempts[1].Sub(f.attempts[0])
	is.True(waited >= 200*time.Millisecond && waited <= 300*time.Millisecond)
}

// Guards against an attempt for each held key of a node that has lost its backend
// server: the first refusal must drop them all.
func TestKeysOfUnavailableHolderAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeNode()
		c := newClient(t, f)
		defer c.Close()
		mintOf := func(id wire.NodeID) *once.Mint {
			return once.NewMint(once.DefaultConfig(), id, [once.SecretLen]byte{}, time.Now())
		}
		f.dead = wire.NewNodeID()
		f.mint = mintOf(f.dead)
		_, err := c.Mint(t.Context(), "s", "o")
		is.NoErr(err)
		synctest.Wait()
		f.mint = mintOf(wire.NewNodeID())
		res, err := c.Do(t.Context(), Request{Service: "s", Operation: "o", MintKey: true})
		is.NoErr(err)
		is.Equal(res.Attempts, 2)
		is.Equal(f.runs, 1)
	})
}

// Guards against waiting for a draining node, and against sending more requests to it.
func TestDrainingNodeIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeNode(draining)
		c := newClient(t, f)
		defer c.Close()
		for range 4 {
			_, err := c.Do(t.Context(), Request{Service: "plumecast", Operation: "forecast"})
			is.NoErr(err)
		}
		is.Equal(len(f.hosts), 5)
		is.True(f.attempts[4].Sub(f.attempts[0]) <= 75*time.Millisecond)
		for _, host := range f.hosts[1:] {
			is.True(host != f.hosts[0])
		}
	})
}

// Guards against waiting for a Retry-After that exceeds the deadline: the error must
// be returned at once.
func TestRetryAfterPastDeadlineFailsAtOnce(t *testing.T) {
	is := is.New(t)
	f := newFakeNode(refused, refused)
	_, err := doOnce(t, f, Request{Service: "plumecast", Operation: "forecast", Deadline: 150 * time.Millisecond})
	e := verdict.From(err)
	is.Equal(e.Verdict, verdict.NotRun)
	is.Equal(e.RetryAfter, 200*time.Millisecond)
	is.Equal(len(f.attempts), 1)
}

// Guards against retries that sustain an overload: they must stay a small share of the
// requests.
func TestRetriesAreLimitedToShareOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeNode()
		for range 2000 {
			f.script = append(f.script, refused)
		}
		c := newClient(t, f)
		defer c.Close()
		for range 1000 {
			_, err := c.Do(t.Context(), Request{Service: "s", Operation: "o", Idempotent: true})
			is.True(err != nil)
		}
		cfg := DefaultConfig().Retry
		elapsed := f.attempts[len(f.attempts)-1].Sub(f.attempts[0]).Seconds()
		bound := 1000*cfg.Ratio + cfg.Burst + elapsed*cfg.MinPerSecond + 1
		is.True(len(f.attempts)-1000 <= int(bound))
	})
}

// Guards against a round trip for each key, and against using a key that expires before
// a resend.
func TestKeysArePrefetchedAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFakeNode()
		c := newClient(t, f)
		defer c.Close()
		first, err := c.Mint(t.Context(), "alertdesk", "issue")
		is.NoErr(err)
		synctest.Wait()
		is.Equal(f.minted, 1+c.cfg.PrefetchedKeys)
		second, err := c.Mint(t.Context(), "alertdesk", "issue")
		is.NoErr(err)
		is.True(first != second)
		synctest.Wait()
		before := f.minted
		time.Sleep(time.Minute - c.cfg.KeyMargin)
		late, err := c.Mint(t.Context(), "alertdesk", "issue")
		is.NoErr(err)
		synctest.Wait()
		is.True(f.minted > before)
		var n int
		_, err = fmt.Sscanf(late, "cl1.%d", &n)
		is.NoErr(err)
		is.True(n > before)
	})
}

// Guards against resends by http.Transport, which the limit on attempts doesn't cover,
// when a reused connection breaks.
func TestTransportDoesNotResend(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	received := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		received++
		if received > 1 {
			panic(http.ErrAbortHandler)
		}
	}))
	defer server.Close()
	cfg := DefaultConfig()
	cfg.Nodes = []string{server.Listener.Addr().String()}
	cfg.Attempts = 1
	c, err := New(cfg)
	is.NoErr(err)
	defer c.Close()
	req := Request{Service: "alertdesk", Operation: "issue", Key: "k1"}
	_, err = c.Do(t.Context(), req)
	is.NoErr(err)
	_, err = c.Do(t.Context(), req)
	is.Equal(verdict.From(err).Verdict, verdict.MayHaveRun)
	mu.Lock()
	defer mu.Unlock()
	is.Equal(received, 2)
}
