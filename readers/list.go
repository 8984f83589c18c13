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
	// last is when the list was read, spread what the time until the next reading
	// is multiplied by, retryAt the end of the pause after a failure.
	last    time.Time
	spread  float64
	retryAt time.Time
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
	due := l.retryAt
	if read := l.due(s); read.After(due) {
		due = read
	}
	if left := due.Sub(now); left > 0 {
		return min(left, look)
	}
	return 0
}

// due is when the list is to be read again if the last reading succeeded. A node that
// was alone then and is not any more has the time of those that are not.
func (l *List) due(s Situation) time.Time {
	if l.last.IsZero() || !l.listed {
		return time.Time{}
	}
	every := l.cfg.Every
	if s.Alone {
		every = l.cfg.AloneEvery
	}
	return l.last.Add(time.Duration(l.spread * float64(every)))
}

// Read reports that the list was read and whether it holds this node. It returns
// how long to wait before the node enters itself; nothing is to be entered if it is
// listed.
func (l *List) Read(now time.Time, entries int, listed bool) time.Duration {
	l.retries.reset()
	l.listed = listed // an entry may be lost
	l.last = now
	l.spread = l.rng.Float64()/2 + 0.75
	return time.Duration(l.rng.Float64() * float64(l.cfg.WriteSpread) * float64(entries) / 100)
}

// Listed reports whether the node is known to be in the list.
func (l *List) Listed() bool { return l.listed }

// Lost reports that entries may have been lost: the list is to be read anew.
func (l *List) Lost() { l.listed = false }

// Entered reports that the store took the node's entry.
func (l *List) Entered() { l.listed = true }

// Failed reports that a call for the list failed.
func (l *List) Failed(now time.Time, s Situation) {
	pause := l.cfg.UnlistedRetry
	if s.Alone {
		pause = l.retries.step()
	}
	l.retryAt = now.Add(jitter(l.rng, pause))
}
