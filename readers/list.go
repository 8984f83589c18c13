package readers

import (
	"math/rand/v2"
	"time"
)

// ListConfig holds the choices of List.
type ListConfig struct {
	// Every is the pause between two looks of a reader: groups of nodes that
	// formed apart find each other in the list, since each has readers of its
	// own.
	Every time.Duration
	// AloneEvery is the same of a node that knows no other one.
	AloneEvery time.Duration
	// RetryMin and RetryMax bound the pause after a failure while the node is
	// alone: it can serve nothing but its own backend server.
	RetryMin, RetryMax time.Duration
	// UnlistedRetry is the pause after a failure of a node that has met others
	// and only lacks its own place in the list, by which later ones find it.
	UnlistedRetry time.Duration
	// WriteSpread is the time over which first entries are spread for each
	// hundred nodes of the list, so that a fleet that starts at once stays below
	// half of the 400 writes a second that the smallest store allows.
	WriteSpread time.Duration
}

// DefaultListConfig returns the choices explained at ListConfig.
func DefaultListConfig() ListConfig {
	return ListConfig{
		Every:         30 * time.Second,
		AloneEvery:    2 * time.Second,
		RetryMin:      200 * time.Millisecond,
		RetryMax:      2 * time.Second,
		UnlistedRetry: 5 * time.Second,
		WriteSpread:   500 * time.Millisecond,
	}
}

// List plans when a node reads the list of nodes and enters itself. It is used by
// one goroutine.
type List struct {
	cfg     ListConfig
	rng     *rand.Rand
	retries backoff
	// listed says that the list was seen to hold this node, or took its entry.
	listed bool
	readAt time.Time
}

// NewList returns the plan of a node that has read nothing.
func NewList(cfg ListConfig, seed uint64) *List {
	return &List{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		retries: backoff{min: cfg.RetryMin, max: cfg.RetryMax},
	}
}

// Pause returns how long to wait before the list is read, zero for now. A node
// that is listed and has met others leaves the reading to the readers.
func (l *List) Pause(now time.Time, s Situation) time.Duration {
	if l.listed && !s.Reader && !s.Alone {
		return look
	}
	if left := l.readAt.Sub(now); left > 0 {
		return min(left, look)
	}
	return 0
}

// Read reports that the list was read and whether it holds this node. It returns
// how long to wait before the node enters itself; nothing is to be entered if it is
// listed.
func (l *List) Read(now time.Time, s Situation, entries int, listed bool) time.Duration {
	l.retries.reset()
	l.listed = l.listed || listed
	every := l.cfg.Every
	if s.Alone {
		every = l.cfg.AloneEvery
	}
	l.readAt = now.Add(jitter(l.rng, every))
	return time.Duration(l.rng.Float64() * float64(l.cfg.WriteSpread) * float64(entries) / 100)
}

// Listed reports whether the node is known to be in the list.
func (l *List) Listed() bool { return l.listed }

// Entered reports that the store took the node's entry.
func (l *List) Entered() { l.listed = true }

// Failed reports that a call for the list failed.
func (l *List) Failed(now time.Time, s Situation) {
	pause := l.cfg.UnlistedRetry
	if s.Alone {
		pause = l.retries.step()
	}
	l.readAt = now.Add(jitter(l.rng, pause))
}
