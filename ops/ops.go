// Package ops is the operators' HTTP interface of a node: health, readiness,
// the dump of its state, its counters, and the planned stop. It has an address
// of its own, so that callers can be kept away from it.
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

// Node is what the interface asks of the node. It must be safe for concurrent
// use.
type Node interface {
	// Ready reports whether the node serves its callers, and why not.
	Ready() (ok bool, why string)
	// State is the dump: a typed struct with the state of every slice.
	State() any
	Version() Version
	Members() []membership.Record
	Explain(requestID string) []explain.Event
	// Sync brings the counters up to date that the node's slices keep.
	Sync()
	// Gauges are the sizes and ages of the moment.
	Gauges() []Gauge
	// Drain starts the planned stop and returns at once.
	Drain()
}

// Version says which configuration is in force at one node.
type Version struct {
	Node       wire.NodeID `json:"node"`
	Service    string      `json:"service"`
	DataCentre string      `json:"data_centre"`
	// Version is the offset of the newest accepted publication; zero before
	// the first.
	Version uint64 `json:"version"`
	// AsOf is the offset in the log up to which the node knows.
	AsOf uint64 `json:"as_of"`
	// AgeMs is the time since the node last heard that this is the newest.
	AgeMs int64 `json:"age_ms"`
}

// Readiness is the answer of /readyz.
type Readiness struct {
	Ready bool   `json:"ready"`
	Why   string `json:"why,omitempty"`
}

// Draining is the answer of /drain.
type Draining struct {
	Draining bool `json:"draining"`
}

// failure is the answer to a request that is wrong.
type failure struct {
	Error string `json:"error"`
}

// Config bounds the operators' connections.
type Config struct {
	// HeaderTimeout is how long the head of a request may take to arrive.
	HeaderTimeout time.Duration
	// WriteTimeout is how long an answer may take, its making included.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
}

// DefaultConfig returns the timeouts of a node.
func DefaultConfig() Config {
	return Config{
		HeaderTimeout: 5 * time.Second,  // one packet in practice
		WriteTimeout:  30 * time.Second, // a dump over a slow line
		IdleTimeout:   time.Minute,      // operators come rarely
	}
}

// NewServer returns a server with the timeouts of cfg. No request has a body,
// so the whole of it may be bound by the head's timeout.
func NewServer(cfg Config, h http.Handler) *http.Server {
	return &http.Server{
		Handler:           h,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		ReadTimeout:       cfg.HeaderTimeout,
		WriteTimeout:      cfg.WriteTimeout,
		IdleTimeout:       cfg.IdleTimeout,
	}
}

// New returns the interface:
//
//	GET  /healthz /readyz /version /members /state /explain/{id} /debug/vars /metrics
//	POST /drain
func New(n Node, c *Counters) http.Handler {
	r := mux.NewRouter().SkipClean(true)
	get := func(path string, answer func(*http.Request) (int, any)) {
		r.HandleFunc(path, serve(answer)).Methods(http.MethodGet, http.MethodHead)
	}
	get("/healthz", func(*http.Request) (int, any) { return http.StatusOK, Readiness{Ready: true} })
	get("/readyz", func(*http.Request) (int, any) { return readiness(n) })
	get("/version", func(*http.Request) (int, any) { return http.StatusOK, n.Version() })
	get("/members", func(*http.Request) (int, any) { return http.StatusOK, notNil(n.Members()) })
	get("/state", func(*http.Request) (int, any) { return http.StatusOK, n.State() })
	get("/explain/{id}", func(req *http.Request) (int, any) {
		return http.StatusOK, notNil(n.Explain(mux.Vars(req)["id"]))
	})
	get("/debug/vars", func(*http.Request) (int, any) {
		n.Sync()
		return http.StatusOK, vars(c)
	})
	r.HandleFunc("/metrics", metrics(n, c)).Methods(http.MethodGet, http.MethodHead)
	r.HandleFunc("/drain", serve(func(*http.Request) (int, any) {
		n.Drain()
		return http.StatusAccepted, Draining{Draining: true}
	})).Methods(http.MethodPost)
	r.NotFoundHandler = serve(fail(http.StatusNotFound, "no such path"))
	r.MethodNotAllowedHandler = serve(fail(http.StatusMethodNotAllowed, "this method is not allowed here"))
	return r
}

func fail(status int, text string) func(*http.Request) (int, any) {
	return func(*http.Request) (int, any) { return status, failure{Error: text} }
}

func readiness(n Node) (int, any) {
	ok, why := n.Ready()
	if !ok {
		return http.StatusServiceUnavailable, Readiness{Why: why}
	}
	return http.StatusOK, Readiness{Ready: true}
}

// notNil makes an empty list appear as [] and not as null.
func notNil[T any](list []T) []T {
	if list == nil {
		return []T{}
	}
	return list
}

func serve(answer func(*http.Request) (int, any)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		status, v := answer(r)
		body, err := json.MarshalIndent(v, "", "  ")
		if err != nil {
			status, body = http.StatusInternalServerError, []byte(`{"error":"the answer cannot be encoded"}`)
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		w.Write(append(body, '\n')) // an operator who went away needs no answer
	}
}

// vars gathers what expvar publishes for the process and this node's counters.
// The counters are not published in expvar's global table: it refuses a second
// node in one process.
func vars(c *Counters) map[string]json.RawMessage {
	all := make(map[string]json.RawMessage)
	expvar.Do(func(kv expvar.KeyValue) { all[kv.Key] = json.RawMessage(kv.Value.String()) })
	all["cassialoom"] = json.RawMessage(c.String())
	return all
}
