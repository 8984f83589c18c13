package entry

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/pipeline"
	"github.com/cassialoom/cassialoom/verdict"
)

// Config holds the limits for requests of callers.
type Config struct {
	// MaxBody is the largest request body in bytes. Bodies are held in memory
	// whole, on this node and on the one that runs the request.
	MaxBody int64
	// MaxHeader is the largest total of the names and values of forwarded
	// header fields in bytes.
	MaxHeader int
	// MaxDeadline is the longest deadline that a caller may set. A longer one
	// is refused because it is likely to be in the wrong unit.
	MaxDeadline time.Duration
	// HeaderTimeout is how long the head of a request may take to arrive.
	HeaderTimeout time.Duration
	// BodyTimeout is how long the body may take to arrive after the head.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to read its answer.
	WriteTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// Draining, if set, reports whether the node is leaving; each answer then
	// closes its connection. Closing the server's idle connections instead
	// could interrupt a request that is just being sent on one.
	Draining func() bool
	// Repeatable, if set, reports whether a request may be run again. Such requests run
	// side by side when they are sent on one connection; without it each waits for the
	// one before it.
	Repeatable func(*http.Request) bool
	// OnPipelined, if set, is called for each connection on which a caller has sent a
	// request before the one before it was answered.
	OnPipelined func()
	// MaxAhead is the number of requests on one connection that are read and not
	// answered yet.
	MaxAhead int
}

// DefaultConfig returns the default limits.
func DefaultConfig() Config {
	return Config{
		MaxBody:       1 << 20,          // larger than any expected request
		MaxHeader:     16 << 10,         // as in common HTTP servers
		MaxDeadline:   time.Hour,        // longer than any interactive call
		HeaderTimeout: 5 * time.Second,  // a head usually fits in one packet
		BodyTimeout:   10 * time.Second, // 1 MiB at 100 KiB/s
		WriteTimeout:  30 * time.Second, // bounds the memory held for slow readers
		IdleTimeout:   2 * time.Minute,  // longer than common clients keep one
		MaxAhead:      32,               // more than common clients send ahead
	}
}

// maxHeadBytes returns the largest head of a request in bytes: the forwarded
// fields and as much again for the others.
func (c Config) maxHeadBytes() int { return 2 * c.MaxHeader }

// Server is an HTTP server for callers, whose requests on one connection run side by
// side where Config.Repeatable allows it.
type Server struct {
	*http.Server
	pipelines *pipeline.Server
}

// NewServer returns a server with the timeouts of cfg. It sets neither
// ReadTimeout nor WriteTimeout: both count from the head of the request, and
// ReadTimeout ends the request's context, so they would interrupt longer calls.
// HandleCall sets the deadlines of body and answer itself. The server must be
// served on a listener from Listener.
func NewServer(cfg Config, h http.Handler) *Server {
	pipelines := pipeline.NewServer(cfg.pipeline(), h)
	return &Server{
		Server: &http.Server{
			Handler:           markHandled(pipelines),
			ConnContext:       withConn,
			ConnState:         resetWhenIdle,
			ReadHeaderTimeout: cfg.HeaderTimeout,
			IdleTimeout:       cfg.IdleTimeout,
			MaxHeaderBytes:    cfg.maxHeadBytes(),
		},
		pipelines: pipelines,
	}
}

func (c Config) pipeline() pipeline.Config {
	return pipeline.Config{
		Limits: pipeline.Limits{
			MaxRequests: c.MaxAhead,
			MaxBytes:    c.MaxBody,
			MaxHead:     int64(c.maxHeadBytes()),
			MaxBody:     c.MaxBody,
		},
		HeadTimeout:  c.HeaderTimeout,
		BodyTimeout:  c.BodyTimeout,
		IdleTimeout:  c.IdleTimeout,
		WriteTimeout: c.WriteTimeout,
		Repeatable:   c.Repeatable,
		Draining:     c.Draining,
		TakenOver:    c.OnPipelined,
		Malformed: func(w http.ResponseWriter, status int) {
			writeError(c, w, status, "", verdict.Refuse(verdict.BadRequest, "the request can't be read"))
		},
	}
}

// Shutdown waits until the requests in flight have their answers, and closes the
// connections. It returns the error of ctx if that ends before.
func (s *Server) Shutdown(ctx context.Context) error {
	err := s.Server.Shutdown(ctx)
	return errors.Join(err, s.pipelines.Shutdown(ctx))
}

// Close cuts all connections at once.
func (s *Server) Close() error {
	s.pipelines.Close()
	return s.Server.Close()
}
