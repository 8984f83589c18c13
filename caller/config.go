package caller

import (
	"fmt"
	"net/http"
	"time"

	"github.com/cassialoom/cassialoom/retry"
)

// Config of a Client.
type Config struct {
	// Nodes are the callers' addresses (host:port) of one or more nodes.
	// Give several: the client goes to the next when one does not answer.
	Nodes []string
	// Attempts is the most attempts for one request, the first included.
	// Three: a fourth rarely succeeds where three have failed.
	Attempts int
	// Retry bounds the extra attempts of all requests to a share of them.
	Retry retry.Config
	// Backoff is the least wait before the second attempt when the node
	// proposes no time; it doubles with each attempt.
	Backoff time.Duration
	// Jitter is the share of a wait that is added at random, so that callers
	// refused in the same moment do not come back in the same moment.
	Jitter float64
	// Deadline is used for requests that give none.
	Deadline time.Duration
	// Keys is the number of minted keys kept ahead for each operation. Eight
	// cover a burst; more would expire unused.
	Keys int
	// KeyMargin is the least life that a key must have left when it is used:
	// it must outlast the resends of its request.
	KeyMargin time.Duration
	// AvoidFor is how long a node that could not be reached, or is leaving, is
	// passed over.
	AvoidFor time.Duration
	// MaxAnswer is the largest body of an answer, in bytes.
	MaxAnswer int64
	// Seed of the jitter and of the order of nodes; zero draws one.
	Seed uint64
	// Transport is replaced in tests; nil for one of the client's own.
	Transport http.RoundTripper
}

// DefaultConfig lacks only Nodes.
func DefaultConfig() Config {
	return Config{
		Attempts:  3,
		Retry:     retry.DefaultConfig(),
		Backoff:   50 * time.Millisecond,
		Jitter:    0.5,
		Deadline:  10 * time.Second,
		Keys:      8,
		KeyMargin: 5 * time.Second,
		AvoidFor:  time.Second,
		MaxAnswer: 8 << 20,
	}
}

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
	case c.Keys < 0 || c.KeyMargin < 0:
		return fmt.Errorf("settings Keys, KeyMargin: values %d, %v: want 0 or more", c.Keys, c.KeyMargin)
	case c.MaxAnswer < 1:
		return fmt.Errorf("setting MaxAnswer: value %d: want at least 1 byte", c.MaxAnswer)
	}
	if err := c.Retry.Check(); err != nil {
		return fmt.Errorf("setting Retry: %w", err)
	}
	return nil
}
