package pipeline

import (
	"context"
	"net/http"
	"sync"
	"time"
)

// shutdownPollInterval is the time between two checks of the connections that a planned
// stop waits for.
const shutdownPollInterval = 10 * time.Millisecond

// Server is a handler for net/http that takes over connections with several requests at
// once. It is safe for concurrent use.
type Server struct {
	cfg     Config
	handler http.Handler

	mu    sync.Mutex
	conns map[*conn]struct{}
}

// NewServer returns a server that handles each request with h.
func NewServer(cfg Config, h http.Handler) *Server {
	return &Server{cfg: cfg, handler: h, conns: make(map[*conn]struct{})}
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	detector, ok := r.Context().Value(detectorKey{}).(*Detector)
	if !ok || s.cfg.Repeatable == nil || !mayBeFollowed(r) {
		s.handler.ServeHTTP(w, r)
		return
	}
	d := &deferred{ResponseWriter: w, server: s, http: r}
	detector.current.Store(d)
	defer detector.current.CompareAndSwap(d, nil)
	if detector.more.Load() {
		// An error leaves the connection as it is: the requests run one after another.
		_ = d.takeOver()
	}
	defer func() {
		if cause := recover(); cause != nil {
			d.abort()
			panic(cause)
		}
	}()
	s.handler.ServeHTTP(d, r)
	d.end()
}

// mayBeFollowed reports whether another request may follow r before its answer. What
// follows a body is found only once the handler has read it.
func mayBeFollowed(r *http.Request) bool {
	return r.ContentLength == 0 && !r.Close && r.ProtoAtLeast(1, 1) && r.Method != http.MethodConnect
}

// serve serves a connection until it ends.
func (s *Server) serve(c *conn) {
	if s.cfg.TakenOver != nil {
		s.cfg.TakenOver()
	}
	s.mu.Lock()
	s.conns[c] = struct{}{}
	s.mu.Unlock()
	go func() {
		c.serve()
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.conns, c)
	}()
}

// Shutdown closes idle connections and waits until the others have their answers. It
// returns the error of ctx if that ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	for {
		open := s.open()
		if len(open) == 0 {
			return nil
		}
		for _, c := range open {
			c.closeIdle()
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(shutdownPollInterval):
		}
	}
}

// Close cuts all connections.
func (s *Server) Close() {
	for _, c := range s.open() {
		c.abort()
	}
}

func (s *Server) open() []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := make([]*conn, 0, len(s.conns))
	for c := range s.conns {
		out = append(out, c)
	}
	return out
}
