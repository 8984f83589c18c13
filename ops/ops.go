// Package ops is the operators' HTTP interface of a node: health, readiness,
// state, counters, metrics and the planned stop. It has its own address, so that
// a firewall can keep callers away from it.
package ops

import (
	"encoding/json"
	"expvar"
	"net/http"
	"time"

	"github.com/gorilla/mux"

	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/membership"
	"github.com/cassialoom/cassialoom/wire"
)

// Node is the node that the interface serves. It must be safe for concurrent use.
type Node interface {
	// Ready reports whether the node serves callers, and if not, why.
	Ready() (ok bool, why string)
	// State returns the state of all components as a struct to encode as JSON.
	State() any
	// Version returns the configuration in force.
	Version() Version
	// Members returns the known nodes.
	Members() []membership.Record
	// Explain returns the recorded decisions about a request, oldest first.
	Explain(requestID string) []explain.Event
	// Sync updates the counters that the node's components keep themselves.
	Sync()
	// Gauges returns the current values of all gauges.
	Gauges() []Gauge
	// Drain starts the planned stop and returns at once.
	Drain()
}

// Version describes the configuration in force at a node.
type Version struct {
	Node       wire.NodeID `json:"node"`
	Service    string      `json:"service"`
	DataCentre string      `json:"data_centre"`
	// Version is the offset of the newest accepted publication; zero before
	// the first.
	Version uint64 `json:"version"`
	// AsOf is the log offset up to which the node has read.
	AsOf uint64 `json:"as_of"`
	// AgeMs is the time in milliseconds since the node last learned that this
	// configuration is the newest.
	AgeMs int64 `json:"age_ms"`
}

// Readiness is the answer of /readyz.
type Readiness struct {
	Ready bool `json:"ready"`
	// Reason is the reason why the node is not ready.
	Reason string `json:"why,omitempty"`
}

// Draining is the answer of /drain.
type Draining struct {
	Draining bool `json:"draining"`
}

// errorResponse is the answer to a request that is not valid.
type errorResponse struct {
	Error string `json:"error"`
}

// Config holds the timeouts of operators' connections.
type Config struct {
	// HeaderTimeout limits reading a request.
	HeaderTimeout time.Duration
	// WriteTimeout limits producing and writing an answer.
	WriteTimeout time.Duration
	// IdleTimeout limits how long an idle connection stays open.
	IdleTimeout time.Duration
}

// DefaultConfig returns the timeouts of a node.
func DefaultConfig() Config {
	return Config{
		HeaderTimeout: 5 * time.Second,
		WriteTimeout:  30 * time.Second, // the whole state over a slow connection
		IdleTimeout:   time.Minute,
	}
}

// NewServer returns a server with the timeouts of cfg. HeaderTimeout limits whole
// requests, since none has a body.
func NewServer(cfg Config, h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		ReadTimeout:       cfg.HeaderTimeout,
		WriteTimeout:      cfg.WriteTimeout,
		IdleTimeout:       cfg.IdleTimeout,
	}
}

// New returns a handler for these paths:
//
//	GET  /healthz /readyz /version /members /state /explain/{id} /debug/vars /metrics
//	POST /drain
func New(n Node, c *Counters) http.Handler {
	r := mux.NewRouter().SkipClean(true)
	get := func(path string, answer func(*http.Request) (int, any)) {
		r.HandleFunc(path, jsonHandler(answer)).Methods(http.MethodGet, http.MethodHead)
	}
	get("/healthz", func(*http.Request) (int, any) { return http.StatusOK, Readiness{Ready: true} })
	get("/readyz", func(*http.Request) (int, any) { return readiness(n) })
	get("/version", func(*http.Request) (int, any) { return http.StatusOK, n.Version() })
	get("/members", func(*http.Request) (int, any) { return http.StatusOK, nonNilList(n.Members()) })
	get("/state", func(*http.Request) (int, any) { return http.StatusOK, n.State() })
	get("/explain/{id}", func(req *http.Request) (int, any) {
		return http.StatusOK, nonNilList(n.Explain(mux.Vars(req)["id"]))
	})
	get("/debug/vars", func(*http.Request) (int, any) {
		n.Sync()
		return http.StatusOK, expvars(c)
	})
	r.HandleFunc("/metrics", metrics(n, c)).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/drain", jsonHandler(func(*http.Request) (int, any) {
		n.Drain()
		return http.StatusAccepted, Draining{Draining: true}
	})).Methods(http.MethodPost)
	r.NotFoundHandler = jsonHandler(errorAnswer(http.StatusNotFound, "no such path"))
	r.MethodNotAllowedHandler = jsonHandler(errorAnswer(http.StatusMethodNotAllowed, "this method is not allowed here"))
	return r
}

// errorAnswer returns a handler function that answers with an error.
func errorAnswer(status int, text string) func(*http.Request) (int, any) {
	return func(*http.Request) (int, any) { return status, errorResponse{Error: text} }
}

func readiness(n Node) (int, any) {
	ok, why := n.Ready()
	if !ok {
		return http.StatusServiceUnavailable, Readiness{Reason: why}
	}
	return http.StatusOK, Readiness{Ready: true}
}

// nonNilList makes a nil list encode as [] instead of null.
func nonNilList[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

// jsonHandler returns a handler that writes the status and the JSON value of answer.
func jsonHandler(answer func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status, v := answer(r)
		body, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			status, body = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be encoded"}`)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(append(body, '\n')) // an error means that the client has disconnected
	}
}

// expvars returns the process's expvar variables and the node's counters. The
// counters are not published by expvar, whose names are global, because a process
// may run several nodes.
func expvars(c *Counters) map[string]json.RawMessage {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	all["cassialoom"] = json.RawMessage(c.String())
	return all
}
