// Package logserver is a stand-in for the platform's log service over HTTP, for tests
// and demonstrations, with control endpoints that inject faults.
//
//	POST /streams/{stream}/records              body = record -> {"offset": 7}
//	GET  /streams/{stream}/records?from=0&max=100 -> a applog.Page in JSON
//	POST /control/outage?for=10s                answer 503
//	POST /control/lose-answers?n=3              write, then drop the connection
//	POST /control/delay-appends?n=3&by=2s       drop the connection, write later
//	POST /control/slow?by=500ms                 wait before each request
package logserver

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"

	"github.com/cassialoom/cassialoom/applog"
	"github.com/cassialoom/cassialoom/internal/fakelog"
)

// Config is the configuration of the stand-in.
type Config struct {
	// Retention is the time for which a record is kept.
	Retention time.Duration
	// MaxRecords is the largest number of records in a stream; it bounds memory.
	MaxRecords int
	// AppendsPerSecond is the largest rate of appends to all streams together.
	AppendsPerSecond int
	// MaxRecordBytes is the largest size of a record.
	MaxRecordBytes int64
	// MaxPageBytes bounds the size of a page, and so the memory of a reader.
	MaxPageBytes int
}

// DefaultConfig returns limits like those of the platform.
func DefaultConfig() Config {
	return Config{
		Retention:        time.Hour,
		MaxRecords:       100_000,
		AppendsPerSecond: 500,
		MaxRecordBytes:   4 << 20,
		MaxPageBytes:     1 << 20,
	}
}

const (
	streamPattern  = "[A-Za-z0-9._-]+"
	defaultRecords = 100
	maxRecords     = 1000
)

// Server is the stand-in log service. Its handler is safe for concurrent use.
type Server struct {
	cfg        Config
	clock      func() time.Time
	log        *fakelog.Log
	delayNanos atomic.Int64
}

// New returns a log server without records that takes the time from clock.
func New(cfg Config, clock func() time.Time) *Server {
	log := fakelog.New(fakelog.Config{
		Retention:        cfg.Retention,
		MaxRecords:       cfg.MaxRecords,
		AppendsPerSecond: cfg.AppendsPerSecond,
		MaxPageBytes:     cfg.MaxPageBytes,
	}, clock)
	return &Server{cfg: cfg, clock: clock, log: log}
}

// Log returns the log, so that tests can inject faults without the control endpoints.
func (s *Server) Log() *fakelog.Log { return s.log }

// Handler returns the handler for the log and the control endpoints.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	records := r.Path("/streams/{stream:" + streamPattern + "}/records").Subrouter()
	records.Methods(http.MethodPost).HandlerFunc(s.append)
	records.Methods(http.MethodGet).HandlerFunc(s.read)
	control := r.PathPrefix("/control").Methods(http.MethodPost).Subrouter()
	control.HandleFunc("/outage", s.controlOutage)
	control.HandleFunc("/lose-answers", s.controlLoseAnswers)
	control.HandleFunc("/delay-appends", s.controlDelayAppends)
	control.HandleFunc("/slow", s.controlSlow)
	return r
}

// delay delays a request before it takes effect. It ignores cancellation, since a slow
// log also writes records whose writer has stopped waiting.
func (s *Server) delay() { time.Sleep(time.Duration(s.delayNanos.Load())) }

func (s *Server) append(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(http.MaxBytesReader(w, r.Body, s.cfg.MaxRecordBytes))
	if err != nil {
		http.Error(w, fmt.Sprintf("record: %v", err), http.StatusRequestEntityTooLarge)
		return
	}
	s.delay()
	offset, err := s.log.Append(withoutCancel(r), mux.Vars(r)["stream"], data)
	if err != nil {
		failAppend(w, err)
		return
	}
	writeJSON(w, struct {
		Offset uint64 `json:"offset"`
	}{offset})
}

func failAppend(w http.ResponseWriter, err error) {
	if errors.Is(err, applog.ErrNotWritten) {
		http.Error(w, err.Error(), http.StatusTooManyRequests)
		return
	}
	if errors.Is(err, fakelog.ErrOutage) {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	// Close the connection without an answer.
	panic(http.ErrAbortHandler)
}

func (s *Server) read(w http.ResponseWriter, r *http.Request) {
	s.delay()
	from, err := uintParam(r, "from", 0)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	limit, err := uintParam(r, "max", defaultRecords)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	page, err := s.log.Read(r.Context(), mux.Vars(r)["stream"], from, int(min(limit, maxRecords)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	writeJSON(w, page)
}

func uintParam(r *http.Request, name string, fallback uint64) (uint64, error) {
	text := r.URL.Query().Get(name)
	if text == "" {
		return fallback, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, fmt.Errorf("parameter %s: %w", name, err)
	}
	return n, nil
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// Writing fails only if the client has gone away.
	_ = json.NewEncoder(w).Encode(v)
}
