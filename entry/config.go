package entry

import (
	"net/http"
	"time"
)

// Config bounds what a caller can make a node hold.
type Config struct {
	// MaxBody is the largest request body in bytes. It is held in memory
	// whole, on this node and on the one that runs the request.
	MaxBody int64
	// MaxHeader is the largest total of the names and values that travel
	// with a call, in bytes.
	MaxHeader int
	// MaxDeadline is the longest deadline that a caller may ask for: more is
	// taken for a mistake of its units.
	MaxDeadline time.Duration
	// HeaderTimeout is how long the head of a request may take to arrive.
	HeaderTimeout time.Duration
	// BodyTimeout is how long the body may take after the head.
	BodyTimeout time.Duration
	// WriteTimeout is how long a caller may take to read its answer.
	WriteTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
	// Draining, if set, tells that the node is leaving: each answer then
	// closes its connection. Closing the idle connections of a server
	// instead would cut off a request that is just being sent on one.
	Draining func() bool
}

// DefaultConfig returns the limits of a node.
func DefaultConfig() Config {
	return Config{
		MaxBody:       1 << 20,          // the users' filings and letters are far smaller
		MaxHeader:     16 << 10,         // as common HTTP servers allow
		MaxDeadline:   time.Hour,        // no call is interactive any more after that
		HeaderTimeout: 5 * time.Second,  // one packet in practice
		BodyTimeout:   10 * time.Second, // 1 MiB at 100 KiB/s
		WriteTimeout:  30 * time.Second, // a slow reader holds an answer no longer
		IdleTimeout:   2 * time.Minute,  // longer than the usual client keeps one
	}
}

// maxHeadBytes bounds the head of a request: the fields that travel, and as
// much again for those that do not.
func (c Config) maxHeadBytes() int { return 2 * c.MaxHeader }

// NewServer returns a server with the timeouts of cfg. It sets neither
// ReadTimeout nor WriteTimeout: both count from the head of the request, and
// ReadTimeout ends the request's context, so they would cut off calls that
// take longer. Exchange sets the deadlines of body and answer itself. Serve it
// on a listener from Listener.
func NewServer(cfg Config, h http.Handler) *http.Server {
	return &http.Server{
		Handler:           markHandled(h),
		ConnContext:       withConn,
		ConnState:         awaitRequest,
		ReadHeaderTimeout: cfg.HeaderTimeout,
		IdleTimeout:       cfg.IdleTimeout,
		MaxHeaderBytes:    cfg.maxHeadBytes(),
	}
}
