// Package fakelog is an in-memory applog.Log driven by an injected clock,
// with the faults of the real one: outages, answers that are lost after the
// write took effect, writes that take effect late, and limited retention.
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

// Config of a fake log. The zero value has no limits.
type Config struct {
	// Retention is how long a record is kept; zero keeps it for good.
	Retention time.Duration
	// MaxRecords bounds each stream; zero means no bound.
	MaxRecords int
	// AppendsPerSecond over all streams, with a burst of a tenth of it; zero
	// means no bound.
	AppendsPerSecond int
	// MaxPageBytes ends a page early, but never before its first record;
	// zero means no bound.
	MaxPageBytes int
	// KeepHistory keeps trimmed records for History.
	KeepHistory bool
	// Before runs before each request: a test lets others write there.
	Before func()
}

// ErrOutage marks what fails because of Outage. To an append's caller it says
// nothing more than that the outcome is unknown.
var ErrOutage = errors.New("outage")

// burstShare of the append rate is allowed at once.
const burstShare = 10

// Log implements applog.Log. It is safe for concurrent use.
type Log struct {
	cfg   Config
	clock func() time.Time

	mu          sync.Mutex
	streams     map[string]*stream
	limiter     *rate.Limiter
	outageUntil time.Time
	loseAnswers int
	delayNext   int
	delayBy     time.Duration
	delayed     []delayedAppend
}

type entry struct {
	data     []byte
	appended time.Time
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

// New returns an empty log that asks clock for the time.
func New(cfg Config, clock func() time.Time) *Log {
	l := &Log{cfg: cfg, clock: clock, streams: map[string]*stream{}}
	if cfg.AppendsPerSecond > 0 {
		burst := max(1, cfg.AppendsPerSecond/burstShare)
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

// DelayAppends makes the next n appends report that their outcome is unknown,
// and take effect only after d: behind what was appended in between.
func (l *Log) DelayAppends(n int, d time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.delayNext, l.delayBy = n, d
}

// History returns all records ever appended to a stream, trimmed ones too. It
// needs Config.KeepHistory.
func (l *Log) History(name string) []applog.Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.settle(l.clock())
	return slices.Clone(l.stream(name).history)
}

// Append implements applog.Log.
func (l *Log) Append(ctx context.Context, name string, data []byte) (uint64, error) {
	l.before()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.settle(now)
	if err := ctx.Err(); err != nil {
		return 0, fmt.Errorf("append to %s: %w: %w", name, applog.ErrNotWritten, err)
	}
	if now.Before(l.outageUntil) {
		return 0, fmt.Errorf("append to %s: %w: %w", name, applog.ErrUnknownOutcome, ErrOutage)
	}
	if l.limiter != nil && !l.limiter.AllowN(now, 1) {
		return 0, fmt.Errorf("append to %s: %w: too many appends", name, applog.ErrNotWritten)
	}
	if l.delayNext > 0 {
		l.delayNext--
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
	l.before()
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.clock()
	l.settle(now)
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

func (l *Log) before() {
	if l.cfg.Before != nil {
		l.cfg.Before()
	}
}

func (l *Log) page(s *stream, from uint64, max int) applog.Page {
	page := applog.Page{Oldest: s.oldest, Next: s.next()}
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

// settle lets the delayed appends take effect that are due.
func (l *Log) settle(now time.Time) {
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
	offset := s.next()
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
	return l.cfg.Retention > 0 && now.Sub(e.appended) > l.cfg.Retention
}

func (l *Log) stream(name string) *stream {
	s := l.streams[name]
	if s == nil {
		s = &stream{}
		l.streams[name] = s
	}
	return s
}

func (s *stream) next() uint64 { return s.oldest + uint64(len(s.records)) }
