// Package logs writes the log of a node without blocking its work: lines go
// through a ring buffer that one goroutine writes out, and the lines of each kind
// of decision are rate limited.
package logs

import (
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"
	"github.com/rs/zerolog/diode"
	"golang.org/x/time/rate"

	"github.com/cassialoom/cassialoom/explain"
	"github.com/cassialoom/cassialoom/verdict"
)

// Config limits the memory and the rate of the log.
type Config struct {
	// RingLines is the capacity of the ring buffer in lines. While the log's reader
	// stalls, lines beyond it are lost and counted.
	RingLines int
	// NotablePerSecond limits the lines of each kind of notable event,
	// OrdinaryPerSecond those of each kind of ordinary event, both in lines per
	// second. Burst is the number of lines of a kind that may come at once.
	NotablePerSecond, OrdinaryPerSecond float64
	Burst                               int
	// MaxKinds is the number of kinds with a rate limit of their own; the others
	// share one.
	MaxKinds int
}

// DefaultConfig returns the configuration of the daemon.
func DefaultConfig() Config {
	return Config{
		RingLines:         4096,
		NotablePerSecond:  15,
		OrdinaryPerSecond: 5,
		Burst:             15,
		MaxKinds:          64,
	}
}

// Open returns a logger that writes to out through a ring buffer, and a closer
// that writes the remaining lines and stops the writer. It doesn't close out, so that
// a stopping process can still report errors there.
//
// The first call sets zerolog's time format for the whole process, since the default has a
// resolution of a second, which doesn't order the steps of a request.
func Open(cfg Config, out io.Writer) (zerolog.Logger, io.Closer) {
	setTimeFormat()
	lost := &lostLines{}
	ring := diode.NewWriter(writeOnly{out}, cfg.RingLines, 0, lost.add)
	lost.log = zerolog.New(ring).With().Timestamp().Logger()
	return lost.log, ring
}

// setTimeFormat runs once: loggers that are open already read the format.
var setTimeFormat = sync.OnceFunc(func() { zerolog.TimeFieldFormat = time.RFC3339Nano })

// writeOnly hides the Close method of a writer.
type writeOnly struct{ io.Writer }

// lostLines counts the lines that the ring buffer dropped.
type lostLines struct {
	log   zerolog.Logger
	total atomic.Int64
}

func (l *lostLines) add(missed int) {
	total := l.total.Add(int64(missed))
	// The ring's writer goroutine calls this: logging from it could block on
	// itself.
	go l.log.Warn().Int("lost", missed).Int64("lost_in_all", total).Msg("the log's reader is too slow")
}

// DecisionLogger logs decisions about requests, rate limited by kind. It is safe for
// concurrent use.
type DecisionLogger struct {
	cfg Config
	log zerolog.Logger

	mu    sync.Mutex
	kinds map[string]*kind
}

// kind is the rate limit of the events with the same step, reason and outcome.
type kind struct {
	limit *rate.Limiter
	// dropped counts the lines dropped since the last one written.
	dropped int64
}

// NewDecisionLogger returns a DecisionLogger that writes to log.
func NewDecisionLogger(cfg Config, log zerolog.Logger) *DecisionLogger {
	return &DecisionLogger{cfg: cfg, log: log, kinds: make(map[string]*kind)}
}

// Write implements explain.Sink. It drops e if its kind exceeds its rate.
func (d *DecisionLogger) Write(e explain.Event) bool {
	dropped, ok := d.allow(e)
	if !ok {
		return false
	}
	line := d.line(e)
	if dropped > 0 {
		line.Int64("dropped_before", dropped)
	}
	fields(line, e).Msg(message)
	return true
}

// WriteEarlier implements explain.Sink. The line has the time of e besides its own.
func (d *DecisionLogger) WriteEarlier(e explain.Event) {
	fields(d.line(e).Time("decided_at", e.Time), e).Msg(message)
}

// message is the message of all lines about requests.
const message = "request"

// line begins a line about e.
func (d *DecisionLogger) line(e explain.Event) *zerolog.Event {
	if e.Reason != verdict.None || e.Failed() || e.Step == explain.Contradicted {
		return d.log.Warn()
	}
	return d.log.Info()
}

// fields adds the fields of e to line, leaving out those that are not set.
func fields(line *zerolog.Event, e explain.Event) *zerolog.Event {
	line.Str("request", e.RequestID).Str("step", string(e.Step)).Str("route", e.Operation).Str("to_service", e.Service)
	optional(line, "reason", string(e.Reason))
	optional(line, "verdict", e.Verdict)
	optional(line, "detail", e.Detail)
	optional(line, "target", e.Target)
	optional(line, "root", e.RootRequestID)
	if e.Content != 0 && e.Notable() {
		line.Stringer("content", e.Content)
	}
	if e.Status > 0 {
		line.Int("status", e.Status)
	}
	if e.Conn > 0 {
		line.Uint64("conn", e.Conn)
	}
	if e.Attempt > 0 {
		line.Int("attempt", e.Attempt)
	}
	if e.Extra {
		line.Bool("extra", true)
	}
	if e.Version > 0 {
		line.Uint64("version", e.Version)
	}
	if e.Waited > 0 {
		line.Dur("waited_ms", e.Waited)
	}
	if e.Duration > 0 {
		line.Dur("took_ms", e.Duration)
	}
	if e.Remaining != 0 {
		line.Dur("left_ms", e.Remaining)
	}
	if e.RetryAfter > 0 {
		line.Dur("retry_after_ms", e.RetryAfter)
	}
	return line
}

func optional(line *zerolog.Event, name, value string) {
	if value != "" {
		line.Str(name, value)
	}
}

// allow reports whether the rate of e's kind permits a line, and how many lines
// of the kind were dropped since the previous one.
func (d *DecisionLogger) allow(e explain.Event) (dropped int64, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	k := d.kind(e)
	if !k.limit.AllowN(e.Time, 1) {
		k.dropped++
		return 0, false
	}
	dropped, k.dropped = k.dropped, 0
	return dropped, true
}

// failedSuffix ends the names of the kinds whose backend server answered with a failure.
const failedSuffix = " failed"

// otherKinds names the kind that events share once Config.MaxKinds kinds exist.
const otherKinds = "others"

// kind returns the kind of e and creates it if needed.
func (d *DecisionLogger) kind(e explain.Event) *kind {
	name := string(e.Step) + " " + string(e.Reason)
	if e.Failed() {
		name += failedSuffix
	}
	if k, ok := d.kinds[name]; ok {
		return k
	}
	if len(d.kinds) >= d.cfg.MaxKinds {
		name = otherKinds
		if k, ok := d.kinds[name]; ok {
			return k
		}
	}
	perSecond := d.cfg.OrdinaryPerSecond
	if e.Notable() {
		perSecond = d.cfg.NotablePerSecond
	}
	k := &kind{limit: rate.NewLimiter(rate.Limit(perSecond), d.cfg.Burst)}
	d.kinds[name] = k
	return k
}
