package backend

import (
	"context"
	"crypto/rand"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/gorilla/mux"
)

// CrashStatus is the exit status of a crash.
const CrashStatus = 3

// Server is one stand-in backend server. It is safe for concurrent use.
type Server struct {
	cfg          Config
	boot         string
	plans        map[string]plan
	slots        *slots
	serviceTimer *serviceTimer
	load         *loadReport
	executions   *executionLog
	node         *nodeClient
	exit         func(status int)
	// journal may be nil.
	journal *journal

	failEvery    atomic.Int64
	cutEvery     atomic.Int64
	requestCount atomic.Int64
	draining     atomic.Bool
}

// New returns a server. It calls exit with CrashStatus for a crash; a process passes
// os.Exit.
func New(cfg Config, exit func(status int)) (*Server, error) {
	if err := cfg.Check(); err != nil {
		return nil, err
	}
	plans, err := parseCalls(cfg.Calls)
	if err != nil {
		return nil, err
	}
	times, err := parseTimes(cfg.Times)
	if err != nil {
		return nil, err
	}
	j, err := openJournal(cfg.Journal)
	if err != nil {
		return nil, fmt.Errorf("setting --journal: value %s: %w", cfg.Journal, err)
	}
	if cfg.CrashMarker == "" {
		cfg.CrashMarker = "crash:" + cfg.Service
	}
	maxWaiting := cfg.Queue
	if !cfg.Shed {
		maxWaiting = MaxWaiting
	}
	return &Server{
		cfg:          cfg,
		boot:         rand.Text(),
		plans:        plans,
		slots:        newSlots(cfg.Slots, maxWaiting),
		serviceTimer: newServiceTimer(cfg, times, time.Now()),
		load:         newLoadReport(cfg.LoadLag),
		executions:   newExecutionLog(cfg.KeepExecutions),
		node:         newNodeClient(cfg.Node),
		exit:         exit,

		journal: j,
	}, nil
}

// Close closes the journal and the idle connections to the node.
func (s *Server) Close() {
	s.node.close()
	s.journal.close()
}

// Boot returns the ID of this backend incarnation.
func (s *Server) Boot() string { return s.boot }

// Summary returns the counts of the executions.
func (s *Server) Summary() Summary {
	sum := s.executions.summary()
	sum.Service = s.cfg.Service
	sum.Boot = s.boot
	return sum
}

// Executions returns the execution log, oldest first.
func (s *Server) Executions() []Execution { return s.executions.list() }

// Handler returns the handler for the operations and the stand-in's own pages.
func (s *Server) Handler() http.Handler {
	r := mux.NewRouter()
	r.HandleFunc("/load", s.handleLoad).Methods(http.MethodGet)
	r.HandleFunc("/healthz", s.handleHealth).Methods(http.MethodGet)
	r.HandleFunc("/executions", s.handleSummary).Methods(http.MethodGet)
	r.HandleFunc("/executions/log", s.handleLog).Methods(http.MethodGet)
	r.HandleFunc("/control", s.handleControl).Methods(http.MethodPost)
	r.HandleFunc("/{operation}", s.handleOperation).Methods(http.MethodPost, http.MethodGet)
	return r
}

func (s *Server) handleOperation(w http.ResponseWriter, r *http.Request) {
	s.executions.recordArrival(time.Now())
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBodyBytes))
	if err != nil {
		s.refuse(w, http.StatusBadRequest, "body: "+err.Error())
		return
	}
	ctx, cancel, err := deadlineContext(r)
	if err != nil {
		s.refuse(w, http.StatusBadRequest, err.Error())
		return
	}
	defer cancel()
	if err := s.slots.acquire(ctx); err != nil {
		s.refuseQueued(w, err)
		return
	}
	defer s.recordLoad()
	defer s.slots.release()
	s.recordLoad()
	s.execute(ctx, w, r, body)
}

func deadlineContext(r *http.Request) (context.Context, context.CancelFunc, error) {
	text := r.Header.Get(HeaderDeadline)
	if text == "" {
		ctx, cancel := context.WithCancel(r.Context())
		return ctx, cancel, nil
	}
	ms, err := strconv.ParseInt(text, 10, 64)
	if err != nil {
		return nil, nil, fmt.Errorf("header %s: %w", HeaderDeadline, err)
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
	return ctx, cancel, nil
}

// refuseQueued answers a request that got no slot. It sends "not run", since nothing
// has begun.
func (s *Server) refuseQueued(w http.ResponseWriter, err error) {
	switch {
	case errors.Is(err, errQueueFull):
		s.refuse(w, http.StatusServiceUnavailable, "shed: "+err.Error())
	case errors.Is(err, context.DeadlineExceeded):
		s.refuse(w, http.StatusServiceUnavailable, "deadline passed in the queue")
	default:
		s.refuse(w, http.StatusServiceUnavailable, "canceled in the queue")
	}
}

func (s *Server) refuse(w http.ResponseWriter, status int, detail string) {
	s.executions.recordRefusal()
	w.Header().Set(HeaderVerdict, "not run")
	http.Error(w, detail, status)
}

func (s *Server) recordLoad() { s.load.record(time.Now(), s.currentLoad()) }

func (s *Server) currentLoad() Load {
	inUse, waiting := s.slots.usage()
	return Load{
		Slots:   s.cfg.Slots,
		InUse:   inUse,
		Waiting: waiting,
		Load:    float64(inUse) / float64(s.cfg.Slots),
	}
}
