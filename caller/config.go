package caller

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/retry"
)

// Config configures a Client.
type Config struct {
	// Nodes holds the callers' addresses (host:port) of one or more nodes. With
	// several, the client fails over to another node.
	Nodes []string
	// Attempts is the maximum number of attempts for a request, including the
	// first.
	Attempts int
	// Retry limits the retries of all requests to a share of the requests.
	Retry retry.Config
	// Backoff is the minimum wait before the second attempt. It doubles with
	// each attempt; a longer Retry-After replaces it.
	Backoff time.Duration
	// Jitter is the maximum random addition to a wait, as a share of it, so that
	// callers refused at the same time don't retry at the same time.
	Jitter float64
	// Deadline is the default of Request.Deadline.
	Deadline time.Duration
	// PrefetchedKeys is the number of minted keys fetched in advance for each operation.
	PrefetchedKeys int
	// KeyMargin is the minimum remaining lifetime of a minted key at its first
	// use. The key must outlive the resends of its request.
	KeyMargin time.Duration
	// AvoidFor is the time for which the client avoids a node that was
	// unreachable or draining.
	AvoidFor time.Duration
	// MaxAnswer is the maximum size of the body of an answer in bytes.
	MaxAnswer int64
	// Seed is the random seed of the jitter and of the first node; zero means a
	// random one.
	Seed uint64
	// Transport sends the HTTP requests; nil means a new http.Transport on connections of
	// package framing. Another one must refuse invalid answers itself.
	Transport http.RoundTripper
}

// DefaultConfig returns the defaults. Nodes must be set.
func DefaultConfig() Config {
	return Config{
		Attempts:       3,
		Retry:          retry.DefaultConfig(),
		Backoff:        50 * time.Millisecond,
		Jitter:         0.5,
		Deadline:       10 * time.Second,
		PrefetchedKeys: 8,
		KeyMargin:      5 * time.Second,
		AvoidFor:       time.Second,
		MaxAnswer:      8 << 20,
	}
}

// check returns an error that names the first invalid setting.
func (c Config) check() error {
	switch {
	case len(c.Nodes) == 0:
		return fmt.Errorf("setting Nodes: empty: want at least one host:port")
	case c.Attempts < 1:
		return fmt.Errorf("setting Attempts: value %d: want at least 1", c.Attempts)
	case c.Backoff <= 0 || c.Deadline <= 0:
		return fmt.Errorf("settings Backoff, Deadline: values %v, %v: want positive durations", c.Backoff, c.Deadline)
	case c.Jitter < 0:
		return fmt.Errorf("setting Jitter: value %v: want 0 or more", c.Jitter)
	case c.PrefetchedKeys < 0 || c.KeyMargin < 0:
		return fmt.Errorf("settings Keys, KeyMargin: values %d, %v: want 0 or more", c.PrefetchedKeys, c.KeyMargin)
	case c.MaxAnswer < 1:
		return fmt.Errorf("setting MaxAnswer: value %d: want at least 1 byte", c.MaxAnswer)
	}
	if err := c.Retry.Check(); err != nil {
		return fmt.Errorf("setting Retry: %w", err)
	}
	return nil
}
