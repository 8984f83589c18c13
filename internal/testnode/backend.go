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

// Script handles one request at a backend server. The context ends when the
// node cancels the request.
type Script func(ctx context.Context, w *Work) Answer

// Work is one request that a backend server received.
type Work struct {
	Operation string
	RequestID string
	// Budget is the remaining deadline that the node sent; 0 if the header is
	// missing.
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

// CallAs makes a call through the node's local listener, as a part of the
// running call that the token identifies.
func (i *Instance) CallAs(ctx context.Context, token, service, operation string, body []byte) (Answer, error) {
	url := "http://" + i.Local + "/call/" + service + "/" + operation
	return i.cluster.post(ctx, url, body, headers.Call, token)
}

// Backend is a backend server that runs a Script.
type Backend struct {
	URL string
	// Boot identifies the backend incarnation.
	Boot string

	srv  *server
	mu   sync.Mutex
	runs map[string]int
}

// maxCountedBytes bounds the memory for counted bodies: fuzzers send many long ones.
const maxCountedBytes = 64

// Runs returns how many requests with this body reached the script. Bodies of
// more than 64 bytes are not counted.
func (b *Backend) Runs(body string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.runs[body]
}

func (b *Backend) countRun(body []byte) {
	if len(body) > maxCountedBytes {
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
			return // the node closed the connection
		}
		b.countRun(body)
		writeAnswer(rw, script(r.Context(), i.newWork(r, body)))
	})}, ln)
	i.Backend = b
	i.Announce("ready")
}

func (i *Instance) newWork(r *http.Request, body []byte) *Work {
	ms, _ := strconv.ParseInt(r.Header.Get(headers.DeadlineMs), 10, 64) // 0 if the header is missing
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

func writeAnswer(rw http.ResponseWriter, a Answer) {
	for name, values := range a.Header {
		rw.Header()[name] = values
	}
	rw.WriteHeader(a.Status)
	_, _ = rw.Write(a.Body) // the node may have closed the connection
}

// Announce sends the state of the backend server to its node, for example
// "ready".
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
		i.cluster.tb.Fatalf("announce backend server: status %d", resp.StatusCode)
	}
}

// OK returns an answer with status 200 and the body.
func OK(body []byte) Answer { return Answer{Status: http.StatusOK, Body: body} }

// Declined returns status 503 with the verdict "not run": the backend server
// refused the request before it began to run.
func Declined() Answer {
	h := http.Header{}
	h.Set(headers.Verdict, "not run")
	return Answer{Status: http.StatusServiceUnavailable, Header: h}
}

// Echo is a Script that answers with the body of the request.
func Echo(_ context.Context, w *Work) Answer { return OK(w.Body) }
