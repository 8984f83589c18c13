package pipeline

import (
	"net/http"
	"time"
)

// Limits bounds what is held for one connection.
type Limits struct {
	// MaxRequests is the number of requests that are read and not answered yet.
	MaxRequests int
	// MaxBytes is the size of their bodies and answers beyond which no further request
	// is read.
	MaxBytes int64
	// MaxHead is the largest head of a request, in bytes.
	MaxHead int64
	// MaxBody is the largest body of a request, in bytes.
	MaxBody int64
}

// Config configures connections with several requests at once.
type Config struct {
	Limits
	// HeadTimeout is how long the head of a request may take to arrive, BodyTimeout the
	// body. They count while no answer is awaited on the connection.
	HeadTimeout, BodyTimeout time.Duration
	// IdleTimeout is how long an idle connection is kept.
	IdleTimeout time.Duration
	// WriteTimeout is how long a caller may take to read its answers.
	WriteTimeout time.Duration
	// Repeatable reports whether a request may be run again. Only such requests start
	// before those before them are answered. Without it connections are served one
	// request after another.
	Repeatable func(*http.Request) bool
	// Draining, if set, reports whether the node is leaving. Connections then close after
	// the answers to what has been read.
	Draining func() bool
	// TakenOver, if set, is called for each connection on which a caller has sent ahead.
	TakenOver func()
	// Malformed writes the answer to a request that can't be parsed, with the given
	// status.
	Malformed func(w http.ResponseWriter, status int)
}

func (c *Config) draining() bool { return c.Draining != nil && c.Draining() }
