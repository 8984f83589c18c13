package readers

import (
	"math/rand/v2"
	"time"
)

// ListConfig configures List.
type ListConfig struct {
	// ReadInterval is the mean interval between two reads of the list by a reader.
	// Groups of nodes that formed separately discover each other through the
	// list, since each group has readers.
	ReadInterval time.Duration
	// LoneReadInterval is the mean interval for a node that knows no other node.
	LoneReadInterval time.Duration
	// RetryMin and RetryMax bound the pause after a failure while the node is
	// alone. Such a node can only serve its own backend server.
	RetryMin, RetryMax time.Duration
	// UnlistedRetry is the pause after a failure for a node that knows others
	// and only lacks its own entry in the list.
	UnlistedRetry time.Duration
	// WriteSpreadPer100 is the time per hundred nodes in the list over which first
	// entries are spread. It keeps a fleet that starts at once below the write
	// limit of the store.
	WriteSpreadPer100 time.Duration
}

// DefaultListConfig returns the default configuration.
func DefaultListConfig() ListConfig {
	return ListConfig{
		ReadInterval:      30 * time.Second,
		LoneReadInterval:  2 * time.Second,
		RetryMin:          200 * time.Millisecond,
		RetryMax:          2 * time.Second,
		UnlistedRetry:     5 * time.Second,
		WriteSpreadPer100: 500 * time.Millisecond,
	}
}

// List plans when a node reads the list of nodes and adds its own entry. It is
// not safe for concurrent use.
type List struct {
	cfg     ListConfig
	rng     *rand.Rand
	retries backoff
	// listed says that the last read of the list contained this node, or that
	// the store accepted its entry since.
	listed bool
	// lastRead is the time of the last read of the list. periodFactor is the
	// jitter of the interval until the next one. retryAt is the end of the
	// pause after a failure.
	lastRead     time.Time
	periodFactor float64
	retryAt      time.Time
}

// NewList returns the plan of a node that has not read the list.
func NewList(cfg ListConfig, seed uint64) *List {
	return &List{
		cfg:     cfg,
		rng:     rand.New(rand.NewPCG(seed, 0)),
		retries: backoff{min: cfg.RetryMin, max: cfg.RetryMax},
	}
}

// Pause returns how long to wait before reading the list, zero to read now.
// After a positive pause it must be called again. A listed node that is not
// alone leaves reading to the readers.
func (l *List) Pause(now time.Time, s NodeState) time.Duration {
	if l.listed && !s.Reader && !s.NoPeers {
		return idlePause
	}
	nextRead := l.retryAt
	if read := l.nextRead(s); read.After(nextRead) {
		nextRead = read
	}
	if remaining := nextRead.Sub(now); remaining > 0 {
		return min(remaining, idlePause)
	}
	return 0
}

// nextRead returns when to read the list again if the last read succeeded. The
// interval depends on whether the node is alone now, not on whether it was at
// the last read.
func (l *List) nextRead(s NodeState) time.Time {
	if l.lastRead.IsZero() || !l.listed {
		return time.Time{}
	}
	every := l.cfg.ReadInterval
	if s.NoPeers {
		every = l.cfg.LoneReadInterval
	}
	return l.lastRead.Add(time.Duration(l.periodFactor * float64(every)))
}

// RecordRead records that the list was read, its number of entries and whether it
// contains this node. If the node is not listed, RecordRead returns how long to wait
// before adding its entry; otherwise the result is to be ignored.
func (l *List) RecordRead(now time.Time, entries int, listed bool) time.Duration {
	l.retries.reset()
	l.listed = listed // a former entry may be lost
	l.lastRead = now
	l.periodFactor = l.rng.Float64()/2 + 0.75
	return time.Duration(l.rng.Float64() * float64(l.cfg.WriteSpreadPer100) * float64(entries) / 100)
}

// Listed reports whether the node is known to be in the list.
func (l *List) Listed() bool { return l.listed }

// Invalidate records that entries may have been lost, so that the list is read
// again.
func (l *List) Invalidate() { l.listed = false }

// RecordEntry records that the store accepted the node's entry.
func (l *List) RecordEntry() { l.listed = true }

// RecordFailure records that a read or write of the list failed.
func (l *List) RecordFailure(now time.Time, s NodeState) {
	pause := l.cfg.UnlistedRetry
	if s.NoPeers {
		pause = l.retries.nextDelay()
	}
	l.retryAt = now.Add(jitter(l.rng, pause))
}
