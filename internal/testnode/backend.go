package testnode

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"path"
	"strconv"
	"sync"
	"time"

	"github.com/cassialoom/cassialoom/entry/headers"
	"github.com/cassialoom/cassialoom/local"
	"github.com/cassialoom/cassialoom/wire"
)

// Script is what a backend server does with one request. The context ends when
// its node has given the request up.
type Script func(ctx context.Context, w *Work) Answer

// Work is one request at a backend server.
type Work struct {
	Operation string
	RequestID string
	// Budget is the time that the backend server was told to have.
	Budget time.Duration
	Query  string
	Header http.Header
	Body   []byte

	instance *Instance
}

// Call makes a call to another service through the backend server's own node.
func (w *Work) Call(ctx context.Context, service, operation string, body []byte) (Answer, error) {
	return w.instance.CallAs(ctx, w.Header.Get(headers.Call), service, operation, body)
}

// CallAs makes a call as the backend server for the running call that the
// token names.
func (i *Instance) CallAs(ctx context.Context, token, service, operation string, body []byte) (Answer, error) {
	url := "http://" + i.Local + "/call/" + service + "/" + operation
	return i.cluster.exchange(ctx, url, body, headers.Call, token)
}

// Backend is a scripted backend server.
type Backend struct {
	URL  string
	Boot string

	srv  *server
	mu   sync.Mutex
	runs map[string]int
}

// maxCounted is the longest body that is counted: fuzzers send many others.
const maxCounted = 64

// Runs returns how many requests with the body, of at most 64 bytes, have
// reached the script.
func (b *Backend) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

func (b *Backend) ran(body []byte) {
	if len(body) > maxCounted {
		return
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.runs[string(body)]++
}

func (i *Instance) startBackend(script Script) {
	ln := i.cluster.listen()
	b := &Backend{URL: "http://" + ln.Addr().String(), Boot: wire.NewNodeID().String(), runs: make(map[string]int)}
	b.srv = serve(&http.Server{Handler: http.HandlerFunc(func(rw http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			return // the node has gone away
		}
		b.ran(body)
		answer(rw, script(r.Context(), i.work(r, body)))
	})}, ln)
	i.Backend = b
	i.Announce("ready")
}

func (i *Instance) work(r *http.Request, body []byte) *Work {
	ms, _ := strconv.ParseInt(r.Header.Get(headers.DeadlineMs), 10, 64) // zero if it is missing
	return &Work{
		Operation: path.Base(r.URL.Path),
		RequestID: r.Header.Get(headers.RequestID),
		Budget:    time.Duration(ms) * time.Millisecond,
		Query:     r.URL.RawQuery,
		Header:    r.Header,
		Body:      body,
		instance:  i,
	}
}

func answer(rw http.ResponseWriter, a Answer) {
	for name, values := range a.Header {
		rw.Header()[name] = values
	}
	rw.WriteHeader(a.Status)
	_, _ = rw.Write(a.Body) // the node may have gone away
}

// Announce lets the backend server say its state.
func (i *Instance) Announce(state string) {
	i.cluster.tb.Helper()
	text, err := json.Marshal(local.Announcement{URL: i.Backend.URL, State: state, Boot: i.Backend.Boot})
	if err != nil {
		i.cluster.tb.Fatal(err)
	}
	resp, err := i.cluster.client.Post("http://"+i.Local+"/backend/announce", "application/json", bytes.NewReader(text))
	if err != nil {
		i.cluster.tb.Fatal(err)
	}
	resp.Body.Close()
	if resp.StatusCode != http.StatusNoContent {
		i.cluster.tb.Fatalf("announcement: status %d", resp.StatusCode)
	}
}

// OK is an answer with the body.
func OK(body []byte) Answer { return Answer{Status: http.StatusOK, Body: body} }

// Declined is the answer of a backend server that says it did not begin.
func Declined() Answer {
	h := http.Header{}
	h.Set(headers.Verdict, "not run")
	return Answer{Status: http.StatusServiceUnavailable, Header: h}
}

// Echo answers every request with its own body.
func Echo(_ context.Context, w *Work) Answer { return OK(w.Body) }
