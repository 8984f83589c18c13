// Package fakelog is an in-memory applog.Log driven by an injected clock,
// that can inject the faults of a real log: outages, answers that are lost after
// the write took effect, writes that take effect late, and limited retention.
package fakelog

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/cassialoom/cassialoom/applog"
)

// Config is the configuration of a fake log. The zero value has no limits.
type Config struct {
	// Retention is the time for which a record is kept; zero means forever.
	Retention time.Duration
	// MaxRecords is the largest number of records in a stream; zero means no limit.
	MaxRecords int
	// AppendsPerSecond is the largest rate of appends to all streams together, with a
	// burst of a tenth of it; zero means no limit.
	AppendsPerSecond int
	// MaxPageBytes is the largest size of a page with more than one record; zero means
	// no limit.
	MaxPageBytes int
	// KeepHistory keeps all records for History, including trimmed ones.
	KeepHistory bool
	// Before, if set, is called before each request, without the log's lock. A test can
	// append there, as a concurrent writer does; it must return at once for those requests.
	Before func()
}

// ErrOutage is wrapped by the errors of requests that fail because of Outage. The outcome
// of such an append is unknown to its caller.
var ErrOutage = errors.New("outage")

// burstDivisor is the append rate divided by the burst.
const burstDivisor = 10

// Log implements applog.Log. It is safe for concurrent use.
type Log struct {
	cfg   Config
	clock func() time.Time

	mu          sync.Mutex
	streams     map[string]*stream
	limiter     *rate.Limiter
	outageUntil time.Time
	loseAnswers int
	delayCount  int
	delayBy     time.Duration
	delayed     []delayedAppend
}

type entry struct {
	data       []byte
	appendedAt time.Time
}

type stream struct {
	oldest  uint64
	records []entry
	history []applog.Record
}

type delayedAppend struct {
	due    time.Time
	stream string
	data   []byte
}

// New returns a log without records that takes the time from clock.
func New(cfg Config, clock func() time.Time) *Log {
	l := &Log{cfg: cfg, clock: clock, streams: map[string]*stream{}}
	if cfg.AppendsPerSecond > 0 {
		burst := max(1, cfg.AppendsPerSecond/burstDivisor)
		l.limiter = rate.NewLimiter(rate.Limit(cfg.AppendsPerSecond), burst)
	}
	return l
}

// Outage makes every request fail until the given time.
func (l *Log) Outage(until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outageUntil = until
}

// LoseAnswers makes the next n appends take effect and report that their
// outcome is unknown.
func (l *Log) LoseAnswers(n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.loseAnswers = n
}

// DelayAppends makes the next n appends report that their outcome is unknown and take
// effect after d. Their records follow those that were appended in the meantime.
func (l *Log) DelayAppends(n int, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayCount, l.delayBy = n, d
}

// History returns all records that were appended to a stream, including trimmed ones. It
// needs Config.KeepHistory.
func (l *Log) History(name string) []applog.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.applyDelayed(l.clock())
	return slices.Clone(l.stream(name).history)
}

// Append implements applog.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	l.runBefore()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.applyDelayed(now)
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", name, applog.ErrNotWritten, err)
	}
	if now.Before(l.outageUntil) {
		return 0, fmt.Errorf("append to %s: %w: %w", name, applog.ErrUnknownOutcome, ErrOutage)
	}
	if l.limiter != nil && !l.limiter.AllowN(now, 1) {
		return 0, fmt.Errorf("append to %s: %w: too many appends", name, applog.ErrNotWritten)
	}
	if l.delayCount > 0 {
		l.delayCount--
		l.delayed = append(l.delayed, delayedAppend{now.Add(l.delayBy), name, slices.Clone(data)})
		return 0, fmt.Errorf("append to %s: %w: no answer yet", name, applog.ErrUnknownOutcome)
	}
	offset := l.write(now, name, data)
	if l.loseAnswers > 0 {
		l.loseAnswers--
		return 0, fmt.Errorf("append to %s: %w: answer lost", name, applog.ErrUnknownOutcome)
	}
	return offset, nil
}

// Read implements applog.Log.
func (l *Log) Read(ctx context.Context, name string, from uint64, max int) (applog.Page, error) {
	l.runBefore()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.applyDelayed(now)
	if err := ctx.Err(); err != nil {
		return applog.Page{}, fmt.Errorf("read %s: %w: %w", name, applog.ErrUnavailable, err)
	}
	if now.Before(l.outageUntil) {
		return applog.Page{}, fmt.Errorf("read %s: %w: %w", name, applog.ErrUnavailable, ErrOutage)
	}
	s := l.stream(name)
	l.trim(s, now)
	return l.page(s, from, max), nil
}

func (l *Log) runBefore() {
	if l.cfg.Before != nil {
		l.cfg.Before()
	}
}

func (l *Log) page(s *stream, from uint64, max int) applog.Page {
	page := applog.Page{Oldest: s.oldest, Next: s.nextOffset()}
	if from < s.oldest {
		from = s.oldest
	}
	size := 0
	for offset := from; offset < page.Next && len(page.Records) < max; offset++ {
		data := s.records[offset-s.oldest].data
		size += len(data)
		if l.cfg.MaxPageBytes > 0 && size > l.cfg.MaxPageBytes && len(page.Records) > 0 {
			break
		}
		page.Records = append(page.Records, applog.Record{Offset: offset, Data: data})
	}
	return page
}

// applyDelayed writes the records of the delayed appends that are due.
func (l *Log) applyDelayed(now time.Time) {
	kept := l.delayed[:0]
	for _, d := range l.delayed {
		if d.due.After(now) {
			kept = append(kept, d)
			continue
		}
		l.write(now, d.stream, d.data)
	}
	l.delayed = kept
}

func (l *Log) write(now time.Time, name string, data []byte) uint64 {
	s := l.stream(name)
	offset := s.nextOffset()
	data = slices.Clone(data)
	s.records = append(s.records, entry{data, now})
	if l.cfg.KeepHistory {
		s.history = append(s.history, applog.Record{Offset: offset, Data: data})
	}
	l.trim(s, now)
	return offset
}

func (l *Log) trim(s *stream, now time.Time) {
	n := 0
	if l.cfg.MaxRecords > 0 {
		n = max(0, len(s.records)-l.cfg.MaxRecords)
	}
	for n < len(s.records) && l.expired(s.records[n], now) {
		n++
	}
	s.oldest += uint64(n)
	s.records = slices.Delete(s.records, 0, n)
}

func (l *Log) expired(e entry, now time.Time) bool {
	return l.cfg.Retention > 0 && now.Sub(e.appendedAt) > l.cfg.Retention
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (s *stream) nextOffset() uint64 { return s.oldest + uint64(len(s.records)) }
