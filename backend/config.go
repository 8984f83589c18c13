package backend

import "time"

// Config bounds the connections to one backend server and what it may answer.
type Config struct {
	// Dialect is how the backend server is spoken to; nil for the project's
	// own interface.
	Dialect Dialect
	// DialTimeout is how long a connection may take to open. The backend
	// server is on the same instance.
	DialTimeout time.Duration
	// MaxIdle is the number of idle connections that are kept.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept. It must be shorter
	// than the backend server's own: a request that is sent just as the
	// other side closes the connection has the verdict "may have run".
	IdleTimeout time.Duration
	// MaxAnswer is the largest answer body in bytes; it is held whole.
	MaxAnswer int64
	// MaxHeader bounds the fields of an answer that travel, in bytes.
	MaxHeader int
	// ProbeGap is the pause before the second look whether a backend server
	// still listens after a connection broke: a process that is being killed
	// can lose its connections a moment before its listening socket.
	ProbeGap time.Duration
}

// DefaultConfig returns the limits of a node.
func DefaultConfig() Config {
	return Config{
		DialTimeout: time.Second,           // loopback answers at once or not at all
		MaxIdle:     512,                   // above the slots of the largest backend server (280)
		IdleTimeout: 4 * time.Second,       // below the 5 s that common servers use
		MaxAnswer:   1 << 20,               // as the callers' bodies
		MaxHeader:   16 << 10,              // as the callers' fields
		ProbeGap:    10 * time.Millisecond, // sockets of one process close within less
	}
}
