package backend

import "time"

// Config holds the limits for connections to one backend server and for its
// answers.
type Config struct {
	// Dialect is the interface of the backend server; nil for the default one.
	Dialect Dialect
	// DialTimeout is how long opening a connection may take. The backend server
	// is on the same instance.
	DialTimeout time.Duration
	// MaxIdle is the largest number of idle connections kept.
	MaxIdle int
	// IdleTimeout is how long an idle connection is kept. It must be shorter
	// than the backend server's own timeout: a request sent just as the server
	// closes the connection gets the verdict MayHaveRun.
	IdleTimeout time.Duration
	// MaxAnswer is the largest answer body in bytes. Answers are held in memory
	// whole.
	MaxAnswer int64
	// MaxLargeAnswers is the memory in bytes for all large answers that are being read, at
	// least MaxAnswer. An answer for which there is none left is given up.
	MaxLargeAnswers int64
	// MaxHeader is the largest total of an answer's forwarded header fields in
	// bytes.
	MaxHeader int
	// ProbeInterval is the pause before the second connection attempt that tells a
	// crash from a broken connection. A process that is being killed may close
	// its connections shortly before its listening socket.
	ProbeInterval time.Duration
	// HealthPath, if set, returns the path of the backend server's health check, empty if it
	// is not known.
	HealthPath func() string
	// OnStray, if set, is called for each answer that no request waits for. It must not block.
	OnStray func(StrayAnswer)
}

// DefaultConfig returns the default settings.
func DefaultConfig() Config {
	return Config{
		DialTimeout: time.Second,     // connecting on loopback succeeds or fails at once
		MaxIdle:     512,             // more than the slots of the largest backend server
		IdleTimeout: 4 * time.Second, // below the 5 s of common servers
		MaxAnswer:   1 << 20,         // as for request bodies
		MaxHeader:   16 << 10,        // as for request header fields

		MaxLargeAnswers: 64 << 20,              // a part of a node's usual memory
		ProbeInterval:   10 * time.Millisecond, // longer than a killed process takes to close its sockets
	}
}
