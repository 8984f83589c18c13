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

// fate is what befalls one attempt.
type fate int

const (
	answered    fate = iota // runs, the answer arrives
	unreachable             // no connection
	lostBefore              // sent, never runs, no answer
	lostAfter               // sent, runs, no answer
	refused                 // "not run", come back later
	leaves                  // "not run", the node is leaving
	invalid                 // "not run", and no resend can help
	cut                     // runs, the answer ends early
	fates
)

// fakeNode runs requests like a node that holds every key it minted.
type fakeNode struct {
	mu     sync.Mutex
	script []fate
	runs   int
	byKey  map[string]bool
	minted int
	seen   []time.Time
	hosts  []string
	ids    map[string]bool
	mint   *once.Mint
	dead   wire.NodeID
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
	f.seen = append(f.seen, time.Now())
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
	return f.meet(next, keyOf(r))
}

// keyOf reads the header as a server would: in whatever case it was sent.
func keyOf(r *http.Request) string {
	for name, values := range r.Header {
		if http.CanonicalHeaderKey(name) == headerKey {
			return values[0]
		}
	}
	return ""
}

func (f *fakeNode) meet(next fate, key string) (*http.Response, error) {
	switch next {
	case lostBefore:
		return nil, errBroken
	case refused:
		res := reply(http.StatusServiceUnavailable, "busy", verdict.Shed)
		res.Header.Set(headerRetryAfterMs, "200")
		return res, nil
	case leaves:
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
	if next == cut {
		res.Body = io.NopCloser(io.MultiReader(strings.NewReader("do"), brokenReader{}))
	}
	return res, nil
}

type brokenReader struct{}

func (brokenReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }

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

func newFake(script ...fate) *fakeNode {
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

func one(t *testing.T, f *fakeNode, req Request) (res *Response, err error) {
	synctest.Test(t, func(t *testing.T) {
		c := newClient(t, f)
		defer c.Close()
		res, err = c.Do(t.Context(), req)
	})
	return res, err
}

// Whatever befalls the attempts, the verdict is true of all of them together,
// an action that must not run twice does not, and attempts are bounded. The
// oracle counts what ran.
func TestPropVerdictIsTrueOfAllAttempts(t *testing.T) {
	proptest.Check(t, func(rt *rapid.T) {
		var script []fate
		for range DefaultConfig().Attempts + 1 {
			script = append(script, fate(rapid.IntRange(0, int(fates)-1).Draw(rt, "fate")))
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
		f := newFake(script...)
		res, err := one(t, f, req)
		if f.runs > 1 && !req.Idempotent {
			rt.Fatalf("ran %d times: %v", f.runs, script)
		}
		if len(f.seen) > DefaultConfig().Attempts || len(f.ids) != 1 {
			rt.Fatalf("%d attempts, ids %v", len(f.seen), f.ids)
		}
		if err == nil {
			if string(res.Body) != "done" || f.runs == 0 || res.Attempts != len(f.seen) {
				rt.Fatalf("answer %+v after %d runs", res, f.runs)
			}
			return
		}
		e := verdict.From(err)
		if e.Verdict == verdict.NotRun && f.runs > 0 {
			rt.Fatalf("said not run, ran %d times: %v", f.runs, script)
		}
		if e.Verdict == verdict.Ran && f.runs == 0 {
			rt.Fatalf("said ran: %v", script)
		}
	})
}

// The caller gets its answer after a refusal, and not before the node asked
// it to come back.
func TestRetryAfterIsHeeded(t *testing.T) {
	is := is.New(t)
	f := newFake(refused)
	res, err := one(t, f, Request{Service: "plumecast", Operation: "forecast"})
	is.NoErr(err)
	is.Equal(res.Attempts, 2)
	waited := f.seen[1].Sub(f.seen[0])
	is.True(waited >= 200*time.Millisecond && waited <= 300*time.Millisecond)
}

// The node that all keys fetched ahead name loses its backend server and
// refuses them. One refusal is enough to send the request under a key of
// another node; the other keys must not cost an attempt each.
func TestKeysOfADeadHolderAreDropped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake()
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

// The node that the caller knows is leaving: the request goes on to another at
// once, and so do the next ones.
func TestLeavingNodeIsLeft(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake(leaves)
		c := newClient(t, f)
		defer c.Close()
		for range 4 {
			_, err := c.Do(t.Context(), Request{Service: "plumecast", Operation: "forecast"})
			is.NoErr(err)
		}
		is.Equal(len(f.hosts), 5)
		is.True(f.seen[4].Sub(f.seen[0]) <= 75*time.Millisecond)
		for _, host := range f.hosts[1:] {
			is.True(host != f.hosts[0])
		}
	})
}

// The time proposed lies past the deadline: the error comes at once, with
// that time in it, and not when the deadline has passed.
func TestHopelessWaitIsNotBegun(t *testing.T) {
	is := is.New(t)
	f := newFake(refused, refused)
	_, err := one(t, f, Request{Service: "plumecast", Operation: "forecast", Deadline: 150 * time.Millisecond})
	e := verdict.From(err)
	is.Equal(e.Verdict, verdict.NotRun)
	is.Equal(e.RetryAfter, 200*time.Millisecond)
	is.Equal(len(f.seen), 1)
}

// Many requests fail in a row: resends stay a small share of them, so that
// callers do not keep an overload going.
func TestResendsAreAShareOfRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake()
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
		elapsed := f.seen[len(f.seen)-1].Sub(f.seen[0]).Seconds()
		bound := 1000*cfg.Ratio + cfg.Burst + elapsed*cfg.MinPerSecond + 1
		is.True(len(f.seen)-1000 <= int(bound))
	})
}

// Keys are there before they are needed, and one that is about to expire is
// not used: its resend would be refused.
func TestKeysAreFetchedAheadAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newFake()
		c := newClient(t, f)
		defer c.Close()
		first, err := c.Mint(t.Context(), "alertdesk", "issue")
		is.NoErr(err)
		synctest.Wait()
		is.Equal(f.minted, 1+c.cfg.Keys)
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

// A node takes a request with a key and breaks the connection, which was used
// before. net/http would send such a request again by itself, past the bound
// on attempts; the client makes the one attempt that it counts.
func TestTransportMakesNoAttemptsOfItsOwn(t *testing.T) {
	is := is.New(t)
	var mu sync.Mutex
	taken := 0
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		mu.Lock()
		defer mu.Unlock()
		taken++
		if taken > 1 {
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
	is.Equal(taken, 2)
}
